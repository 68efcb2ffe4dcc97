// Command simulate runs simulation experiments; `lockroad lab` runs it. It is a separate program
// to keep the plotting library and its fonts out of the relay's binary.
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
	Run     runCommand     `cmd:"" help:"Run or resume an experiment, and check its claims."`
	Report  reportCommand  `cmd:"" help:"Print the means of a results file."`
	Compare compareCommand `cmd:"" help:"Compare two results files, paired by seed."`
	Plot    plotCommand    `cmd:"" help:"Draw a plot as SVG or PNG."`
	List    listCommand    `cmd:"" help:"List experiments, world parameters and metrics."`
}

// streams are the standard output and standard error of a command.
type streams struct{ out, errs io.Writer }

// exitCode is the value that kong's exit function panics with, such as after --help.
type exitCode int

func main() { os.Exit(run(os.Args[1:], streams{out: os.Stdout, errs: os.Stderr})) }

// run runs a command line and returns the exit code.
func run(args []string, stdio streams) (code int) {
	defer func() {
		if exit, ok := recover().(exitCode); ok {
			code = int(exit)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("simulate"),
		kong.Description("Runs simulation experiments of a server farm whose relays use the relay's own balancer."),
		kong.Writers(stdio.out, stdio.errs), kong.Exit(func(code int) { panic(exitCode(code)) }), kong.Bind(stdio))
	if err != nil {
		fmt.Fprintf(stdio.errs, "simulate: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stdio.errs, "simulate: %v\ntry simulate --help\n", err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(stdio.errs, "simulate: %v\n", err)
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
	parsed, err := experiment.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return parsed, nil
}

// defaultMetrics are reported if no metrics are given.
var defaultMetrics = []string{"g", "service", "worst10", "attempts", "moves", "recovery"}

// runCommand implements simulate run.
type runCommand struct {
	Experiment string   `arg:"" help:"Experiment file."`
	Out        string   `short:"o" placeholder:"FILE" help:"Results file, in CSV; runs it already holds are skipped. Defaults to the experiment's file name with .csv, in the working directory."`
	Workers    int      `default:"0" help:"Number of concurrent runs; 0 means one per core."`
	Metrics    []string `help:"Metrics to print."`
	Quiet      bool     `short:"q" help:"Do not print progress."`
}

// Help returns examples.
func (*runCommand) Help() string {
	return `Examples:
  simulate run experiments/baselines.lisp
  simulate run experiments/size.lisp -o size.csv && simulate plot size size.csv -o size.svg

The exit code is 1 if the results contradict a claim. Results are stored as runs complete, and
an interrupted experiment resumes where it stopped.`
}

// Run runs the experiment, prints the means and checks the claims.
func (c *runCommand) Run(stdio streams) error {
	parsed, err := readExperiment(c.Experiment)
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
	lastProgress := time.Now()
	results, err := experiment.Execute(parsed, out, workers, func(done, total int) {
		if !c.Quiet && (time.Since(lastProgress) > time.Second || done == total) {
			lastProgress = time.Now()
			fmt.Fprintf(stdio.errs, "%d of %d runs completed\n", done, total)
		}
	})
	if err != nil {
		return err
	}
	if len(c.Metrics) == 0 {
		c.Metrics = defaultMetrics
	}
	if err := results.Report(stdio.out, c.Metrics); err != nil {
		return err
	}
	contradicted := results.ContradictedClaims(parsed)
	for _, claim := range contradicted {
		fmt.Fprintln(stdio.out, "claim does not hold:", claim)
	}
	if len(contradicted) > 0 {
		return fmt.Errorf("%d of %d claims do not hold", len(contradicted), len(parsed.Claims))
	}
	if len(parsed.Claims) > 0 {
		fmt.Fprintf(stdio.out, "all %d claims hold\n", len(parsed.Claims))
	}
	return nil
}

// reportCommand implements simulate report.
type reportCommand struct {
	Results string   `arg:"" help:"Results file."`
	Metrics []string `help:"Metrics to print."`
}

// Run prints the means of the results.
func (c *reportCommand) Run(stdio streams) error {
	results, err := experiment.ReadResults(c.Results)
	if err != nil {
		return err
	}
	if len(c.Metrics) == 0 {
		c.Metrics = defaultMetrics
	}
	return results.Report(stdio.out, c.Metrics)
}

// compareCommand implements simulate compare.
type compareCommand struct {
	A       string   `arg:"" help:"Results file to compare."`
	B       string   `arg:"" help:"Results file whose values are subtracted from those of the first."`
	Metrics []string `help:"Metrics to print."`
}

// Run prints the mean differences between two results files.
func (c *compareCommand) Run(stdio streams) error {
	first, err := experiment.ReadResults(c.A)
	if err != nil {
		return err
	}
	second, err := experiment.ReadResults(c.B)
	if err != nil {
		return err
	}
	if len(c.Metrics) == 0 {
		c.Metrics = defaultMetrics
	}
	return experiment.Compare(stdio.out, first, second, c.Metrics)
}

// plotCommand implements simulate plot.
type plotCommand struct {
	Kind  string `arg:"" enum:"load,service,recovery,size" help:"Kind of plot: load, service, recovery or size."`
	From  string `arg:"" help:"Experiment file; for a size plot, a results file."`
	Scene string `help:"Scene to plot; defaults to the first."`
	Out   string `short:"o" required:"" placeholder:"FILE" help:"Output file; its suffix, .svg or .png, selects the format."`
}

// Run draws the plot.
func (c *plotCommand) Run(_ streams) error {
	if c.Kind == "size" {
		results, err := experiment.ReadResults(c.From)
		if err != nil {
			return err
		}
		parsed, err := experiment.Parse(results.Source)
		if err != nil {
			return err
		}
		return experiment.Plot(parsed, results, c.Kind, "", c.Out)
	}
	parsed, err := readExperiment(c.From)
	if err != nil {
		return err
	}
	return experiment.Plot(parsed, nil, c.Kind, c.Scene, c.Out)
}

// listCommand implements simulate list.
type listCommand struct {
	Folder string `arg:"" optional:"" default:"experiments" help:"Folder of the experiment files."`
}

// Run lists the experiment files of a folder, the world parameters and the metrics.
func (c *listCommand) Run(stdio streams) error {
	files, err := filepath.Glob(filepath.Join(c.Folder, "*.lisp"))
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(stdio.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FILE\tNAME\tSCENES\tPOLICIES\tRUNS\tCLAIMS")
	for _, file := range files {
		parsed, err := readExperiment(file)
		if err != nil {
			fmt.Fprintf(table, "%s\t%v\n", file, err)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\n", file, parsed.Name, len(parsed.Scenarios), len(parsed.Policies), len(parsed.Runs()), len(parsed.Claims))
	}
	table.Flush()
	fmt.Fprintf(stdio.out, "\nworld parameters: (%s VALUE)\nmetrics: %s\n", strings.Join(simulation.ParameterNames(), " VALUE) ("), strings.Join(experiment.Metrics, " "))
	return nil
}
