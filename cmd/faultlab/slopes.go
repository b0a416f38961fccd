package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

// growth is one figure measured at several sizes, with what it comes to at another.
type growth struct {
	Measure string    `json:"measure"`
	Value   string    `json:"value"`
	Unit    string    `json:"unit"`
	Axis    string    `json:"axis"` // what the sizes count
	Sizes   []float64 `json:"sizes"`
	Values  []float64 `json:"values"`
	Fit     *fit      `json:"fit,omitempty"` // nil of fewer than four sizes
	Target  float64   `json:"target,omitempty"`
	At      float64   `json:"at_target"`
	How     string    `json:"how"` // measured, line, curve or none
}

// fit is a line and a curve through points, by least squares of the relative errors. What a fit leaves over is the largest distance of
// a point from it, as a part of the measured value.
type fit struct {
	Intercept float64 `json:"intercept"` // of the line
	Slope     float64 `json:"slope"`
	LineOver  float64 `json:"line_over"`
	Factor    float64 `json:"factor"` // of the curve factor * size^exponent
	Exponent  float64 `json:"exponent"`
	CurveOver float64 `json:"curve_over"`
}

// leastSizes is of how many points a slope is drawn.
const leastSizes = 4

// fitOf fits points whose sizes and values are above 0; ok is false for fewer than four sizes.
func fitOf(sizes, values []float64) (f fit, ok bool) {
	if len(slices.Compact(slices.Sorted(slices.Values(sizes)))) < leastSizes || len(sizes) != len(values) {
		return fit{}, false
	}
	var w, wx, wxx, wy, wxy, n, lx, lxx, ly, lxy float64
	for i, x := range sizes {
		y := values[i]
		if x <= 0 || y <= 0 {
			return fit{}, false
		}
		k := 1 / (y * y)
		w, wx, wxx, wy, wxy = w+k, wx+k*x, wxx+k*x*x, wy+k*y, wxy+k*x*y
		a, b := math.Log(x), math.Log(y)
		n, lx, lxx, ly, lxy = n+1, lx+a, lxx+a*a, ly+b, lxy+a*b
	}
	f.Slope = (w*wxy - wx*wy) / (w*wxx - wx*wx)
	f.Intercept = (wy - f.Slope*wx) / w
	f.Exponent = (n*lxy - lx*ly) / (n*lxx - lx*lx)
	f.Factor = math.Exp((ly - f.Exponent*lx) / n)
	for i, x := range sizes {
		y := values[i]
		f.LineOver = max(f.LineOver, math.Abs(f.Intercept+f.Slope*x-y)/y)
		f.CurveOver = max(f.CurveOver, math.Abs(f.Factor*math.Pow(x, f.Exponent)-y)/y)
	}
	return f, true
}

// straight is up to how much a line may leave over to be taken for what the points say.
const straight = .1

// at is what the fit says of a size: by the line if that leaves little over or less than the curve, else by the curve.
func (f *fit) at(x float64) (y float64, how string) {
	line := f.Intercept + f.Slope*x
	if f.LineOver <= max(straight, f.CurveOver) && line > 0 {
		return line, "line"
	}
	return f.Factor * math.Pow(x, f.Exponent), "curve"
}

// conclude fits, and says what the figure comes to at the target.
func (g *growth) conclude() {
	if f, ok := fitOf(g.Sizes, g.Values); ok {
		g.Fit = &f
	}
	g.How = "none"
	if g.Target == 0 {
		return
	}
	if i := slices.Index(g.Sizes, g.Target); i >= 0 {
		g.At, g.How = g.Values[i], "measured"
	} else if g.Fit != nil {
		g.At, g.How = g.Fit.at(g.Target)
	}
}

