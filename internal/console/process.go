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

// This file has the commands for the relay's process: restart, reload, store and log.

// Numbers of lines that the log command shows.
const (
	defaultLogLines = 20
	maxLogLines     = 1000
)

// restart migrates all clients off the relay and restarts it.
func restart(_ context.Context, s *Server, _ call, out io.Writer) error {
	if s.Restart == nil {
		return errors.New("this relay does not support restarts from the console")
	}
	if err := s.Restart(); err != nil {
		return err
	}
	fmt.Fprintln(out, "all clients are being moved away; the relay restarts after the last has left")
	return nil
}

// reload applies the configuration file, or with --dry-run shows what that would change.
func reload(ctx context.Context, s *Server, call call, out io.Writer) error {
	if call.args != "" && call.args != "--dry-run" {
		return fmt.Errorf("unexpected argument %q: expected nothing or --dry-run", call.args)
	}
	if s.Reload == nil {
		return errors.New("this relay has no configuration file to reload")
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
		fmt.Fprintln(out, "no changes")
	}
	return nil
}

// storeStats shows the statistics of the store on disk.
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
		row("waiting", stats.QueuedCommits)
		row("reaches back", cmp.Or(stats.OldestAge.Round(time.Second).String(), "-"))
		for _, kind := range slices.Sorted(maps.Keys(stats.Records)) {
			row("  "+kind, fmt.Sprintf("%d kept, %d dropped", stats.Records[kind], stats.Dropped[kind]))
		}
	})
}

// logLines shows the last lines of the log, defaultLogLines unless a number is given.
func logLines(_ context.Context, s *Server, call call, out io.Writer) error {
	if s.LogTail == nil {
		return errors.New("this relay does not retain its log lines")
	}
	limit := defaultLogLines
	if call.args != "" {
		var err error
		if limit, err = strconv.Atoi(call.args); err != nil || limit < 1 || limit > maxLogLines {
			return fmt.Errorf("invalid number of lines %q: expected 1 to %d", call.args, maxLogLines)
		}
	}
	for _, line := range s.LogTail(limit) {
		fmt.Fprintln(out, strings.TrimRight(line, "\n"))
	}
	return nil
}
