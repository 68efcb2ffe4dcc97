package metrics

import (
	"testing"

	"lockroad/internal/golden"
)

// The page of the second address, with a value of its own in every line.
func TestMetricsPageIsStable(t *testing.T) {
	set := &Set{EndpointCounts: func() (listed, avoided int) { return 11, 12 }}
	set.SetClasses([]string{"page", "a \"b\" \\ c\nd"})
	for range 2 {
		set.Class("page").CountEstablished()
	}
	for range 3 {
		set.Class("page").CountRejected()
	}
	for range 4 {
		set.Class("page").CountFailed()
	}
	set.Attempts.Add(7)
	set.ActiveRequests.Add(8)
	set.ReloadsApplied.Add(9)
	set.ReloadsRejected.Add(10)
	golden.Compare(t, "metrics.txt", metricsText(set))
	golden.Compare(t, "metrics-at-start.txt", metricsText(&Set{}))
}
