package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lockroad/internal/simulation"
)

const smallExperiment = `(experiment "small"
  (world (for 8s) (standing 30) (rate 3))
  (policies module random)
  (scene calm) (scene hang (at 2s (hang 2 4s)))
  (matrix (servers 6 13) (list-delay 1s 3s))
  (seeds 3)
  (claim service module >= 0.1)
  (claim service module >= (random -0.5) hang)
  (claim tipped module <= 0))
`

// mustParse parses an experiment, and fails the test if it is invalid.
func mustParse(t *testing.T, source string) *Experiment {
	t.Helper()
	experiment, err := Parse(source)
	if err != nil {
		t.Fatal(err)
	}
	return experiment
}

func TestExperimentsAreParsed(t *testing.T) {
	experiment := mustParse(t, smallExperiment)
	if n := len(experiment.Runs()); n != 2*4*2*3 || len(experiment.Cells()) != 8 || experiment.Cells()[0].World.Servers != 6 || experiment.Cells()[7].World.Servers != 13 {
		t.Errorf("the matrix has %d runs and %d cells, want 48 runs and 8 cells with 6 to 13 servers", n, len(experiment.Cells()))
	}
	for source, want := range map[string]string{
		"(lab)":                                                                   "line 1, column 1: expected (experiment NAME ...)",
		"(experiment a (word))":                                                   `line 1, column 16: unknown form "word"`,
		"(experiment a (world (servrs 3)))":                                       `line 1, column 30: unknown world parameter "servrs"; expected one of attempts`,
		"(experiment a (world (servers 0)))":                                      "line 1, column 31: 0 is not a number between 1 and 5000",
		"(experiment a (world (servers 2.5)))":                                    "line 1, column 31: 2.5 is not an integer",
		"(experiment a (policies best))":                                          `line 1, column 25: unknown policy "best"; expected one of module`,
		"(experiment a (matrix (servers)))":                                       "line 1, column 23: servers has no values",
		"(experiment a (scene x (at 1s (melt))))":                                 `line 1, column 31: unknown action "melt"`,
		"(experiment a (seeds 0))":                                                "line 1, column 22: number of seeds 0 is not between",
		"(experiment a (claim joy module >= 1))":                                  `line 1, column 22: unknown metric "joy"`,
		"(experiment a (claim g module > 1))":                                     `line 1, column 31: unknown operator ">"`,
		"(experiment a (claim g random >= 1))":                                    "line 1, column 1: (claim g random >= 1) names policy random, which is not in the experiment",
		"(experiment a (claim g module >= 1 x))":                                  "line 1, column 1: (claim g module >= 1 x) names a scene that is not in the experiment",
		"(experiment a (seeds 10000) (matrix (servers 1 2 3 4 5 6 7 8 9 10 11)))": "line 1, column 1: the experiment has 110000 runs, more than 100000",
	} {
		if experiment, err := Parse(source); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: parsed as %+v, error %v; want an error that begins with %q", source, experiment, err, want)
		}
	}
	files, _ := filepath.Glob("../../experiments/*.lisp")
	if len(files) == 0 {
		t.Error("the folder experiments has no experiment files")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		mustParse(t, string(text))
	}
}

