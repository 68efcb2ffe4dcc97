package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func command(args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = run(args, streams{&o, &e})
	return code, o.String(), e.String()
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
	good := write("good.lisp", `(experiment "g" (world (for 3s)) (scene h (at 1s (hang 1 1s))) (seeds 2) (claim service module >= 0.01))`)
	false1 := write("false.lisp", `(experiment "f" (world (for 3s)) (seeds 2) (claim service module >= 2))`)
	bad := write("bad.lisp", `(experiment "b" (wrld))`)
	a, b := filepath.Join(folder, "a.csv"), filepath.Join(folder, "b.csv")
	for _, c := range []struct {
		args string
		code int
		text string
	}{
		{"--help", 0, "compare"}, {"run " + good + " -o " + a, 0, "all 1 claims are borne out"}, {"run " + good + " -q -o " + b, 0, "module"},
		{"report " + a + " --metrics g,moves", 0, "MOVES"}, {"compare " + a + " " + b, 0, "+0 ±0"},
		{"plot service " + good + " -o " + filepath.Join(folder, "s.svg"), 0, ""}, {"plot size " + a + " -o " + filepath.Join(folder, "x.svg"), 1, "no axis servers"},
		{"run " + false1 + " -q -o " + filepath.Join(folder, "f.csv"), 1, "1 of 1 claims are not borne out"}, {"run " + bad, 1, bad + ": line 1, column 18"},
		{"run " + good + " -o " + a + " --metrics joy", 1, `there is no metric "joy"`}, {"--odd", 2, "unknown flag"}, {"plot pie x -o y.svg", 2, "load"},
		{"list " + folder, 0, "good.lisp"}, {"list ../../experiments", 0, "baselines"},
	} {
		code, out, errs := command(strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out+errs, c.text) {
			t.Errorf("%s: code %d, want %d and %q\n%s%s", c.args, code, c.code, c.text, out, errs)
		}
	}
}
