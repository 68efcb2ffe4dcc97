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

// Metrics are the names of a run's metrics, in the order of their columns. The last are, for each
// class, its service and its share of set-ups within the latency objective.
var Metrics = append([]string{"g", "service", "worst10", "worst-class", "attempts", "refused", "gave-up", "moves", "silent", "broken", "crossed", "late", "tipped",
	"spread", "servers-a-group", "recovery", "p50", "p99", "clients", "standing", "probes", "found-in", "false-alarms", "events", "took"}, classMetrics()...)

// classMetrics returns the names of the metrics of the classes, in their order.
func classMetrics() (names []string) {
	for _, class := range simulation.ReferenceWorld().Classes { // experiments can't change the classes
		names = append(names, class.Name, class.Name+"-in-aim")
	}
	return names
}

// metricsOf returns the values of Metrics for a result. Those from refused to crossed, and probes, are
// per client.
func metricsOf(result *simulation.Result) []float64 {
	perClient := func(count int) float64 { return float64(count) / float64(max(1, result.Clients)) }
	worst, p50, p99 := 1.0, 0.0, 0.0
	for _, class := range result.Classes {
		worst, p50, p99 = min(worst, class.Service), max(p50, class.P50), max(p99, class.P99)
	}
	values := []float64{result.Score, result.Service, result.WorstTenSeconds, worst, result.AttemptsPerRequest, perClient(result.Rejected), perClient(result.GaveUp), perClient(result.Migrations), perClient(result.HeartbeatTimeouts), perClient(result.BrokenConnections), perClient(result.CrossZoneAttempts),
		float64(result.LateAfterDrain), float64(result.Overloaded), result.LoadSpread, result.ServersPerGroup, result.Recovery, p50, p99, float64(result.Clients), float64(result.Established), perClient(result.Probes), result.DetectionTime, float64(result.FalseAlarms), float64(result.Events), result.RunTime}
	for _, class := range result.Classes {
		values = append(values, class.Service, class.InObjective)
	}
	return values
}

// Row holds the metrics of one run.
type Row struct {
	Cell   string // name of the cell
	Policy string
	Seed   uint64
	Values []float64 // in the order of Metrics
}

// key returns the Key of the row's run.
func (r Row) key() string { return fmt.Sprintf("%s|%s|%d", r.Cell, r.Policy, r.Seed) }

// Value returns the value of a metric, which must be one of Metrics.
func (r Row) Value(metric string) float64 { return r.Values[slices.Index(Metrics, metric)] }

// Results is a parsed results file.
type Results struct {
	Source string // of the experiment
	Rows   []Row
}

// fileHeader returns the header of a results file: the experiment's source as comments, and the
// names of the columns.
func fileHeader(source string) string {
	var header strings.Builder
	for line := range strings.Lines(strings.TrimRight(source, "\n") + "\n") {
		header.WriteString("# " + line)
	}
	header.WriteString("where,policy,seed," + strings.Join(Metrics, ",") + "\n")
	return header.String()
}

// ReadResults reads a results file. It ignores a truncated last line.
func ReadResults(path string) (*Results, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseResults(path, text)
}

func parseResults(path string, text []byte) (*Results, error) {
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	results := &Results{}
	rest := text
	for bytes.HasPrefix(rest, []byte("# ")) {
		line, remaining, _ := bytes.Cut(rest, []byte("\n"))
		results.Source += string(line[2:]) + "\n"
		rest = remaining
	}
	if results.Source == "" {
		return nil, fmt.Errorf("%s: not a results file: the header has no experiment", path)
	}
	reader := csv.NewReader(bytes.NewReader(rest))
	reader.FieldsPerRecord = 3 + len(Metrics)
	for first := true; ; first = false {
		fields, err := reader.Read()
		switch {
		case errors.Is(err, io.EOF):
			return results, nil
		case err != nil:
			return nil, fmt.Errorf("%s: %w", path, err)
		case first && (fields[0] != "where" || !slices.Equal(fields[3:], Metrics)):
			return nil, fmt.Errorf("%s: the columns %v differ from those of this version of simulate", path, fields)
		case first:
			continue
		}
		row := Row{Cell: fields[0], Policy: fields[1]}
		if row.Seed, err = strconv.ParseUint(fields[2], 10, 64); err != nil {
			return nil, fmt.Errorf("%s: seed %q: %w", path, fields[2], err)
		}
		for _, field := range fields[3:] {
			value, err := strconv.ParseFloat(field, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: metric value %q: %w", path, field, err)
			}
			row.Values = append(row.Values, value)
		}
		results.Rows = append(results.Rows, row)
	}
}

// csvLine returns the row's line in a results file.
func (r Row) csvLine() []byte {
	var buffer bytes.Buffer
	writer := csv.NewWriter(&buffer)
	fields := []string{r.Cell, r.Policy, strconv.FormatUint(r.Seed, 10)}
	for _, value := range r.Values {
		fields = append(fields, strconv.FormatFloat(value, 'g', 7, 64))
	}
	_ = writer.Write(fields) // writes to a buffer don't fail
	writer.Flush()
	return buffer.Bytes()
}

// Mean is the mean of Count values with the half width of its 95% confidence interval.
type Mean struct {
	Value, HalfWidth float64
	Count            int
}

// String returns the mean and, for two values or more, the half width.
func (m Mean) String() string {
	if m.Count < 2 {
		return fmt.Sprintf("%.4g", m.Value)
	}
	return fmt.Sprintf("%.4g ±%.2g", m.Value, m.HalfWidth)
}

// studentT975 has the 97.5% quantiles of Student's t by degrees of freedom.
var studentT975 = []float64{0, 12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}

