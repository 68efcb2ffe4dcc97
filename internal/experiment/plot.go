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

// PlotKinds are the kinds of plots.
var PlotKinds = []string{"load", "service", "recovery", "size"}

// Plot draws a plot of an experiment to a file, SVG or PNG by its ending: of a scene's
// first cell the servers' load or the service over time, with what happens marked; the
// service of all policies after the first thing that happens; or, from results, the cost
// of a run against the number of servers.
func Plot(e *Experiment, r *Results, kind, scene, path string) error {
	if !strings.HasSuffix(path, ".svg") && !strings.HasSuffix(path, ".png") {
		return fmt.Errorf("%s: expected a name that ends in .svg or .png", path)
	}
	point := plot.New()
	point.Title.Text = e.Name + ", " + kind
	point.X.Label.Text = "seconds"
	point.Legend.Top = true
	point.Add(plotter.NewGrid())
	var err error
	switch kind {
	case "load", "service", "recovery":
		i := 0
		cells := e.Cells()
		if scene != "" {
			if i = slices.IndexFunc(cells, func(c Cell) bool { return c.Scenario.Name == scene }); i < 0 {
				return fmt.Errorf("there is no scene %q", scene)
			}
		}
		point.Title.Text += ", " + cells[i].Name()
		err = plotOverTime(point, e, cells[i], kind)
	case "size":
		err = plotBySize(point, r)
	default:
		return fmt.Errorf("there is no plot %q; expected one of %s", kind, strings.Join(PlotKinds, ", "))
	}
	if err != nil {
		return err
	}
	return point.Save(18*vg.Centimeter, 11*vg.Centimeter, path)
}

// addLine adds a addLine to a plot.
func addLine(point *plot.Plot, name string, i int, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
	l.Dashes = plotutil.Dashes(i / 7)
	point.Add(l)
	point.Legend.Add(name, l)
	return nil
}

func plotOverTime(point *plot.Plot, e *Experiment, c Cell, kind string) error {
	policies := e.Policies
	if kind != "recovery" && kind != "service" {
		policies = policies[:1]
	}
	var marks []simulation.Annotation
	top := 1.0
	for i, policy := range policies {
		result := simulation.New(c.World, slices.Clone(c.Scenario.Actions), policy, e.Seeds[0]).Run(nil)
		marks = result.Annotations
		from := 0.0
		if kind == "recovery" && len(marks) > 0 {
			from = marks[0].At.Seconds() - 5
		}
		var lines [3]plotter.XYs
		for at, s := range result.Seconds {
			x := float64(at) + 1
			if x < from {
				continue
			}
			if kind == "load" {
				for j, v := range []float64{s.MaxUtilization, s.MeanUtilization, s.MinUtilization} {
					lines[j] = append(lines[j], plotter.XY{X: x, Y: v})
					top = max(top, v)
				}
				continue
			}
			lines[0] = append(lines[0], plotter.XY{X: x, Y: s.Service})
		}
		names := []string{policy.Name}
		if kind == "load" {
			names = []string{"fullest server", "mean", "emptiest server"}
		}
		for j, name := range names {
			if err := addLine(point, name, i+j, lines[j]); err != nil {
				return err
			}
		}
	}
	point.Y.Label.Text = map[bool]string{true: "load against what a server can do", false: "part of the worth asked for"}[kind == "load"]
	point.Y.Min, point.Y.Max = 0, top*1.05
	for _, m := range marks {
		at := m.At.Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return err
		}
		l.Color, l.Dashes = color.Gray{Y: 110}, []vg.Length{vg.Points(3), vg.Points(3)}
		point.Add(l)
		words, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: at, Y: top * 0.02}}, Labels: []string{" " + m.Text}})
		if err != nil {
			return err
		}
		point.Add(words)
	}
	return nil
}

// plotBySize plots what a run costs against the number of its servers.
func plotBySize(point *plot.Plot, r *Results) error {
	point.X.Label.Text, point.Y.Label.Text = "servers", "seconds a run, and millions of events"
	for i, policy := range r.policyNames() {
		var took, events plotter.XYs
		for _, where := range r.cellNames() {
			for _, part := range strings.Fields(where) {
				name, value, _ := strings.Cut(part, "=")
				servers, err := strconv.ParseFloat(value, 64)
				if err != nil || name != "servers" && name != "scale" {
					continue
				}
				took = append(took, plotter.XY{X: servers, Y: meanOf(sortedValues(r.valuesBySeed("took", where, policy))).Value})
				events = append(events, plotter.XY{X: servers, Y: meanOf(sortedValues(r.valuesBySeed("events", where, policy))).Value / 1e6})
			}
		}
		if len(took) == 0 {
			return fmt.Errorf("the results have no axis servers or scale")
		}
		for j, points := range []plotter.XYs{took, events} {
			slices.SortFunc(points, func(x, y plotter.XY) int { return int(x.X - y.X) })
			if err := addLine(point, policy+[]string{", seconds", ", events"}[j], 2*i+j, points); err != nil {
				return err
			}
		}
	}
	return nil
}
