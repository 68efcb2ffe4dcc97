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

// Execute performs the runs of an experiment whose results a file does not hold yet, several at a time,
// and appends their results. progress, unless nil, is called by one goroutine at a time with the
// numbers of completed and of all runs. It returns an error if the file belongs to another experiment.
func Execute(experiment *Experiment, path string, workers int, progress func(done, total int)) (*Results, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // errors of writes are checked in store
	results, err := resume(experiment, path, file)
	if err != nil {
		return nil, err
	}
	completed := make(map[string]bool)
	for _, row := range results.Rows {
		completed[row.key()] = true
	}
	runs := experiment.Runs()
	missing := slices.DeleteFunc(slices.Clone(runs), func(run Run) bool { return completed[run.Key()] })
	execution := &execution{results: results, file: file, done: len(runs) - len(missing), total: len(runs), progress: progress}
	return results, execution.run(missing, workers)
}

// resume reads a results file and prepares it for appending: it writes a missing or truncated
// header, and removes a truncated last line.
func resume(experiment *Experiment, path string, file *os.File) (*Results, error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	results := &Results{Source: experiment.Source}
	complete := text[:bytes.LastIndexByte(text, '\n')+1]
	if want := fileHeader(experiment.Source); len(complete) < len(want) && strings.HasPrefix(want, string(complete)) {
		complete = []byte(want) // the file is new, or its header is truncated
		if _, err := file.WriteAt(complete, 0); err != nil {
			return nil, err
		}
	} else {
		if results, err = parseResults(path, complete); err != nil {
			return nil, err
		}
		if strings.TrimSpace(results.Source) != strings.TrimSpace(experiment.Source) {
			return nil, fmt.Errorf("%s: the file holds results of another experiment; choose another file", path)
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
	total    int // runs of the experiment
	progress func(done, total int)

	mu      sync.Mutex // guards the fields below
	results *Results
	file    io.Writer
	done    int   // completed runs
	err     error // the first error of a write; no run starts after it
}

// run performs the missing runs and waits for all workers.
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

// simulate performs a run. It copies the script's actions, which the simulation extends.
func simulate(run Run) *simulation.Result {
	return simulation.New(run.Cell.World, slices.Clone(run.Cell.Scenario.Actions), run.Policy, run.Seed).Run(nil)
}

// store appends a run's result to the file and reports progress.
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
		x.progress(x.done, x.total)
	}
}

// failed returns the first error of a write.
func (x *execution) failed() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}
