package experiment

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"lockroad/internal/simulation"
)

// Metrics are the figures of a run, in the order of their columns: at the end the service
// of each class, such as live-preview, and how many of its set-ups were within its aim.
var Metrics = append([]string{"g", "service", "worst10", "worst-class", "attempts", "refused", "gave-up", "moves", "silent", "broken", "crossed", "late", "tipped",
	"spread", "servers-a-group", "recovery", "p50", "p99", "clients", "standing", "probes", "found-in", "false-alarms", "events", "took"}, byClass()...)

// byClass are the metrics of the classes, in their order.
func byClass() (names []string) {
	for _, c := range simulation.ReferenceWorld().Classes { // no experiment has others
		names = append(names, c.Name, c.Name+"-in-aim")
	}
	return names
}

// figures are the metrics of a result; refused to crossed are per client.
func figures(r *simulation.Result) []float64 {
	per := func(n int) float64 { return float64(n) / float64(max(1, r.Clients)) }
	worst, p50, p99 := 1.0, 0.0, 0.0
	for _, c := range r.Classes {
		worst, p50, p99 = min(worst, c.Service), max(p50, c.P50), max(p99, c.P99)
	}
	all := []float64{r.G, r.Service, r.Worst10, worst, r.Attempts, per(r.Refused), per(r.GaveUp), per(r.Moves), per(r.Silent), per(r.Broken), per(r.Crossed),
		float64(r.Late), float64(r.Tipped), r.Spread, r.GroupsPer, r.Recovery, p50, p99, float64(r.Clients), float64(r.Standing), per(r.Probes), r.FoundIn, float64(r.Alarms), float64(r.Events), r.Took}
	for _, c := range r.Classes {
		all = append(all, c.Service, c.InAim)
	}
	return all
}

// Row is the figures of one run.
type Row struct {
	Where   string // of the cell
	Policy  string
	Seed    uint64
	Figures []float64 // as Metrics
}

func (r Row) key() string { return fmt.Sprintf("%s|%s|%d", r.Where, r.Policy, r.Seed) }

// Figure is one of the row's.
func (r Row) Figure(metric string) float64 { return r.Figures[slices.Index(Metrics, metric)] }

// Results are what a file of results holds.
type Results struct {
	Source string // of the experiment
	Rows   []Row
}

// head is what a file begins with: the experiment, line by line, then the columns.
func head(source string) string {
	var b strings.Builder
	for line := range strings.Lines(strings.TrimRight(source, "\n") + "\n") {
		b.WriteString("# " + line)
	}
	b.WriteString("where,policy,seed," + strings.Join(Metrics, ",") + "\n")
	return b.String()
}

// Read reads a file of results. What a cut left of a last line is left aside.
func Read(path string) (*Results, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, text)
}

func parse(path string, text []byte) (*Results, error) {
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	r := &Results{}
	rest := text
	for bytes.HasPrefix(rest, []byte("# ")) {
		line, more, _ := bytes.Cut(rest, []byte("\n"))
		r.Source += string(line[2:]) + "\n"
		rest = more
	}
	if r.Source == "" {
		return nil, fmt.Errorf("%s: no results: the experiment is not at its head", path)
	}
	c := csv.NewReader(bytes.NewReader(rest))
	c.FieldsPerRecord = 3 + len(Metrics)
	for first := true; ; first = false {
		cells, err := c.Read()
		switch {
		case errors.Is(err, io.EOF):
			return r, nil
		case err != nil:
			return nil, fmt.Errorf("%s: %w", path, err)
		case first && (cells[0] != "where" || !slices.Equal(cells[3:], Metrics)):
			return nil, fmt.Errorf("%s: the columns are those of another version: %v", path, cells)
		case first:
			continue
		}
		row := Row{Where: cells[0], Policy: cells[1]}
		if row.Seed, err = strconv.ParseUint(cells[2], 10, 64); err != nil {
			return nil, fmt.Errorf("%s: seed %q: %w", path, cells[2], err)
		}
		for _, cell := range cells[3:] {
			v, err := strconv.ParseFloat(cell, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: figure %q: %w", path, cell, err)
			}
			row.Figures = append(row.Figures, v)
		}
		r.Rows = append(r.Rows, row)
	}
}

