package experiment

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"lockroad/internal/simulation"
)

// Metrics are the names of a run's figures, in the order of their columns: at the end the
// service of each class, such as live-preview, and its share of set-ups within its objective.
var Metrics = append([]string{"g", "service", "worst10", "worst-class", "attempts", "refused", "gave-up", "moves", "silent", "broken", "crossed", "late", "tipped",
	"spread", "servers-a-group", "recovery", "p50", "p99", "clients", "standing", "probes", "found-in", "false-alarms", "events", "took"}, classMetrics()...)

// classMetrics returns the names of the metrics of the classes, in their order.
func classMetrics() (names []string) {
	for _, claim := range simulation.ReferenceWorld().Classes { // no experiment has others
		names = append(names, claim.Name, claim.Name+"-in-aim")
	}
	return names
}

// metricsOf returns the figures of a result; those from refused to crossed are per client.
func metricsOf(r *simulation.Result) []float64 {
	per := func(count int) float64 { return float64(count) / float64(max(1, r.Clients)) }
	worst, p50, p99 := 1.0, 0.0, 0.0
	for _, claim := range r.Classes {
		worst, p50, p99 = min(worst, claim.Service), max(p50, claim.P50), max(p99, claim.P99)
	}
	all := []float64{r.Score, r.Service, r.WorstTenSeconds, worst, r.AttemptsPerRequest, per(r.Rejected), per(r.GaveUp), per(r.Migrations), per(r.HeartbeatTimeouts), per(r.BrokenConnections), per(r.CrossZoneAttempts),
		float64(r.LateAfterDrain), float64(r.Overloaded), r.LoadSpread, r.ServersPerGroup, r.Recovery, p50, p99, float64(r.Clients), float64(r.Established), per(r.Probes), r.DetectionTime, float64(r.FalseAlarms), float64(r.Events), r.RunTime}
	for _, claim := range r.Classes {
		all = append(all, claim.Service, claim.InObjective)
	}
	return all
}

// Row holds the figures of one run.
type Row struct {
	Cell   string // of the cell
	Policy string
	Seed   uint64
	Values []float64 // as Metrics
}

func (r Row) key() string { return fmt.Sprintf("%s|%s|%d", r.Cell, r.Policy, r.Seed) }

// Value returns the figure of a metric, which must be one of Metrics.
func (r Row) Value(metric string) float64 { return r.Values[slices.Index(Metrics, metric)] }

// Results is a file of results, parsed.
type Results struct {
	Source string // of the experiment
	Rows   []Row
}

// fileHeader returns the head of a file: the experiment, line by line, then the columns.
func fileHeader(source string) string {
	var b strings.Builder
	for line := range strings.Lines(strings.TrimRight(source, "\n") + "\n") {
		b.WriteString("# " + line)
	}
	b.WriteString("where,policy,seed," + strings.Join(Metrics, ",") + "\n")
	return b.String()
}

// ReadResults reads a file of results. A last line that was cut is ignored.
func ReadResults(path string) (*Results, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseResults(path, text)
}

func parseResults(path string, text []byte) (*Results, error) {
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
	claim := csv.NewReader(bytes.NewReader(rest))
	claim.FieldsPerRecord = 3 + len(Metrics)
	for first := true; ; first = false {
		cells, err := claim.Read()
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
		row := Row{Cell: cells[0], Policy: cells[1]}
		if row.Seed, err = strconv.ParseUint(cells[2], 10, 64); err != nil {
			return nil, fmt.Errorf("%s: seed %q: %w", path, cells[2], err)
		}
		for _, cell := range cells[3:] {
			value, err := strconv.ParseFloat(cell, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: figure %q: %w", path, cell, err)
			}
			row.Values = append(row.Values, value)
		}
		r.Rows = append(r.Rows, row)
	}
}

func (r Row) csvLine() []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	cells := []string{r.Cell, r.Policy, strconv.FormatUint(r.Seed, 10)}
	for _, value := range r.Values {
		cells = append(cells, strconv.FormatFloat(value, 'g', 7, 64))
	}
	_ = w.Write(cells) // a buffer takes all
	w.Flush()
	return b.Bytes()
}

// Mean is a mean with the half width of its 95% confidence interval. N is the number of values.
type Mean struct {
	Value, HalfWidth float64
	Count            int
}

// String returns the mean and, of two values or more, the half width.
func (m Mean) String() string {
	if m.Count < 2 {
		return fmt.Sprintf("%.4g", m.Value)
	}
	return fmt.Sprintf("%.4g ±%.2g", m.Value, m.HalfWidth)
}

// studentT975 are the 97.5% quantiles of Student's t by degrees of freedom.
var studentT975 = []float64{0, 12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}

