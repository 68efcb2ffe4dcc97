package experiment

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"lockroad/internal/simulation"
)

// Execute runs an experiment and appends to a file of results what is not there yet, with
// workers runs at a time. progress, if any, is called with the number of runs that are done,
// by one goroutine at a time. It fails for a file of another experiment.
func Execute(experiment *Experiment, path string, workers int, progress func(done, all int)) (*Results, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the errors of writes are checked, and the next run reads the file again
	results, err := resume(experiment, path, file)
	if err != nil {
		return nil, err
	}
	present := make(map[string]bool)
	for _, row := range results.Rows {
		present[row.key()] = true
	}
	runs := experiment.Runs()
	missing := slices.DeleteFunc(slices.Clone(runs), func(run Run) bool { return present[run.Key()] })
	execution := &execution{results: results, file: file, done: len(runs) - len(missing), all: len(runs), progress: progress}
	return results, execution.run(missing, workers)
}

// resume reads what a file of results holds, and leaves it at its end, with a complete head and
// without a last line that was cut.
func resume(experiment *Experiment, path string, file *os.File) (*Results, error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	results := &Results{Source: experiment.Source}
	complete := text[:bytes.LastIndexByte(text, '\n')+1]
	if want := fileHeader(experiment.Source); len(complete) < len(want) && strings.HasPrefix(want, string(complete)) {
		complete = []byte(want) // the file is new, or was cut within the head
		if _, err := file.WriteAt(complete, 0); err != nil {
			return nil, err
		}
	} else {
		if results, err = parseResults(path, complete); err != nil {
			return nil, err
		}
		if strings.TrimSpace(results.Source) != strings.TrimSpace(experiment.Source) {
			return nil, fmt.Errorf("%s: holds results of another experiment; name another file", path)
		}
	}
	if err := file.Truncate(int64(len(complete))); err != nil {
		return nil, err
	}
	if _, err := file.Seek(0, io.SeekEnd); err != nil {
		return nil, err
	}
	return results, nil
}

// execution is the state that the workers of an experiment share.
type execution struct {
	all      int // runs of the experiment
	progress func(done, all int)

	mu      sync.Mutex // guards the fields below
	results *Results
	file    io.Writer
	done    int
	err     error // the first of a write; no run begins after it
}

// run runs what is missing, and waits for all workers.
func (x *execution) run(missing []Run, workers int) error {
	next := make(chan Run)
	var running sync.WaitGroup
	for range max(1, workers) {
		running.Go(func() {
			for run := range next {
				x.store(run, simulate(run))
			}
		})
	}
	for _, run := range missing {
		if x.failed() != nil {
			break
		}
		next <- run
	}
	close(next)
	running.Wait()
	return x.failed()
}

func simulate(run Run) *simulation.Result {
	return simulation.New(run.Cell.World, slices.Clone(run.Cell.Scenario.Actions), run.Policy, run.Seed).Run(nil)
}

// store writes a run's result, and reports progress.
func (x *execution) store(run Run, result *simulation.Result) {
	row := Row{Cell: run.Cell.Name(), Policy: run.Policy.Name, Seed: run.Seed, Values: metricsOf(result)}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.results.Rows = append(x.results.Rows, row)
	if _, err := x.file.Write(row.csvLine()); err != nil && x.err == nil {
		x.err = err
	}
	x.done++
	if x.progress != nil {
		x.progress(x.done, x.all)
	}
}

func (x *execution) failed() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}