// Guards against runs that are lost or repeated when an experiment resumes from a truncated file, and
// against results that are appended to those of another experiment.
func TestInterruptedExperimentResumes(t *testing.T) {
	experiment := mustParse(t, smallExperiment)
	folder := t.TempDir()
	complete := filepath.Join(folder, "complete.csv")
	results, err := Execute(experiment, complete, 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	if contradicted := results.ContradictedClaims(experiment); len(results.Rows) != len(experiment.Runs()) || len(contradicted) > 0 {
		t.Errorf("results have %d rows, want one for each of %d runs, and contradict the claims %v, want none", len(results.Rows), len(experiment.Runs()), contradicted)
	}
	text, err := os.ReadFile(complete)
	if err != nil {
		t.Fatal(err)
	}
	report := func(results *Results) string {
		var b bytes.Buffer
		if err := results.Report(&b, []string{"g", "events", "moves", "p99"}); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	for _, length := range []int{0, 5, len(fileHeader(smallExperiment)) - 3, len(fileHeader(smallExperiment)) + 9, len(text) / 2, len(text) - 1, len(text)} {
		path := filepath.Join(folder, "truncated.csv")
		if err := os.WriteFile(path, text[:length], 0o644); err != nil {
			t.Fatal(err)
		}
		runs := 0
		again, err := Execute(experiment, path, 3, func(int, int) { runs++ })
		if err != nil {
			t.Fatalf("truncated to %d bytes: %v", length, err)
		}
		if report(again) != report(results) {
			t.Errorf("truncated to %d bytes, resumed results are\n%s\nwant\n%s", length, report(again), report(results))
		}
		if missing := bytes.Count(text[length:], []byte("\n")); length > len(fileHeader(smallExperiment)) && runs > missing+1 {
			t.Errorf("truncated to %d bytes: %d runs were repeated, want at most the one of the truncated line", length, runs-missing)
		}
		if stored, err := ReadResults(path); err != nil || len(stored.Rows) != len(experiment.Runs()) || strings.TrimSpace(stored.Source) != strings.TrimSpace(smallExperiment) {
			t.Errorf("truncated to %d bytes: the resumed file holds %v, error %v; want the rows of all runs and the experiment", length, stored, err)
		}
	}
	if _, err := Execute(mustParse(t, strings.Replace(smallExperiment, "(rate 3)", "(rate 4)", 1)), complete, 1, nil); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Errorf("appending to results of another experiment: error is %v, want one that says so", err)
	}
}

// Guards against a class's service that is stored in the column of another class.
func TestMetricsHaveServiceOfEachClass(t *testing.T) {
	world := simulation.ReferenceWorld()
	world.Duration = 5 * time.Second
	policy, _ := simulation.FindPolicy("module")
	result := simulation.New(world, nil, policy, 3).Run(nil)
	row := Row{Values: metricsOf(result)}
	if len(row.Values) != len(Metrics) || len(result.Classes) != 4 {
		t.Fatalf("the row has %d values of %d metrics, and the result %d classes, want 4", len(row.Values), len(Metrics), len(result.Classes))
	}
	for _, class := range result.Classes {
		if row.Value(class.Name) != class.Service || row.Value(class.Name+"-in-aim") != class.InObjective || class.Service <= 0 {
			t.Errorf("%s: the row has service %v and share in objective %v, the result %+v", class.Name, row.Value(class.Name), row.Value(class.Name+"-in-aim"), class)
		}
	}
}

func TestComparisonIsPairedBySeed(t *testing.T) {
	experiment := mustParse(t, smallExperiment)
	folder := t.TempDir()
	a, err := Execute(experiment, filepath.Join(folder, "a.csv"), 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	slower := mustParse(t, strings.Replace(smallExperiment, "(for 8s)", "(for 8s) (cross 200ms)", 1))
	b, err := Execute(slower, filepath.Join(folder, "b.csv"), 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Compare(&out, a, b, []string{"p50", "g"}); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 1+8*2 || !strings.Contains(out.String(), "*") {
		t.Errorf("want a line for each cell and policy, and a significant difference; got\n%s", out.String())
	}
	out.Reset()
	if err := Compare(&out, a, a, []string{"g"}); err != nil || strings.Contains(out.String(), "*") || !strings.Contains(out.String(), "+0 ±0") {
		t.Errorf("comparison of results with themselves: error %v, table\n%s", err, out.String())
	}
	if err := Compare(&out, a, &Results{}, []string{"g"}); err == nil {
		t.Error("comparison of results without a common run returned no error")
	}
	mean := meanOf([]float64{1, 2, 3})
	if mean.Value != 2 || mean.HalfWidth < 2.48 || mean.HalfWidth > 2.49 { // 4.303/sqrt(3)
		t.Errorf("the mean of 1, 2, 3 is %v, want 2 ±2.48", mean)
	}
}

func TestPlotsAreDrawn(t *testing.T) {
	experiment := mustParse(t, smallExperiment)
	results, err := Execute(experiment, filepath.Join(t.TempDir(), "r.csv"), 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range PlotKinds {
		for _, extension := range []string{".svg", ".png"} {
			path := filepath.Join(t.TempDir(), kind+extension)
			if err := Plot(experiment, results, kind, "hang", path); err != nil {
				t.Errorf("%s%s: %v", kind, extension, err)
			}
			if image, err := os.ReadFile(path); err != nil || len(image) < 2000 {
				t.Errorf("%s%s has %d bytes, want at least 2000; error %v", kind, extension, len(image), err)
			}
		}
	}
	for _, args := range [][3]string{{"load", "hang", "x.pdf"}, {"load", "storm", "x.svg"}, {"joy", "hang", "x.svg"}} {
		if err := Plot(experiment, results, args[0], args[1], filepath.Join(t.TempDir(), args[2])); err == nil {
			t.Errorf("Plot with kind, scenario and file %q returned no error", args)
		}
	}
}
