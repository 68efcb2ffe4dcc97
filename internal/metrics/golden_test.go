package metrics

import (
	"testing"

	"lockroad/internal/golden"
)

// Scrapers read the names and the format of the metrics. Every metric has a different value.
func TestMetricsTextIsStable(t *testing.T) {
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
