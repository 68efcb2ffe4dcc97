package experiment

import (
	"fmt"
	"strings"
	"testing"

	"lockroad/internal/golden"
	"lockroad/internal/simulation"
)

// fixedResults returns results with a different value in every column and row. offset is added to each.
func fixedResults(policy string, offset float64) *Results {
	results := &Results{Source: "(experiment \"fixed\")\n"}
	for seed := range uint64(3) {
		row := Row{Cell: "calm servers=3", Policy: policy, Seed: seed}
		for i := range Metrics {
			row.Values = append(row.Values, float64(i)+float64(seed)/8+offset)
		}
		results.Rows = append(results.Rows, row)
	}
	return results
}

// Guards against changes of the format of results files, which would make stored results unreadable.
func TestResultsCSVIsStable(t *testing.T) {
	results := fixedResults("module", 0.1)
	text := fileHeader(results.Source)
	for _, row := range results.Rows {
		text += string(row.csvLine())
	}
	golden.Compare(t, "results.csv", text)
	again, err := parseResults("results.csv", golden.Read(t, "results.csv"))
	if err != nil || again.Source != results.Source || len(again.Rows) != len(results.Rows) || again.Rows[2].Value("g") != 0.35 {
		t.Errorf("results.csv is parsed as %+v, error %v", again, err)
	}
}

// Guards against metrics that are computed from the wrong field of the result.
func TestMetricsOfResultAreStable(t *testing.T) {
	result := &simulation.Result{Score: 1, Service: 2, WorstTenSeconds: 3, AttemptsPerRequest: 4, Rejected: 50, GaveUp: 60, Migrations: 70, HeartbeatTimeouts: 80, BrokenConnections: 90, CrossZoneAttempts: 100, LateAfterDrain: 11, Overloaded: 12,
		LoadSpread: 13, ServersPerGroup: 14, Recovery: 15, Clients: 10, Established: 16, Probes: 170, DetectionTime: 18, FalseAlarms: 19, Events: 20, RunTime: 21}
	for i, class := range simulation.ReferenceWorld().Classes {
		result.Classes = append(result.Classes, simulation.ClassResult{Name: class.Name, Service: 30 + float64(i), InObjective: 40 + float64(i), P50: 50 + float64(i), P99: 60 + float64(i)})
	}
	var b strings.Builder
	for i, value := range metricsOf(result) {
		fmt.Fprintf(&b, "%s %v\n", Metrics[i], value)
	}
	golden.Compare(t, "figures.txt", b.String())
}

// Guards against changes of the language of experiment files and of its errors.
func TestExperimentVocabularyIsStable(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "metrics: %s\nparameters: %s\n", strings.Join(Metrics, " "), strings.Join(simulation.ParameterNames(), " "))
	for _, p := range simulation.Policies {
		fmt.Fprintf(&b, "policy %s\n", p.Name)
	}
	for _, action := range []string{"(hang 1 1s)", "(slow 1 2 1s)", "(drain 1)", "(restart 1 1s)", "(add 1)", "(drop 10)", "(list-behind 1s 2s)", "(relay-restart 1 1s)", "(surge 2 1s)", "(explode)"} {
		experiment, err := Parse(`(experiment "g" (world (for 3s)) (policies module) (scene h (at 1s ` + action + `)) (matrix (servers 3 4)) (seeds 2) (claim service module >= 0.01 h))`)
		if err != nil {
			fmt.Fprintf(&b, "%s: %v\n", action, err)
			continue
		}
		fmt.Fprintf(&b, "%s; %s; %s; %s\n", experiment.Scenarios[0].Actions[0], experiment.Claims[0], experiment.Cells()[0].Name(), experiment.Runs()[0].Key())
	}
	for _, invalid := range []string{"(other)", `(experiment "g" (wrld))`, `(experiment "g" (world (wrld 1)))`, `(experiment "g" (policies nobody))`, `(experiment "g" (claim joy module >= 1))`} {
		_, err := Parse(invalid)
		fmt.Fprintf(&b, "%s: %v\n", invalid, err)
	}
	golden.Compare(t, "vocabulary.txt", b.String())
}

// Guards against changes of the tables of reports and comparisons.
func TestReportsAreStable(t *testing.T) {
	first, second := fixedResults("module", 0.1), fixedResults("module", 0.3)
	var b strings.Builder
	if err := first.Report(&b, Metrics); err != nil {
		t.Fatal(err)
	}
	if err := Compare(&b, first, second, []string{"g", "moves"}); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report.txt", b.String())
}
