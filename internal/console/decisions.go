package console

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"lockroad/internal/decisionlog"
	"lockroad/internal/explain"
)

// This file has the commands for the decision log.

var errNoDecisionLog = errors.New("the decision log is disabled: why.bytes is 0 in the operator's configuration file")

// why explains the requests that match a query, or counts them.
func why(_ context.Context, s *Server, call call, out io.Writer) error {
	if s.Explainer == nil {
		return errNoDecisionLog
	}
	query, err := explain.ParseLine(call.args)
	if err != nil {
		return err
	}
	return s.Explainer.Answer(query, out)
}

// pin keeps a request in the decision log until it is unpinned, and archives it.
func pin(_ context.Context, s *Server, call call, out io.Writer) error {
	number, err := s.setPinned(call.args, true)
	if err != nil {
		return err
	}
	if s.Persistence != nil {
		s.Persistence.ArchivePinned(number)
	}
	fmt.Fprintf(out, "transaction %d is pinned\n", number)
	return nil
}

// unpin lets the decision log evict a request again.
func unpin(_ context.Context, s *Server, call call, out io.Writer) error {
	number, err := s.setPinned(call.args, false)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "transaction %d is no longer pinned\n", number)
	return nil
}

// setPinned pins or unpins the request whose number is given as text, and returns the number.
func (s *Server) setPinned(text string, pinned bool) (number uint64, err error) {
	if s.Explainer == nil {
		return 0, errNoDecisionLog
	}
	number, err = strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("invalid transaction number %q; the why command shows the numbers", text)
	}
	return number, s.Explainer.Log.Pin(number, pinned)
}

// decisionLogStats shows the statistics of the decision log.
func decisionLogStats(ctx context.Context, s *Server, call call, out io.Writer) error {
	if s.Explainer == nil {
		return errNoDecisionLog
	}
	return report((*Server).writeDecisionLogStats)(ctx, s, call, out)
}

func (s *Server) writeDecisionLogStats(out io.Writer) {
	stats := s.Explainer.Log.Stats()
	writeTable(out, []string{"KIND", "KEPT", "SHARE", "NO LONGER KEPT"}, func(row rowFunc) {
		for _, category := range decisionlog.CategoryNames {
			share := 100 * float64(stats.BlocksInUse[category]) / float64(stats.Blocks)
			row(category, stats.Entries[category], fmt.Sprintf("%.1f%%", share), stats.Evicted[category])
		}
	})
	fmt.Fprintf(out, "%d bytes, all set aside at the start; %d steps found no room\n", stats.Bytes, stats.EventsLost)
	if stats.EvictionHorizon > 0 {
		window := (s.Proxy.Clock.Now() - stats.EvictionHorizon).Round(time.Second)
		fmt.Fprintf(out, "all that came within the last %s are kept\n", window)
	}
}
