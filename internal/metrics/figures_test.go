package metrics

import (
	"fmt"
	"strings"
	"testing"
)

func text(f *Set) string {
	var b strings.Builder
	_, _ = f.WriteTo(&b)
	return b.String()
}

func TestFiguresAreWrittenInThePagesForm(t *testing.T) {
	f := &Set{}
	f.SetClasses([]string{"page", `od"d\`})
	f.Class("page").CountEstablished()
	f.Class("page").CountEstablished()
	f.Class("page").CountRejected()
	f.Class(`od"d\`).CountFailed()
	f.Class("never named").CountEstablished() // counts nothing
	f.Attempts.Add(7)
	f.ActiveRequests.Add(3)
	f.ReloadsApplied.Add(2)
	f.ReloadsRejected.Add(1)
	f.EndpointCounts = func() (int, int) { return 12, 4 }
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
	if got := text(f); got != want {
		t.Errorf("written as\n%swant\n%s", got, want)
	}
}

// A class that is dropped goes on being told of, and counts on for those who began in it.
func TestClassesComeAndGo(t *testing.T) {
	f := &Set{}
	f.SetClasses([]string{"old"})
	old := f.Class("old")
	old.CountEstablished()
	f.SetClasses([]string{"new"})
	old.CountEstablished()
	if got := text(f); !strings.Contains(got, `ok_total{kind="old"} 2`) || !strings.Contains(got, `ok_total{kind="new"} 0`) {
		t.Errorf("written as\n%s", got)
	}
	for i := range 2 * kindsMost {
		f.SetClasses([]string{fmt.Sprint(i)})
	}
	if n := len(*f.kinds.Load()); n > kindsMost {
		t.Errorf("%d classes are kept", n)
	}
}
