package console

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file has the commands about the relay's process: its restart, configuration, store and
// log.

const (
	defaultLogLines = 20
	maxLogLines     = 1000
)

// restart makes the relay drain and be started again.
func restart(_ context.Context, s *Server, _ call, out io.Writer) error {
	if s.Restart == nil {
		return errors.New("this relay can't be started again from here")
	}
	if err := s.Restart(); err != nil {
		return err
	}
	fmt.Fprintln(out, "everyone is being moved; the relay starts again after the last")
	return nil
}

// reload applies the configuration file, or shows what that would change.
func reload(ctx context.Context, s *Server, call call, out io.Writer) error {
	if call.args != "" && call.args != "--dry-run" {
		return fmt.Errorf("%q: expected nothing or --dry-run", call.args)
	}
	if s.Reload == nil {
		return errors.New("this relay has no file to take")
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	changes, err := s.Reload(ctx, call.args != "")
	if err != nil {
		return err
	}
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(out, "nothing changes")
	}
	return nil
}

// storeStats shows what is stored on disk.
func (s *Server) storeStats(out io.Writer) {
	if s.Persistence == nil {
		fmt.Fprintln(out, "nothing is kept on disk")
		return
	}
	stats, err := s.Persistence.Stats()
	if err != nil {
		fmt.Fprintf(out, "nothing is kept on disk: %v\n", err)
		return
	}
	writeTable(out, nil, func(row rowFunc) {
		state := "all is well"
		if stats.LastError != nil {
			state = fmt.Sprintf("NOTHING IS KEPT NOW: %v", stats.LastError)
		}
		row("state", state)
		row("files", fmt.Sprintf("%d, %d bytes, %d of them wanted", stats.Files, stats.Bytes, stats.LiveBytes))
		row("commits", fmt.Sprintf("%d, %d syncs, %d merges", stats.Commits, stats.Syncs, stats.Merges))
		row("waiting", stats.Waiting)
		row("reaches back", cmp.Or(stats.Retained.Round(time.Second).String(), "-"))
		for _, kind := range slices.Sorted(maps.Keys(stats.Records)) {
			row("  "+kind, fmt.Sprintf("%d kept, %d dropped", stats.Records[kind], stats.Dropped[kind]))
		}
	})
}

// logLines shows the last lines of the log.
func logLines(_ context.Context, s *Server, call call, out io.Writer) error {
	if s.LogTail == nil {
		return errors.New("this relay keeps no lines of its log")
	}
	limit := defaultLogLines
	if call.args != "" {
		var err error
		if limit, err = strconv.Atoi(call.args); err != nil || limit < 1 || limit > maxLogLines {
			return fmt.Errorf("%q is no number of lines within 1 and %d", call.args, maxLogLines)
		}
	}
	for _, line := range s.LogTail(limit) {
		fmt.Fprintln(out, strings.TrimRight(line, "\n"))
	}
	return nil
}
