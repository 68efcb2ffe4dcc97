package figures

import (
	"testing"

	"lockroad/internal/golden"
)

// The page of the second address, with a figure of its own in every line.
func TestMetricsPageIsStable(t *testing.T) {
	f := &Figures{Pool: func() (listed, avoided int) { return 11, 12 }}
	f.Name([]string{"page", "a \"b\" \\ c\nd"})
	for range 2 {
		f.Kind("page").OK()
	}
	for range 3 {
		f.Kind("page").Shed()
	}
	for range 4 {
		f.Kind("page").Failed()
	}
	f.Tries.Add(7)
	f.Active.Add(8)
	f.Applied.Add(9)
	f.Rejected.Add(10)
	golden.Compare(t, "metrics.txt", text(f))
	golden.Compare(t, "metrics-at-start.txt", text(&Figures{}))
}