func meanOf(values []float64) Mean {
	mean := Mean{Count: len(values)}
	if mean.Count == 0 {
		return mean
	}
	for _, value := range values {
		mean.Value += value / float64(mean.Count)
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - mean.Value) * (value - mean.Value)
	}
	if mean.Count > 1 {
		t := 1.96 + 2.4/float64(mean.Count-1)
		if mean.Count-1 < len(studentT975) {
			t = studentT975[mean.Count-1]
		}
		mean.HalfWidth = t * math.Sqrt(squares/float64(mean.Count-1)/float64(mean.Count))
	}
	return mean
}

// valuesBySeed returns the values of a metric for a cell and a policy, by seed.
func (r *Results) valuesBySeed(metric, cell, policy string) map[uint64]float64 {
	values := make(map[uint64]float64)
	for _, row := range r.Rows {
		if row.Cell == cell && row.Policy == policy {
			values[row.Seed] = row.Value(metric)
		}
	}
	return values
}

// cellNames and policyNames return the distinct names in the rows, sorted.
func (r *Results) cellNames() []string {
	return distinctValues(r.Rows, func(row Row) string { return row.Cell })
}
func (r *Results) policyNames() []string {
	return distinctValues(r.Rows, func(row Row) string { return row.Policy })
}

// distinctValues returns the distinct values of a field of the rows, sorted.
func distinctValues(rows []Row, field func(Row) string) []string {
	var distinct []string
	for _, row := range rows {
		if value := field(row); !slices.Contains(distinct, value) {
			distinct = append(distinct, value)
		}
	}
	slices.Sort(distinct)
	return distinct
}

// sortedValues returns the values of valuesBySeed in an order that makes their sum reproducible.
func sortedValues(bySeed map[uint64]float64) []float64 {
	var values []float64
	for _, value := range bySeed {
		values = append(values, value)
	}
	slices.Sort(values)
	return values
}

// Report writes a table of the metrics' means by cell and policy.
func (r *Results) Report(w io.Writer, metrics []string) error {
	for _, metric := range metrics {
		if !slices.Contains(Metrics, metric) {
			return fmt.Errorf("unknown metric %q; expected some of %s", metric, strings.Join(Metrics, ", "))
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "WHERE\tPOLICY\tSEEDS\t%s\n", strings.ToUpper(strings.Join(metrics, "\t")))
	for _, cell := range r.cellNames() {
		for _, policy := range r.policyNames() {
			count := len(r.valuesBySeed("g", cell, policy))
			if count == 0 {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%d", cell, policy, count)
			for _, metric := range metrics {
				fmt.Fprintf(table, "\t%s", meanOf(sortedValues(r.valuesBySeed(metric, cell, policy))))
			}
			fmt.Fprintln(table)
		}
	}
	return table.Flush()
}

// pairedDifference returns the mean of x-y over the seeds that x and y have in common.
func pairedDifference(x, y map[uint64]float64) Mean {
	var differences []float64
	for seed, value := range x {
		if other, ok := y[seed]; ok {
			differences = append(differences, value-other)
		}
	}
	slices.Sort(differences)
	return meanOf(differences)
}

// Compare writes a table of the metrics' mean differences between first and second, paired by cell,
// policy and seed. A star marks differences that are significant at the 95% level.
func Compare(w io.Writer, first, second *Results, metrics []string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "WHERE\tPOLICY\tPAIRS\t%s\n", strings.ToUpper(strings.Join(metrics, "\t")))
	pairs := 0
	for _, cell := range first.cellNames() {
		for _, policy := range first.policyNames() {
			count := pairedDifference(first.valuesBySeed("g", cell, policy), second.valuesBySeed("g", cell, policy)).Count
			if count == 0 {
				continue
			}
			pairs += count
			fmt.Fprintf(table, "%s\t%s\t%d", cell, policy, count)
			for _, metric := range metrics {
				if !slices.Contains(Metrics, metric) {
					return fmt.Errorf("unknown metric %q; expected some of %s", metric, strings.Join(Metrics, ", "))
				}
				difference := pairedDifference(first.valuesBySeed(metric, cell, policy), second.valuesBySeed(metric, cell, policy))
				star := ""
				if difference.Count > 1 && math.Abs(difference.Value) > difference.HalfWidth {
					star = " *"
				}
				fmt.Fprintf(table, "\t%+.4g ±%.2g%s", difference.Value, difference.HalfWidth, star)
			}
			fmt.Fprintln(table)
		}
	}
	if pairs == 0 {
		return errors.New("the results files have no run in common")
	}
	return table.Flush()
}

// ContradictedClaims returns a line for each claim of an experiment and each cell in which the results
// contradict it.
func (r *Results) ContradictedClaims(experiment *Experiment) []string {
	var contradicted []string
	for _, claim := range experiment.Claims {
		for _, cell := range experiment.Cells() {
			if claim.Scenario != "" && cell.Scenario.Name != claim.Scenario {
				continue
			}
			name := cell.Name()
			got, limit := meanOf(sortedValues(r.valuesBySeed(claim.Metric, name, claim.Policy))), claim.Value
			if claim.OtherPolicy != "" {
				limit += meanOf(sortedValues(r.valuesBySeed(claim.Metric, name, claim.OtherPolicy))).Value
			}
			if holds := claim.Operator == ">=" && got.Value >= limit || claim.Operator == "<=" && got.Value <= limit; !holds || got.Count == 0 {
				contradicted = append(contradicted, fmt.Sprintf("%s: in cell %s, %s has %s %s; the limit is %.4g", claim, name, claim.Policy, claim.Metric, got, limit))
			}
		}
	}
	slices.Sort(contradicted)
	return contradicted
}
