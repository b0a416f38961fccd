package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWide = 22 * vg.Centimeter
	plotHigh = 8 * vg.Centimeter
)

// svg draws a plot as an element that can stand in a page.
func svg(p *plot.Plot) (string, error) {
	p.Legend.Top = true
	p.Legend.XOffs = -vg.Points(4)
	w, err := p.WriterTo(plotWide, plotHigh, "svg")
	if err != nil {
		return "", fmt.Errorf("drawing %s: %w", p.Title.Text, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", fmt.Errorf("drawing %s: %w", p.Title.Text, err)
	}
	_, element, found := strings.Cut(b.String(), "<svg")
	if !found {
		return "", fmt.Errorf("drawing %s: no picture came of it", p.Title.Text)
	}
	return "<svg" + element, nil
}

// shade marks the spans of faults behind a plot, up to a height.
func (s *Summary) shade(p *plot.Plot, high float64) error {
	for i, f := range s.Faults {
		area, err := plotter.NewPolygon(plotter.XYs{{X: f.From, Y: 0}, {X: f.To, Y: 0}, {X: f.To, Y: high}, {X: f.From, Y: high}})
		if err != nil {
			return err
		}
		area.Color = color.NRGBA{R: 200, G: 80, B: 40, A: 28}
		area.LineStyle.Width = 0
		p.Add(area)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.From, Y: high * (0.98 - 0.07*float64(i%5))}}, Labels: []string{f.Kind}})
		if err != nil {
			return err
		}
		label.TextStyle[0].Font.Size = vg.Points(7)
		p.Add(label)
	}
	return nil
}

func (s *Summary) line(p *plot.Plot, name string, i int, value func(sec int) float64) error {
	var xy plotter.XYs
	for sec := range s.Seconds {
		xy = append(xy, plotter.XY{X: float64(sec) + 0.5, Y: value(sec)})
	}
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(i)
	l.Width = vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Y.Min = 0
	return p
}

// worthPlot is the worth asked for and served over time, with the faults behind it.
func (s *Summary) worthPlot() (string, error) {
	p := newPlot("Worth asked for and served", "seconds", "worth a second")
	high := 1.0
	for _, x := range s.Seconds {
		high = max(high, x.Asked)
	}
	high *= 1.25
	if err := s.shade(p, high); err != nil {
		return "", err
	}
	if err := s.line(p, "asked", 2, func(i int) float64 { return s.Seconds[i].Asked }); err != nil {
		return "", err
	}
	if err := s.line(p, "served", 1, func(i int) float64 { return s.Seconds[i].Served }); err != nil {
		return "", err
	}
	p.Y.Max = high
	return svg(p)
}

// ratePlot is what became of the tries over time.
func (s *Summary) ratePlot() (string, error) {
	p := newPlot("Answers and attempts", "seconds", "a second")
	for i, c := range []struct {
		name  string
		value func(i int) float64
	}{
		{"served", func(i int) float64 { return float64(s.Seconds[i].OK) }},
		{"refused", func(i int) float64 { return float64(s.Seconds[i].Refused) }},
		{"failed", func(i int) float64 { return float64(s.Seconds[i].Failed) }},
		{"attempts", func(i int) float64 { return float64(s.Seconds[i].Attempts) }},
	} {
		if err := s.line(p, c.name, i, c.value); err != nil {
			return "", err
		}
	}
	return svg(p)
}

// latencyPlot is the percentiles of each class.
func (s *Summary) latencyPlot() (string, error) {
	p := newPlot("Time to the answer, by class", "", "ms")
	wide := vg.Points(11)
	names := make([]string, len(s.Classes))
	for i, q := range []struct {
		name  string
		value func(c int) float64
	}{
		{"p50", func(c int) float64 { return s.Classes[c].P50 }},
		{"p90", func(c int) float64 { return s.Classes[c].P90 }},
		{"p99", func(c int) float64 { return s.Classes[c].P99 }},
		{"p99.9", func(c int) float64 { return s.Classes[c].P999 }},
	} {
		var values plotter.Values
		for c := range s.Classes {
			values = append(values, q.value(c))
			names[c] = s.Classes[c].Name
		}
		bars, err := plotter.NewBarChart(values, wide)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Length(float64(i)-1.5) * wide
		p.Add(bars)
		p.Legend.Add(q.name, bars)
	}
	p.NominalX(names...)
	p.X.Max = float64(len(names)) // room for the legend
	return svg(p)
}

// drawnNodes is how many nodes' lines a picture can bear.
const drawnNodes = 16

// nodePlot is the attempts at each node over time, or, for many nodes, the least, median and most of them.
func (s *Summary) nodePlot() (string, error) {
	p := newPlot("Attempts by node", "seconds", "a second")
	at := func(n, sec int) float64 {
		if per := s.Verdict.Nodes[n].PerSecond; sec < len(per) {
			return float64(per[sec])
		}
		return 0
	}
	nodes := s.Verdict.Nodes
	if len(nodes) <= drawnNodes {
		for n := range nodes {
			if err := s.line(p, fmt.Sprintf("%d", n), n, func(sec int) float64 { return at(n, sec) }); err != nil {
				return "", err
			}
		}
		return svg(p)
	}
	for i, q := range []struct {
		name string
		part float64
	}{{"least", 0}, {"median", 0.5}, {"most", 1}} {
		err := s.line(p, q.name, i, func(sec int) float64 {
			all := make([]float64, len(nodes))
			for n := range nodes {
				all[n] = at(n, sec)
			}
			slices.Sort(all)
			return all[int(q.part*float64(len(all)-1))]
		})
		if err != nil {
			return "", err
		}
	}
	return svg(p)
}

// halves marks 1, 2 and 5 of each decade.
func halves(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for decade := math.Pow(10, math.Floor(math.Log10(low))); decade <= high; decade *= 10 {
		for _, m := range []float64{1, 2, 5} {
			if v := m * decade; v >= low && v <= high {
				ticks = append(ticks, plot.Tick{Value: v, Label: fmt.Sprintf("%.3g", v)})
			}
		}
	}
	return ticks
}

// Curve is a line of a plot.
type Curve struct {
	Name string
	X, Y []float64
}

// LogPlot draws curves over logarithmic axes. Values must be above 0.
func LogPlot(title, x, y string, curves []Curve) (string, error) {
	p := newPlot(title, x, y)
	p.Y.Min = math.Inf(1) // of the values
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.TickerFunc(halves)
	return curvesOn(p, curves)
}

// LinePlot draws curves over axes from 0.
func LinePlot(title, x, y string, curves []Curve) (string, error) {
	p := newPlot(title, x, y)
	p.X.Min, p.Y.Min = 0, 0
	return curvesOn(p, curves)
}

func curvesOn(p *plot.Plot, curves []Curve) (string, error) {
	for i, c := range curves {
		var xy plotter.XYs
		for k := range c.X {
			xy = append(xy, plotter.XY{X: c.X[k], Y: c.Y[k]})
		}
		l, points, err := plotter.NewLinePoints(xy)
		if err != nil {
			return "", err
		}
		l.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(l, points)
		p.Legend.Add(c.Name, l, points)
	}
	return svg(p)
}
