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

func mustParse(t *testing.T, source string) *Experiment {
	t.Helper()
	e, err := Parse(source)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestExperimentsAreReadWhole(t *testing.T) {
	e := mustParse(t, smallExperiment)
	if n := len(e.Runs()); n != 2*4*2*3 || len(e.Cells()) != 8 || e.Cells()[0].World.Servers != 6 || e.Cells()[7].World.Servers != 13 {
		t.Errorf("%d runs of %d cells", n, len(e.Cells()))
	}
	for source, want := range map[string]string{
		"(lab)":                                                                   "line 1, column 1: expected (experiment NAME ...)",
		"(experiment a (word))":                                                   `line 1, column 16: an experiment has no "word"`,
		"(experiment a (world (servrs 3)))":                                       `line 1, column 30: unknown world parameter "servrs"; expected one of attempts`,
		"(experiment a (world (servers 0)))":                                      "line 1, column 31: 0 is not a number between 1 and 5000",
		"(experiment a (world (servers 2.5)))":                                    "line 1, column 31: 2.5 is not an integer",
		"(experiment a (policies best))":                                          `line 1, column 25: there is no policy "best"; expected one of module`,
		"(experiment a (matrix (servers)))":                                       "line 1, column 23: servers wants values to try",
		"(experiment a (scene x (at 1s (melt))))":                                 `line 1, column 31: unknown action "melt"`,
		"(experiment a (seeds 0))":                                                "line 1, column 22: 0 seeds are not within",
		"(experiment a (claim joy module >= 1))":                                  `line 1, column 22: there is no metric "joy"`,
		"(experiment a (claim g module > 1))":                                     `line 1, column 31: ">" compares nothing here`,
		"(experiment a (claim g random >= 1))":                                    "line 1, column 1: the claim (claim g random >= 1) is of policy random, which is not tried",
		"(experiment a (claim g module >= 1 x))":                                  "line 1, column 1: the claim (claim g module >= 1 x) is of a scene that is not there",
		"(experiment a (seeds 10000) (matrix (servers 1 2 3 4 5 6 7 8 9 10 11)))": "line 1, column 1: 110000 runs are more than 100000",
	} {
		if e, err := Parse(source); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %+v, %v, want %s", source, e, err, want)
		}
	}
	files, _ := filepath.Glob("../../experiments/*.lisp")
	if len(files) == 0 {
		t.Error("no experiments ship")
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		mustParse(t, string(text))
	}
}

// A run that was cut anywhere goes on, and ends with the same results as one that was
// not; results of another experiment are left alone.
func TestCutRunGoesOn(t *testing.T) {
	e := mustParse(t, smallExperiment)
	folder := t.TempDir()
	whole := filepath.Join(folder, "whole.csv")
	results, err := Execute(e, whole, 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	if broken := results.ContradictedClaims(e); len(results.Rows) != len(e.Runs()) || len(broken) > 0 {
		t.Errorf("%d rows, claims broken %v", len(results.Rows), broken)
	}
	text, err := os.ReadFile(whole)
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
	for _, cut := range []int{0, 5, len(fileHeader(smallExperiment)) - 3, len(fileHeader(smallExperiment)) + 9, len(text) / 2, len(text) - 1, len(text)} {
		path := filepath.Join(folder, "cut.csv")
		if err := os.WriteFile(path, text[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		ran := 0
		again, err := Execute(e, path, 3, func(int, int) { ran++ })
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if report(again) != report(results) {
			t.Errorf("cut at %d:\n%s\nwhole:\n%s", cut, report(again), report(results))
		}
		if left := bytes.Count(text[cut:], []byte("\n")); cut > len(fileHeader(smallExperiment)) && ran > left+1 {
			t.Errorf("cut at %d: %d runs were made again", cut, ran-left)
		}
		if kept, err := ReadResults(path); err != nil || len(kept.Rows) != len(e.Runs()) || strings.TrimSpace(kept.Source) != strings.TrimSpace(smallExperiment) {
			t.Errorf("cut at %d: the file holds %v, %v", cut, kept, err)
		}
	}
	if _, err := Execute(mustParse(t, strings.Replace(smallExperiment, "(rate 3)", "(rate 4)", 1)), whole, 1, nil); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Errorf("results of another experiment: %v", err)
	}
}

// Each class's service stands in its own column, and they are those of the run.
func TestServiceIsToldByClass(t *testing.T) {
	w := simulation.ReferenceWorld()
	w.Duration = 5 * time.Second
	p, _ := simulation.FindPolicy("module")
	results := simulation.New(w, nil, p, 3).Run(nil)
	row := Row{Values: metricsOf(results)}
	if len(row.Values) != len(Metrics) || len(results.Classes) != 4 {
		t.Fatalf("%d figures of %d metrics, %d classes", len(row.Values), len(Metrics), len(results.Classes))
	}
	for _, c := range results.Classes {
		if row.Value(c.Name) != c.Service || row.Value(c.Name+"-in-aim") != c.InObjective || c.Service <= 0 {
			t.Errorf("%s: %v, %v for %+v", c.Name, row.Value(c.Name), row.Value(c.Name+"-in-aim"), c)
		}
	}
}

func TestComparisonIsPaired(t *testing.T) {
	e := mustParse(t, smallExperiment)
	folder := t.TempDir()
	a, err := Execute(e, filepath.Join(folder, "a.csv"), 4, nil)
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
		t.Errorf("compared as\n%s", out.String())
	}
	out.Reset()
	if err := Compare(&out, a, a, []string{"g"}); err != nil || strings.Contains(out.String(), "*") || !strings.Contains(out.String(), "+0 ±0") {
		t.Errorf("with itself: %v\n%s", err, out.String())
	}
	if err := Compare(&out, a, &Results{}, []string{"g"}); err == nil {
		t.Error("nothing in common was compared")
	}
	m := meanOf([]float64{1, 2, 3})
	if m.Value != 2 || m.HalfWidth < 2.48 || m.HalfWidth > 2.49 { // 4.303 times 1 over the root of 3
		t.Errorf("the mean of 1, 2, 3 is %v", m)
	}
}

func TestPlotsAreDrawn(t *testing.T) {
	e := mustParse(t, smallExperiment)
	results, err := Execute(e, filepath.Join(t.TempDir(), "r.csv"), 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range PlotKinds {
		for _, ending := range []string{".svg", ".png"} {
			path := filepath.Join(t.TempDir(), kind+ending)
			if err := Plot(e, results, kind, "hang", path); err != nil {
				t.Errorf("%s%s: %v", kind, ending, err)
			}
			if b, err := os.ReadFile(path); err != nil || len(b) < 2000 {
				t.Errorf("%s%s has %d bytes, %v", kind, ending, len(b), err)
			}
		}
	}
	for _, c := range [][3]string{{"load", "hang", "x.pdf"}, {"load", "storm", "x.svg"}, {"joy", "hang", "x.svg"}} {
		if err := Plot(e, results, c[0], c[1], filepath.Join(t.TempDir(), c[2])); err == nil {
			t.Errorf("%v was drawn", c)
		}
	}
}
