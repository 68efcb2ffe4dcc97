package metrics

import (
	"testing"

	"lockroad/internal/golden"
)

// The page of the second address, with a figure of its own in every line.
func TestMetricsPageIsStable(t *testing.T) {
	f := &Set{EndpointCounts: func() (listed, avoided int) { return 11, 12 }}
	f.SetClasses([]string{"page", "a \"b\" \\ c\nd"})
	for range 2 {
		f.Class("page").CountEstablished()
	}
	for range 3 {
		f.Class("page").CountRejected()
	}
	for range 4 {
		f.Class("page").CountFailed()
	}
	f.Attempts.Add(7)
	f.ActiveRequests.Add(8)
	f.ReloadsApplied.Add(9)
	f.ReloadsRejected.Add(10)
	golden.Compare(t, "metrics.txt", text(f))
	golden.Compare(t, "metrics-at-start.txt", text(&Set{}))
}
