package experiment

import (
	"fmt"
	"image/color"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lockroad/internal/simulation"
)

// PlotKinds are the kinds of plots that Plot draws.
var PlotKinds = []string{"load", "service", "recovery", "size"}

// Plot writes a plot to a file, as SVG or PNG by its extension. The kinds are
//
//   - load: the servers' utilization over time, with the first policy,
//   - service: the service of each policy over time,
//   - recovery: the same, from shortly before the first action of the script,
//   - size: the run time and the number of events by the number of servers.
//
// size plots the results. The others run the first cell of a scenario, by default the first
// scenario, with the first seed, and mark the actions of the script.
func Plot(experiment *Experiment, results *Results, kind, scenario, path string) error {
	if !strings.HasSuffix(path, ".svg") && !strings.HasSuffix(path, ".png") {
		return fmt.Errorf("%s: expected a file name that ends in .svg or .png", path)
	}
	chart := plot.New()
	chart.Title.Text = experiment.Name + ", " + kind
	chart.X.Label.Text = "seconds"
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	var err error
	switch kind {
	case "load", "service", "recovery":
		i := 0
		cells := experiment.Cells()
		if scenario != "" {
			if i = slices.IndexFunc(cells, func(cell Cell) bool { return cell.Scenario.Name == scenario }); i < 0 {
				return fmt.Errorf("the experiment has no scene %q", scenario)
			}
		}
		chart.Title.Text += ", " + cells[i].Name()
		err = plotOverTime(chart, experiment, cells[i], kind)
	case "size":
		err = plotBySize(chart, results)
	default:
		return fmt.Errorf("unknown kind of plot %q; expected one of %s", kind, strings.Join(PlotKinds, ", "))
	}
	if err != nil {
		return err
	}
	return chart.Save(18*vg.Centimeter, 11*vg.Centimeter, path)
}

// addLine adds a line with the ith color and style to a plot and its legend.
func addLine(chart *plot.Plot, name string, i int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
	line.Dashes = plotutil.Dashes(i / 7)
	chart.Add(line)
	chart.Legend.Add(name, line)
	return nil
}

// plotOverTime adds the lines of the plots load, service and recovery for a cell.
func plotOverTime(chart *plot.Plot, experiment *Experiment, cell Cell, kind string) error {
	policies := experiment.Policies
	if kind != "recovery" && kind != "service" {
		policies = policies[:1]
	}
	var annotations []simulation.Annotation
	top := 1.0
	for i, policy := range policies {
		result := simulation.New(cell.World, slices.Clone(cell.Scenario.Actions), policy, experiment.Seeds[0]).Run(nil)
		annotations = result.Annotations
		from := 0.0
		if kind == "recovery" && len(annotations) > 0 {
			from = annotations[0].At.Seconds() - 5
		}
		var lines [3]plotter.XYs
		for at, second := range result.Seconds {
			x := float64(at) + 1
			if x < from {
				continue
			}
			if kind == "load" {
				for j, utilization := range []float64{second.MaxUtilization, second.MeanUtilization, second.MinUtilization} {
					lines[j] = append(lines[j], plotter.XY{X: x, Y: utilization})
					top = max(top, utilization)
				}
				continue
			}
			lines[0] = append(lines[0], plotter.XY{X: x, Y: second.Service})
		}
		names := []string{policy.Name}
		if kind == "load" {
			names = []string{"maximum of all servers", "mean", "minimum of all servers"}
		}
		for j, name := range names {
			if err := addLine(chart, name, i+j, lines[j]); err != nil {
				return err
			}
		}
	}
	chart.Y.Label.Text = map[bool]string{true: "utilization", false: "service, as a share of the demand"}[kind == "load"]
	chart.Y.Min, chart.Y.Max = 0, top*1.05
	for _, annotation := range annotations {
		at := annotation.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return err
		}
		line.Color, line.Dashes = color.Gray{Y: 110}, []vg.Length{vg.Points(3), vg.Points(3)}
		chart.Add(line)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: at, Y: top * 0.02}}, Labels: []string{" " + annotation.Text}})
		if err != nil {
			return err
		}
		chart.Add(label)
	}
	return nil
}

// plotBySize adds the lines of the plot size, from the values of the axis servers or scale.
func plotBySize(chart *plot.Plot, results *Results) error {
	chart.X.Label.Text, chart.Y.Label.Text = "servers", "seconds per run, and millions of events"
	for i, policy := range results.policyNames() {
		var runTimes, events plotter.XYs
		for _, cell := range results.cellNames() {
			for _, part := range strings.Fields(cell) {
				name, value, _ := strings.Cut(part, "=")
				servers, err := strconv.ParseFloat(value, 64)
				if err != nil || name != "servers" && name != "scale" {
					continue
				}
				runTimes = append(runTimes, plotter.XY{X: servers, Y: meanOf(sortedValues(results.valuesBySeed("took", cell, policy))).Value})
				events = append(events, plotter.XY{X: servers, Y: meanOf(sortedValues(results.valuesBySeed("events", cell, policy))).Value / 1e6})
			}
		}
		if len(runTimes) == 0 {
			return fmt.Errorf("the results have no axis servers or scale")
		}
		for j, points := range []plotter.XYs{runTimes, events} {
			slices.SortFunc(points, func(x, y plotter.XY) int { return int(x.X - y.X) })
			if err := addLine(chart, policy+[]string{", seconds", ", events"}[j], 2*i+j, points); err != nil {
				return err
			}
		}
	}
	return nil
}