// Execute carries an experiment out and appends to a file of results what is not there yet,
// workers runs at a time. progress is told how many are done. A file of another
// experiment is refused.
func Execute(e *Experiment, path string, workers int, progress func(done, all int)) (*Results, error) {
	have := &Results{Source: e.Source}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // each write is looked at, and the next run reads the file again
	text, err := io.ReadAll(f)
	if err != nil {
		return nil, err
	}
	whole := text[:bytes.LastIndexByte(text, '\n')+1]
	if want := head(e.Source); len(whole) < len(want) && strings.HasPrefix(want, string(whole)) {
		whole = []byte(want) // nothing yet, or cut within the head
		if _, err := f.WriteAt(whole, 0); err != nil {
			return nil, err
		}
	} else {
		if have, err = parse(path, whole); err != nil {
			return nil, err
		}
		if strings.TrimSpace(have.Source) != strings.TrimSpace(e.Source) {
			return nil, fmt.Errorf("%s: holds results of another experiment; name another file", path)
		}
	}
	if err := f.Truncate(int64(len(whole))); err != nil {
		return nil, err
	}
	if _, err := f.Seek(0, io.SeekEnd); err != nil {
		return nil, err
	}
	there := make(map[string]bool)
	for _, r := range have.Rows {
		there[r.key()] = true
	}
	runs := e.Runs()
	todo := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return there[r.Key()] })
	var mu sync.Mutex
	var failed error
	done := len(runs) - len(todo)
	next := make(chan Run)
	var all sync.WaitGroup
	for range max(1, workers) {
		all.Go(func() {
			for r := range next {
				result := simulation.New(r.Cell.World, slices.Clone(r.Cell.Scene.Acts), r.Policy, r.Seed).Run(nil)
				row := Row{Where: r.Cell.Where(), Policy: r.Policy.Name, Seed: r.Seed, Figures: figures(result)}
				mu.Lock()
				have.Rows = append(have.Rows, row)
				if _, err := f.Write(row.line()); err != nil && failed == nil {
					failed = err
				}
				done++
				if progress != nil {
					progress(done, len(runs))
				}
				mu.Unlock()
			}
		})
	}
	for _, r := range todo {
		mu.Lock()
		stop := failed != nil
		mu.Unlock()
		if stop {
			break
		}
		next <- r
	}
	close(next)
	all.Wait()
	return have, failed
}

func (r Row) line() []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	cells := []string{r.Where, r.Policy, strconv.FormatUint(r.Seed, 10)}
	for _, v := range r.Figures {
		cells = append(cells, strconv.FormatFloat(v, 'g', 7, 64))
	}
	_ = w.Write(cells) // a buffer takes all
	w.Flush()
	return b.Bytes()
}

// Mean is a mean with the half width of its 95% confidence interval.
type Mean struct {
	Value, Half float64
	N           int
}

// String writes both.
func (m Mean) String() string {
	if m.N < 2 {
		return fmt.Sprintf("%.4g", m.Value)
	}
	return fmt.Sprintf("%.4g ±%.2g", m.Value, m.Half)
}

// t975 are the 97.5% quantiles of Student's t by degrees of freedom.
var t975 = []float64{0, 12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}

func mean(values []float64) Mean {
	m := Mean{N: len(values)}
	if m.N == 0 {
		return m
	}
	for _, v := range values {
		m.Value += v / float64(m.N)
	}
	square := 0.0
	for _, v := range values {
		square += (v - m.Value) * (v - m.Value)
	}
	if m.N > 1 {
		t := 1.96 + 2.4/float64(m.N-1)
		if m.N-1 < len(t975) {
			t = t975[m.N-1]
		}
		m.Half = t * math.Sqrt(square/float64(m.N-1)/float64(m.N))
	}
	return m
}

// of returns the figures of a metric by cell and policy.
func (r *Results) of(metric, where, policy string) map[uint64]float64 {
	values := make(map[uint64]float64)
	for _, row := range r.Rows {
		if row.Where == where && row.Policy == policy {
			values[row.Seed] = row.Figure(metric)
		}
	}
	return values
}