func meanOf(values []float64) Mean {
	m := Mean{Count: len(values)}
	if m.Count == 0 {
		return m
	}
	for _, value := range values {
		m.Value += value / float64(m.Count)
	}
	square := 0.0
	for _, value := range values {
		square += (value - m.Value) * (value - m.Value)
	}
	if m.Count > 1 {
		t := 1.96 + 2.4/float64(m.Count-1)
		if m.Count-1 < len(studentT975) {
			t = studentT975[m.Count-1]
		}
		m.HalfWidth = t * math.Sqrt(square/float64(m.Count-1)/float64(m.Count))
	}
	return m
}

// valuesBySeed returns the figures of a metric in a cell by a policy.
func (r *Results) valuesBySeed(metric, where, policy string) map[uint64]float64 {
	values := make(map[uint64]float64)
	for _, row := range r.Rows {
		if row.Cell == where && row.Policy == policy {
			values[row.Seed] = row.Value(metric)
		}
	}
	return values
}

// cellNames and policies return the names that the rows have, sorted.
func (r *Results) cellNames() []string {
	return distinctValues(r.Rows, func(x Row) string { return x.Cell })
}
func (r *Results) policyNames() []string {
	return distinctValues(r.Rows, func(x Row) string { return x.Policy })
}

func distinctValues(rows []Row, of func(Row) string) []string {
	var all []string
	for _, r := range rows {
		if value := of(r); !slices.Contains(all, value) {
			all = append(all, value)
		}
	}
	slices.Sort(all)
	return all
}

func sortedValues(m map[uint64]float64) []float64 {
	var all []float64
	for _, value := range m {
		all = append(all, value)
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
	for _, where := range r.cellNames() {
		for _, policy := range r.policyNames() {
			count := len(r.valuesBySeed("g", where, policy))
			if count == 0 {
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%d", where, policy, count)
			for _, m := range metrics {
				fmt.Fprintf(t, "\t%s", meanOf(sortedValues(r.valuesBySeed(m, where, policy))))
			}
			fmt.Fprintln(t)
		}
	}
	return t.Flush()
}

// pairedDifference returns the mean of the differences of two sets of figures by seed.
func pairedDifference(x, y map[uint64]float64) Mean {
	var difference []float64
	for seed, value := range x {
		if u, ok := y[seed]; ok {
			difference = append(difference, value-u)
		}
	}
	slices.Sort(difference)
	return meanOf(difference)
}

// Compare writes the differences of two files of results, paired by cell, policy and seed; a
// star marks those that are significant at 95%.
func Compare(w io.Writer, a, b *Results, metrics []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "WHERE\tPOLICY\tPAIRS\t%s\n", strings.ToUpper(strings.Join(metrics, "\t")))
	pairs := 0
	for _, where := range a.cellNames() {
		for _, policy := range a.policyNames() {
			count := pairedDifference(a.valuesBySeed("g", where, policy), b.valuesBySeed("g", where, policy)).Count
			if count == 0 {
				continue
			}
			pairs += count
			fmt.Fprintf(t, "%s\t%s\t%d", where, policy, count)
			for _, m := range metrics {
				if !slices.Contains(Metrics, m) {
					return fmt.Errorf("there is no metric %q; expected some of %s", m, strings.Join(Metrics, ", "))
				}
				difference := pairedDifference(a.valuesBySeed(m, where, policy), b.valuesBySeed(m, where, policy))
				star := ""
				if difference.Count > 1 && math.Abs(difference.Value) > difference.HalfWidth {
					star = " *"
				}
				fmt.Fprintf(t, "\t%+.4g ±%.2g%s", difference.Value, difference.HalfWidth, star)
			}
			fmt.Fprintln(t)
		}
	}
	if pairs == 0 {
		return errors.New("the two have no run in common")
	}
	return t.Flush()
}

// ContradictedClaims returns the claims of an experiment that its results contradict, one line for each cell
// where they do.
func (r *Results) ContradictedClaims(e *Experiment) []string {
	var contradicted []string
	for _, claim := range e.Claims {
		for _, cell := range e.Cells() {
			if claim.Scenario != "" && cell.Scenario.Name != claim.Scenario {
				continue
			}
			where := cell.Name()
			got, limit := meanOf(sortedValues(r.valuesBySeed(claim.Metric, where, claim.Policy))), claim.Value
			if claim.OtherPolicy != "" {
				limit += meanOf(sortedValues(r.valuesBySeed(claim.Metric, where, claim.OtherPolicy))).Value
			}
			if holds := claim.Operator == ">=" && got.Value >= limit || claim.Operator == "<=" && got.Value <= limit; !holds || got.Count == 0 {
				contradicted = append(contradicted, fmt.Sprintf("%s: in %s %s has %s %s, and the limit is %.4g", claim, where, claim.Policy, claim.Metric, got, limit))
			}
		}
	}
	slices.Sort(contradicted)
	return contradicted
}
