package server

import (
	"fmt"
	"strings"
	"testing"

	"lockroad/internal/golden"
)

// The metrics of the store, as telemetry has them.
func TestStoreMetricsAreStable(t *testing.T) {
	var b strings.Builder
	for _, r := range (&persistentState{}).instruments() {
		fmt.Fprintf(&b, "%s (%s), grows %v\n", r.Name, r.Description, r.Cumulative)
	}
	golden.Compare(t, "store-metrics.txt", b.String())
}