func short(v float64) string {
	a := math.Abs(v)
	switch {
	case a == 0:
		return "0"
	case a >= 1e6 || a < .001:
		return strconv.FormatFloat(v, 'g', 3, 64)
	case a >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case a >= 10:
		return strconv.FormatFloat(v, 'f', 1, 64)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

func writeGrowth(w io.Writer, all []growth) {
	was := ""
	for i := range all {
		g := &all[i]
		if head := fmt.Sprint(g.Measure, g.Axis, g.Sizes); head != was {
			was = head
			fmt.Fprintf(w, "\n%s, by %s:\n%-26s", g.Measure, g.Axis, "")
			for _, s := range g.Sizes {
				fmt.Fprintf(w, " %9.0f", s)
			}
			fmt.Fprintf(w, "  %9s %8s %9s %8s  %s\n", "slope", "leaves", "exponent", "leaves", "at the target")
		}
		fmt.Fprintf(w, "%-26s", g.Value+", "+g.Unit)
		for _, v := range g.Values {
			fmt.Fprintf(w, " %9s", short(v))
		}
		if f := g.Fit; f != nil {
			fmt.Fprintf(w, "  %9s %7.0f%% %9.2f %7.0f%%", short(f.Slope), 100*f.LineOver, f.Exponent, 100*f.CurveOver)
		} else {
			fmt.Fprintf(w, "  %9s %8s %9s %8s", "-", "-", "-", "-")
		}
		if g.How != "none" {
			fmt.Fprintf(w, "  %s at %.0f, %s", short(g.At), g.Target, g.How)
		}
		fmt.Fprintln(w)
	}
}

// benchLine is a line of go test -bench whose case ends in a size.
var benchLine = regexp.MustCompile(`^Benchmark(\S*?)[/=](\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// fromBenches reads what go test -bench has written. Of a case that was run several times the least counts.
func fromBenches(r io.Reader, target float64) ([]growth, error) {
	type key struct{ name, unit string }
	points := map[key]map[float64]float64{}
	var order []key
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		m := benchLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		size, _ := strconv.ParseFloat(m[2], 64)
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("a benchmark's line: %q: %w", lines.Text(), err)
			}
			k := key{m[1], fields[i+1]}
			if points[k] == nil {
				points[k] = map[float64]float64{}
				order = append(order, k)
			}
			if was, any := points[k][size]; !any || v < was {
				points[k][size] = v
			}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("the benchmarks: %w", err)
	}
	var all []growth
	for _, k := range order {
		g := growth{Measure: k.name, Value: k.name, Unit: k.unit, Axis: "size", Target: target}
		for _, size := range slices.Sorted(maps.Keys(points[k])) {
			g.Sizes, g.Values = append(g.Sizes, size), append(g.Values, points[k][size])
		}
		g.conclude()
		all = append(all, g)
	}
	if all == nil {
		return nil, errors.New("no benchmark whose name ends in a size was read")
	}
	return all, nil
}

func slopesCommand() *cobra.Command {
	var o struct {
		sizes, json, program string
		target               float64
		times, procs         int
		benches              bool
	}
	var names []string
	for i := range measures {
		names = append(names, fmt.Sprintf("  %-16s %s, by %s", measures[i].name, measures[i].what, measures[i].axis))
	}
	c := &cobra.Command{
		Use:   "slopes [MEASURE...]",
		Short: "Measure what a fleet's state, talk and computing grow by, at several sizes of each thing",
		Long: `slopes measures without a fleet: pure rules, tables, lists and modules at several sizes. It fits a line and a curve, tells what each
leaves over, and what the figure comes to at the target size (docs/CAPACITY.md).

Times are of the processor, all threads, the least of several; with --benches it reads what go test -bench has written instead.

` + strings.Join(names, "\n"),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []growth
			w := cmd.OutOrStdout()
			if o.benches {
				if len(args) > 0 {
					return usageError{errors.New("benchmarks are read from standard input; no measure is named beside them")}
				}
				read, err := fromBenches(cmd.InOrStdin(), o.target)
				if err != nil {
					return err
				}
				writeGrowth(w, read)
				return writeResult(o.json, read)
			}
			if len(args) == 0 {
				return cmd.Help()
			}
			if o.procs < 1 || o.times < 1 {
				return usageError{errors.New("--procs and --times: wanted 1 or more")}
			}
			var sizes []int
			if o.sizes != "" {
				var err error
				if sizes, err = numbers("--sizes", o.sizes); err != nil {
					return err
				}
				if slices.Min(sizes) < 1 {
					return usageError{errors.New("--sizes: wanted 1 or more")}
				}
			}
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(o.procs))
			for _, name := range args {
				at := slices.IndexFunc(measures, func(m measure) bool { return m.name == name })
				if at < 0 {
					return usageError{fmt.Errorf("there is no measure %q", name)}
				}
				m := measures[at]
				if sizes != nil {
					m.sizes = sizes
				}
				if o.target != 0 {
					m.target = o.target
				}
				got, err := m.take(cmd.Context(), &rig{times: o.times, program: o.program})
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				writeGrowth(w, got)
				all = append(all, got...)
			}
			return writeResult(o.json, all)
		},
	}
	c.Flags().StringVar(&o.sizes, "sizes", "", "in place of the measure's own, separated by commas")
	c.Flags().Float64Var(&o.target, "target", 0, "size that is worked out; 0 is the measure's own")
	c.Flags().IntVar(&o.times, "times", 3, "each time is taken so often; the least counts")
	c.Flags().IntVar(&o.procs, "procs", 1, "processors that are used at once")
	c.Flags().StringVar(&o.program, "program", "", "path of lapisspread, for the measure process")
	c.Flags().BoolVar(&o.benches, "benches", false, "fit what go test -bench has written to standard input")
	c.Flags().StringVar(&o.json, "json", "", "write the points to this file")
	return c
}

// take measures all sizes.
func (m *measure) take(ctx context.Context, r *rig) ([]growth, error) {
	var all []growth
	for _, size := range m.sizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		got, err := m.of(ctx, r, size)
		if err != nil {
			return nil, fmt.Errorf("%d %s: %w", size, m.axis, err)
		}
		for _, v := range got {
			i := slices.IndexFunc(all, func(g growth) bool { return g.Value == v.name })
			if i < 0 {
				i = len(all)
				all = append(all, growth{Measure: m.name, Value: v.name, Unit: v.unit, Axis: m.axis, Target: m.target})
			}
			all[i].Sizes, all[i].Values = append(all[i].Sizes, float64(size)), append(all[i].Values, v.is)
		}
		fmt.Fprintf(os.Stderr, "%s: %d %s done\n", m.name, size, m.axis)
	}
	for i := range all {
		all[i].conclude()
	}
	return all, nil
}
