// Command simulate runs experiments on the model of the farm: `lockroad lab` is the same.
// It is a program of its own as plots bring fonts that a relay should not carry.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"lockroad/internal/experiment"
	"lockroad/internal/simulation"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Carry an experiment out, or go on with it, and check its claims."`
	Report  reportCommand  `cmd:"" help:"Tell the means of a file of results."`
	Compare compareCommand `cmd:"" help:"Compare two files of results, paired by seed."`
	Plot    plotCommand    `cmd:"" help:"Draw a plot, SVG or PNG."`
	List    listCommand    `cmd:"" help:"List experiments, and what a world can be set to."`
}

type streams struct{ out, errs io.Writer }

// exitCode is the panic by which kong ends the program after its help.
type exitCode int

func main() { os.Exit(run(os.Args[1:], streams{out: os.Stdout, errs: os.Stderr})) }

// run runs a command line and returns the exit code.
func run(args []string, s streams) (code int) {
	defer func() {
		if exit, is := recover().(exitCode); is {
			code = int(exit)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("simulate"),
		kong.Description("Runs experiments on the model of the farm, with the relay's own decision module in each of its relays."),
		kong.Writers(s.out, s.errs), kong.Exit(func(code int) { panic(exitCode(code)) }), kong.Bind(s))
	if err != nil {
		fmt.Fprintf(s.errs, "simulate: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(s.errs, "simulate: %v\ntry simulate --help\n", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(s.errs, "simulate: %v\n", err)
		return exitFailed
	}
	return 0
}

// readExperiment reads an experiment file.
func readExperiment(path string) (*experiment.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, err := experiment.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// defaultMetrics are those that are reported where none are named.
var defaultMetrics = []string{"g", "service", "worst10", "attempts", "moves", "recovery"}

// runCommand runs an experiment.
type runCommand struct {
	Experiment string   `arg:"" help:"The experiment's file."`
	Out        string   `short:"o" placeholder:"FILE" help:"Results, CSV; by the experiment's name in this folder. What is there is not run again."`
	Workers    int      `default:"0" help:"Runs at a time; 0: one a core."`
	Metrics    []string `help:"Figures to tell of."`
	Quiet      bool     `short:"q" help:"Show no progress."`
}

// Help returns examples.
func (*runCommand) Help() string {
	return `Examples:
  simulate run experiments/baselines.lisp
  simulate run experiments/size.lisp -o size.csv && simulate plot size size.csv -o size.svg

It ends with 1 if the results do not bear out a claim. A run that was cut goes on where
it was: results are kept as they come.`
}

// Run runs the experiment, reports means and checks the claims.
func (c *runCommand) Run(s streams) error {
	e, err := readExperiment(c.Experiment)
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = strings.TrimSuffix(filepath.Base(c.Experiment), filepath.Ext(c.Experiment)) + ".csv"
	}
	workers := c.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	last := time.Now()
	results, err := experiment.Execute(e, out, workers, func(done, all int) {
		if !c.Quiet && (time.Since(last) > time.Second || done == all) {
			last = time.Now()
			fmt.Fprintf(s.errs, "%d of %d runs\n", done, all)
		}
	})
	if err != nil {
		return err
	}
	if len(c.Metrics) == 0 {
		c.Metrics = defaultMetrics
	}
	if err := results.Report(s.out, c.Metrics); err != nil {
		return err
	}
	broken := results.ContradictedClaims(e)
	for _, b := range broken {
		fmt.Fprintln(s.out, "not borne out:", b)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d of %d claims are not borne out", len(broken), len(e.Claims))
	}
	if len(e.Claims) > 0 {
		fmt.Fprintf(s.out, "all %d claims are borne out\n", len(e.Claims))
	}
	return nil
}

// reportCommand tells the means.
type reportCommand struct {
	Results string   `arg:"" help:"A file of results."`
	Metrics []string `help:"Figures to tell of."`
}

// Run tells them.
func (c *reportCommand) Run(s streams) error {
	results, err := experiment.ReadResults(c.Results)
	if err != nil {
		return err
	}
	if len(c.Metrics) == 0 {
		c.Metrics = defaultMetrics
	}
	return results.Report(s.out, c.Metrics)
}

// compareCommand compares two files.
type compareCommand struct {
	A       string   `arg:"" help:"A file of results."`
	B       string   `arg:"" help:"Another: told is what the first has more."`
	Metrics []string `help:"Figures to tell of."`
}

// Run compares them.
func (c *compareCommand) Run(s streams) error {
	a, err := experiment.ReadResults(c.A)
	if err != nil {
		return err
	}
	b, err := experiment.ReadResults(c.B)
	if err != nil {
		return err
	}
	if len(c.Metrics) == 0 {
		c.Metrics = defaultMetrics
	}
	return experiment.Compare(s.out, a, b, c.Metrics)
}

// plotCommand draws.
type plotCommand struct {
	Kind  string `arg:"" enum:"load,service,recovery,size" help:"load, service, recovery or size."`
	From  string `arg:"" help:"An experiment's file; of size, a file of results."`
	Scene string `help:"Which scene; without, the first."`
	Out   string `short:"o" required:"" placeholder:"FILE" help:"A name that ends in .svg or .png."`
}

// Run draws it.
func (c *plotCommand) Run(_ streams) error {
	if c.Kind == "size" {
		results, err := experiment.ReadResults(c.From)
		if err != nil {
			return err
		}
		e, err := experiment.Parse(results.Source)
		if err != nil {
			return err
		}
		return experiment.Plot(e, results, c.Kind, "", c.Out)
	}
	e, err := readExperiment(c.From)
	if err != nil {
		return err
	}
	return experiment.Plot(e, nil, c.Kind, c.Scene, c.Out)
}

// listCommand lists experiments.
type listCommand struct {
	Folder string `arg:"" optional:"" default:"experiments" help:"Where they are."`
}

// Run lists them.
func (c *listCommand) Run(s streams) error {
	files, err := filepath.Glob(filepath.Join(c.Folder, "*.lisp"))
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FILE\tNAME\tSCENES\tPOLICIES\tRUNS\tCLAIMS")
	for _, f := range files {
		e, err := readExperiment(f)
		if err != nil {
			fmt.Fprintf(t, "%s\t%v\n", f, err)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", f, e.Name, len(e.Scenarios), len(e.Policies), len(e.Runs()), len(e.Claims))
	}
	t.Flush()
	fmt.Fprintf(s.out, "\na world can be set to (%s VALUE)\nfigures: %s\n", strings.Join(simulation.ParameterNames(), " VALUE) ("), strings.Join(experiment.Metrics, " "))
	return nil
}
