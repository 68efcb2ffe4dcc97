package metrics

import (
	"fmt"
	"strings"
	"testing"
)

// metricsText returns what WriteTo writes.
func metricsText(set *Set) string {
	var text strings.Builder
	_, _ = set.WriteTo(&text)
	return text.String()
}

func TestMetricsTextFormat(t *testing.T) {
	set := &Set{}
	set.SetClasses([]string{"page", `od"d\`})
	set.Class("page").CountEstablished()
	set.Class("page").CountEstablished()
	set.Class("page").CountRejected()
	set.Class(`od"d\`).CountFailed()
	set.Class("unknown").CountEstablished() // must have no effect
	set.Attempts.Add(7)
	set.ActiveRequests.Add(3)
	set.ReloadsApplied.Add(2)
	set.ReloadsRejected.Add(1)
	set.EndpointCounts = func() (int, int) { return 12, 4 }
	want := `edge_proxy_ok_total{kind="od\"d\\"} 0
edge_proxy_ok_total{kind="page"} 2
edge_proxy_shed_total{kind="od\"d\\"} 0
edge_proxy_shed_total{kind="page"} 1
edge_proxy_errors_total{kind="od\"d\\"} 1
edge_proxy_errors_total{kind="page"} 0
edge_proxy_tries_total 7
edge_proxy_active 3
edge_proxy_pool_size 12
edge_proxy_pool_ejected 4
edge_proxy_config_applied_total 2
edge_proxy_config_rejected_total 1
`
	if got := metricsText(set); got != want {
		t.Errorf("metrics are\n%swant\n%s", got, want)
	}
}

// The counters of a class that a reload removes must not disappear, and still count the requests that began before.
// Their number is limited.
func TestCountersOfRemovedClassesAreRetained(t *testing.T) {
	set := &Set{}
	set.SetClasses([]string{"old"})
	old := set.Class("old")
	old.CountEstablished()
	set.SetClasses([]string{"new"})
	old.CountEstablished()
	if got := metricsText(set); !strings.Contains(got, `ok_total{kind="old"} 2`) || !strings.Contains(got, `ok_total{kind="new"} 0`) {
		t.Errorf("want ok_total 2 of class old and 0 of class new in metrics\n%s", got)
	}
	for i := range 2 * maxClasses {
		set.SetClasses([]string{fmt.Sprint(i)})
	}
	if count := len(*set.classes.Load()); count > maxClasses {
		t.Errorf("%d classes are exposed, want at most %d", count, maxClasses)
	}
}