// wheres and policies are those there are, in the order in which they come first.
func (r *Results) wheres() []string { return distinct(r.Rows, func(x Row) string { return x.Where }) }
func (r *Results) policies() []string {
	return distinct(r.Rows, func(x Row) string { return x.Policy })
}

func distinct(rows []Row, of func(Row) string) []string {
	var all []string
	for _, r := range rows {
		if v := of(r); !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	slices.Sort(all)
	return all
}

func list(m map[uint64]float64) []float64 {
	var all []float64
	for _, v := range m {
		all = append(all, v)
	}
	slices.Sort(all)
	return all
}

// Report writes means by cell and policy.
func (r *Results) Report(w io.Writer, metrics []string) error {
	for _, m := range metrics {
		if !slices.Contains(Metrics, m) {
			return fmt.Errorf("there is no metric %q; expected some of %s", m, strings.Join(Metrics, ", "))
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "WHERE\tPOLICY\tSEEDS\t%s\n", strings.ToUpper(strings.Join(metrics, "\t")))
	for _, where := range r.wheres() {
		for _, policy := range r.policies() {
			n := len(r.of("g", where, policy))
			if n == 0 {
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%d", where, policy, n)
			for _, m := range metrics {
				fmt.Fprintf(t, "\t%s", mean(list(r.of(m, where, policy))))
			}
			fmt.Fprintln(t)
		}
	}
	return t.Flush()
}

// paired returns the mean of the differences of two sets of figures by seed.
func paired(x, y map[uint64]float64) Mean {
	var d []float64
	for seed, v := range x {
		if u, ok := y[seed]; ok {
			d = append(d, v-u)
		}
	}
	slices.Sort(d)
	return mean(d)
}

// Compare writes what one file's runs have more than another's, paired by the same cell,
// policy and seed; a star marks what is more than chance.
func Compare(w io.Writer, a, b *Results, metrics []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "WHERE\tPOLICY\tPAIRS\t%s\n", strings.ToUpper(strings.Join(metrics, "\t")))
	pairs := 0
	for _, where := range a.wheres() {
		for _, policy := range a.policies() {
			n := paired(a.of("g", where, policy), b.of("g", where, policy)).N
			if n == 0 {
				continue
			}
			pairs += n
			fmt.Fprintf(t, "%s\t%s\t%d", where, policy, n)
			for _, m := range metrics {
				if !slices.Contains(Metrics, m) {
					return fmt.Errorf("there is no metric %q; expected some of %s", m, strings.Join(Metrics, ", "))
				}
				d := paired(a.of(m, where, policy), b.of(m, where, policy))
				star := ""
				if d.N > 1 && math.Abs(d.Value) > d.Half {
					star = " *"
				}
				fmt.Fprintf(t, "\t%+.4g ±%.2g%s", d.Value, d.Half, star)
			}
			fmt.Fprintln(t)
		}
	}
	if pairs == 0 {
		return errors.New("the two have no run in common")
	}
	return t.Flush()
}

// Check returns the claims of an experiment that its results do not bear out, each with
// the cells where they don't.
func (r *Results) Check(e *Experiment) []string {
	var broken []string
	for _, c := range e.Claims {
		for _, cell := range e.Cells() {
			if c.Scene != "" && cell.Scene.Name != c.Scene {
				continue
			}
			where := cell.Where()
			got, limit := mean(list(r.of(c.Metric, where, c.Policy))), c.Value
			if c.Against != "" {
				limit += mean(list(r.of(c.Metric, where, c.Against))).Value
			}
			if holds := c.Op == ">=" && got.Value >= limit || c.Op == "<=" && got.Value <= limit; !holds || got.N == 0 {
				broken = append(broken, fmt.Sprintf("%s: in %s %s has %s %s, and the limit is %.4g", c, where, c.Policy, c.Metric, got, limit))
			}
		}
	}
	slices.SortStableFunc(broken, func(x, y string) int { return cmp.Compare(x, y) })
	return broken
}
