package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommandLine runs a command line and returns its exit code, standard output and standard error.
func runCommandLine(args ...string) (code int, out, errs string) {
	var stdout, stderr strings.Builder
	code = run(args, streams{&stdout, &stderr})
	return code, stdout.String(), stderr.String()
}

func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := write("good.lisp", `(experiment "g" (world (for 3s)) (scene h (at 1s (hang 1 1s))) (seeds 2) (claim service module >= 0.01))`)
	contradicted := write("false.lisp", `(experiment "f" (world (for 3s)) (seeds 2) (claim service module >= 2))`)
	invalid := write("bad.lisp", `(experiment "b" (wrld))`)
	a, b := filepath.Join(folder, "a.csv"), filepath.Join(folder, "b.csv")
	for _, test := range []struct {
		args string
		code int
		text string
	}{
		{"--help", 0, "compare"}, {"run " + valid + " -o " + a, 0, "all 1 claims hold"}, {"run " + valid + " -q -o " + b, 0, "module"},
		{"report " + a + " --metrics g,moves", 0, "MOVES"}, {"compare " + a + " " + b, 0, "+0 ±0"},
		{"plot service " + valid + " -o " + filepath.Join(folder, "s.svg"), 0, ""}, {"plot size " + a + " -o " + filepath.Join(folder, "x.svg"), 1, "no axis servers"},
		{"run " + contradicted + " -q -o " + filepath.Join(folder, "f.csv"), 1, "1 of 1 claims do not hold"}, {"run " + invalid, 1, invalid + ": line 1, column 18"},
		{"run " + valid + " -o " + a + " --metrics joy", 1, `unknown metric "joy"`}, {"--odd", 2, "unknown flag"}, {"plot pie x -o y.svg", 2, "load"},
		{"list " + folder, 0, "good.lisp"}, {"list ../../experiments", 0, "baselines"},
	} {
		code, out, errs := runCommandLine(strings.Fields(test.args)...)
		if code != test.code || !strings.Contains(out+errs, test.text) {
			t.Errorf("%s: exit code %d, want %d and output with %q; output:\n%s%s", test.args, code, test.code, test.text, out, errs)
		}
	}
}
