package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/report"
)

// retryBurst is how many further attempts a proxy may have saved up beside its budget.
const retryBurst = 10

// overloadPoint is one variant at one load. Goodput counts answers by what of their worth they earned.
type overloadPoint struct {
	Variant string  `json:"variant"`
	Load    float64 `json:"load"`    // times what the machines can do
	Offered float64 `json:"offered"` // first tries a second
	Goodput float64 `json:"goodput"` // a second
	Taken   int     `json:"taken"`   // what clients sent again counts too
	Refused int     `json:"refused"`
	Repeats int     `json:"repeats"`
	Budget  float64 `json:"repeats_budget"`
	Beside  float64 `json:"beside_share"`  // of its worth, of what the same machines serve besides; the least served's
	Others  float64 `json:"others_share"`  // likewise, of what other services' machines serve
	P99     float64 `json:"others_p99_ms"` // of these, the longest
	Broken  int     `json:"rules_broken"`
}

func overloadCommand() *cobra.Command {
	var o runOptions
	var svg string
	c := &cobra.Command{
		Use:   "overload [FILE|NAME]",
		Short: "Raise one class past what its machines can do, on sockets, and tell its goodput and how the others fare",
		Long: `overload plays an experiment that has a sweep, once for each of its variants and loads, on sockets. It fails if a
rule was broken, or if proxies repeated more than the sweep's budget.`,
		Args: usage(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := "overload"
			if len(args) > 0 {
				name = args[0]
			}
			f, err := named(name)
			if err != nil {
				return err
			}
			if f.Sweep == nil {
				return fmt.Errorf("%s: it has no sweep", f.Name)
			}
			f.Stretch(o.duration)
			points, err := overload(cmd.Context(), cmd.OutOrStdout(), f, o)
			if err != nil {
				return err
			}
			if err := writeResult(o.json, points); err != nil {
				return err
			}
			if svg != "" {
				if err := drawOverload(svg, f, points); err != nil {
					return err
				}
			}
			var errs []error
			for _, p := range points {
				if p.Broken > 0 {
					errs = append(errs, fmt.Errorf("%w: %s at %.2f times: %d times a rule was broken", errBroken, p.Variant, p.Load, p.Broken))
				}
				if float64(p.Repeats) > p.Budget {
					errs = append(errs, fmt.Errorf("%w: %s at %.2f times: %d repeats, the budget is %.0f", errBroken, p.Variant, p.Load, p.Repeats, p.Budget))
				}
			}
			return errors.Join(errs...)
		},
	}
	c.Flags().Uint64Var(&o.seed, "seed", 1, "what chance comes from")
	c.Flags().DurationVar(&o.duration, "duration", 0, "play each run in this time")
	c.Flags().StringVar(&o.json, "json", "", "write the points to this file")
	c.Flags().StringVar(&svg, "svg", "", "draw goodput over offered load into this file")
	return c
}

func overload(ctx context.Context, w io.Writer, f *experiment.File, o runOptions) ([]overloadPoint, error) {
	var points []overloadPoint
	fmt.Fprintf(w, "%-16s %5s %9s %9s %8s %8s %8s %8s %7s %7s %12s %7s\n", "variant", "load", "offered/s", "goodput/s", "taken", "refused", "repeats", "budget", "beside", "others", "others' p99", "broken")
	host := ""
	for _, c := range f.Classes {
		if c.Name == f.Sweep.Class {
			host = c.Host
		}
	}
	for _, load := range f.Sweep.Loads {
		at, rate, err := f.At(load, o.seed)
		if err != nil {
			return points, err
		}
		for _, v := range f.Variants { // in turn at each load: a noisy spell of the machine strikes all alike
			s, err := runVariant(ctx, w, at, v, o.seed, runOptions{}, true)
			if err != nil {
				return points, fmt.Errorf("%s at %.2f times: %w", v.Name, load, err)
			}
			if ctx.Err() != nil {
				return points, errors.New("broken off; what was seen is told")
			}
			p := overloadPoint{Variant: v.Name, Load: load, Offered: rate, Broken: s.RulesBroken, Others: 1, Beside: 1}
			for i, c := range s.Classes {
				switch {
				case at.Classes[i].Host != host:
					p.Others, p.P99 = min(p.Others, c.Share), max(p.P99, c.P99)
					continue
				case c.Name != f.Sweep.Class:
					p.Beside = min(p.Beside, c.Share)
					continue
				}
				p.Goodput = c.Share * float64(c.Requests) / s.Duration
				p.Taken, p.Refused, p.Repeats = c.Taken, c.Refused, c.Repeats
				p.Budget = f.Sweep.Repeats*float64(c.Taken) + retryBurst*float64(s.Proxies)
			}
			points = append(points, p)
			note := ""
			if !s.Scored {
				note = "  NOT SCORED: " + s.Late
			}
			fmt.Fprintf(w, "%-16s %5.2f %9.0f %9.1f %8d %8d %8d %8.0f %7.3f %7.3f %9.0f ms %7d%s\n", p.Variant, p.Load, p.Offered, p.Goodput, p.Taken, p.Refused,
				p.Repeats, p.Budget, p.Beside, p.Others, p.P99, p.Broken, note)
		}
	}
	return points, nil
}

// drawOverload draws goodput over offered load, as shares of what the machines can do, and how the others fare.
func drawOverload(path string, f *experiment.File, points []overloadPoint) error {
	var curves []report.Curve
	for _, v := range f.Variants {
		good := report.Curve{Name: f.Sweep.Class + ", " + v.Name}
		beside := report.Curve{Name: "beside it, " + v.Name}
		others := report.Curve{Name: "other services, " + v.Name}
		for _, p := range points {
			if p.Variant == v.Name {
				good.X, good.Y = append(good.X, p.Load), append(good.Y, p.Goodput/p.Offered*p.Load)
				beside.X, beside.Y = append(beside.X, p.Load), append(beside.Y, p.Beside)
				others.X, others.Y = append(others.X, p.Load), append(others.Y, p.Others)
			}
		}
		curves = append(curves, good, beside, others)
	}
	picture, err := report.LinePlot(fmt.Sprintf("Goodput of %s past what its machines can do", f.Sweep.Class), "offered load, times what its machines can do",
		"goodput of what it offers; shares of worth", curves)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(`<?xml version="1.0"?>`+"\n"+picture), 0o644); err != nil {
		return fmt.Errorf("the picture: %w", err)
	}
	return nil
}
