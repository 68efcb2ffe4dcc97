package server

import (
	"fmt"
	"strings"
	"testing"

	"lockroad/internal/golden"
)

// Dashboards use the names of the store's metrics, so they must not change.
func TestStoreMetricsAreStable(t *testing.T) {
	var b strings.Builder
	for _, instrument := range (&persistentState{}).instruments() {
		fmt.Fprintf(&b, "%s (%s), grows %v\n", instrument.Name, instrument.Description, instrument.Cumulative)
	}
	golden.Compare(t, "store-metrics.txt", b.String())
}
