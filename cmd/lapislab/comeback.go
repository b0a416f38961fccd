package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/lab/experiment"
	"lapisspread/internal/lab/judge"
	"lapisspread/internal/lab/report"
	"lapisspread/internal/lab/world"
)

// comeback is a run beside its twin.
type comeback struct {
	Experiment string  `json:"experiment"`
	Variant    string  `json:"variant"`
	Seed       uint64  `json:"seed"`
	Proxies    int     `json:"proxies"`
	G          float64 `json:"g"`
	TwinG      float64 `json:"twin_g"`
	Late       string  `json:"late,omitempty"` // why the machine was too slow for it to count
	judge.Recovery

	run, twin *report.Summary
}

func comebackCommand() *cobra.Command {
	var o struct {
		seeds, proxies []uint
		sockets        bool
		json, svg      string
	}
	c := &cobra.Command{
		Use:   "comeback [EXPERIMENT ...]",
		Short: "Play disturbances beside twins without them, and tell how long full service takes to return",
		Long: `comeback plays each variant of each experiment twice for each seed, with its faults and without, and compares second by
second what was served. Full service is 0.95 of the twin's worth in a sliding second, held for five seconds. A rule that was
broken fails the command. In virtual time, or on sockets with --sockets.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				args = []string{"comeback"}
			}
			var rows []comeback
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-18s %-18s %7s %6s %7s %7s %9s %8s %8s %7s %7s %7s %7s %7s %6s %5s\n", "experiment", "variant", "proxies", "seed", "1st s", "worst",
				"back", "of start", "lost s", "refused", "calls", "conns", "probes", "tries", "broken", "stale")
			for _, name := range args {
				f, err := named(name)
				if err != nil {
					return err
				}
				sizes := o.proxies
				if len(sizes) == 0 {
					sizes = []uint{0}
				}
				for _, n := range sizes {
					got, err := comebacks(cmd.Context(), out, sized(f, int(n)), o.seeds, o.sockets)
					if err != nil {
						return err
					}
					rows = append(rows, got...)
				}
			}
			if o.json != "" {
				text, err := json.MarshalIndent(rows, "", " ")
				if err != nil {
					return fmt.Errorf("the result: %w", err)
				}
				if err := os.WriteFile(o.json, append(text, '\n'), 0o644); err != nil {
					return fmt.Errorf("the result: %w", err)
				}
			}
			if o.svg != "" {
				if err := drawComeback(o.svg, rows[0]); err != nil {
					return err
				}
			}
			for _, r := range rows {
				if r.Broken > 0 && r.Late == "" {
					return fmt.Errorf("%w: %s, %s, seed %d: %s", errBroken, r.Experiment, r.Variant, r.Seed, first(r.run.Verdict))
				}
			}
			return nil
		},
	}
	c.Flags().UintSliceVar(&o.seeds, "seeds", nil, "what chance comes from (default as the experiment says)")
	c.Flags().UintSliceVar(&o.proxies, "proxies", nil, "fleets of these sizes, with nodes in step (default as the experiment says)")
	c.Flags().BoolVar(&o.sockets, "sockets", false, "around real proxies, in real time")
	c.Flags().StringVar(&o.json, "json", "", "write the rows to this file")
	c.Flags().StringVar(&o.svg, "svg", "", "draw the first row, the run over its twin, into this file")
	return c
}

// sized is an experiment with a fleet of so many proxies, and nodes in step; 0 is as it stands.
func sized(f *experiment.File, proxies int) *experiment.File {
	if proxies == 0 {
		return f
	}
	out := *f
	s := f.Spec(f.Seeds[0], 1)
	out.World.Proxies, out.World.Nodes = proxies, max(len(s.Zones), s.Nodes*proxies/s.Proxies)
	return &out
}

// comebacks plays all variants and seeds of an experiment, tells each and the means.
func comebacks(ctx context.Context, out io.Writer, f *experiment.File, seeds []uint, sockets bool) ([]comeback, error) {
	if len(seeds) == 0 {
		for _, s := range f.Seeds {
			seeds = append(seeds, uint(s))
		}
	}
	spec := f.Spec(f.Seeds[0], 1)
	strike, start, err := struck(&spec)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Name, err)
	}
	var rows []comeback
	for _, v := range f.Variants {
		var mean comeback
		worst := 2.0
		for _, seed := range seeds {
			row := comeback{Experiment: f.Name, Variant: v.Name, Seed: uint64(seed), Proxies: spec.Proxies}
			calm := v
			calm.Calm = true
			if row.run, err = runVariant(ctx, out, f, v, row.Seed, runOptions{}, sockets); err == nil {
				row.twin, err = runVariant(ctx, out, f, calm, row.Seed, runOptions{}, sockets)
			}
			if err != nil {
				return rows, fmt.Errorf("%s, %s, seed %d: %w", f.Name, v.Name, seed, err)
			}
			if ctx.Err() != nil {
				return rows, errors.New("broken off; what was seen is told")
			}
			row.Recovery = judge.Recover(&row.run.Verdict, &row.twin.Verdict, strike, start)
			row.G, row.TwinG = row.run.Worth.G, row.twin.Worth.G
			for _, s := range []*report.Summary{row.run, row.twin} {
				if !s.Scored {
					row.Late = s.Late
				}
				if len(s.Problems) > 0 {
					return rows, fmt.Errorf("%w: %s, %s, seed %d: %s", errBroken, f.Name, v.Name, seed, s.Problems[0])
				}
			}
			row.tell(out, fmt.Sprint(seed))
			rows = append(rows, row)
			mean.add(&row.Recovery, len(seeds))
			worst = min(worst, row.FirstSecond)
		}
		mean.Experiment, mean.Variant, mean.Proxies = f.Name, v.Name, spec.Proxies
		mean.tell(out, "mean")
		fmt.Fprintf(out, "%-18s %-18s worst first second %.3f\n", f.Name, v.Name, worst)
	}
	return rows, nil
}

// struck tells when an experiment's first fault begins, and when the last proxy that it kills or stops is there again; where it
// does neither, when its last fault ends.
func struck(s *world.Spec) (strike, start time.Duration, err error) {
	if len(s.Faults) == 0 {
		return 0, 0, errors.New("it has no fault to come back from")
	}
	strike = s.Duration
	ends := func(f world.Fault) bool { return f.Kind == world.KillProxy || f.Kind == world.StopProxy }
	some := slices.ContainsFunc(s.Faults, ends)
	for _, ft := range s.Faults {
		if ft.Kind == world.KillProxy && ft.For == 0 {
			return 0, 0, fmt.Errorf("%s: for says how long proxies are away; it is missing", ft.Kind)
		}
		strike = min(strike, ft.At)
		if !some || ends(ft) {
			start = max(start, ft.At+ft.For+time.Duration(float64(ft.Every)*ft.Share*float64(s.Proxies)))
		}
	}
	return strike, start, nil
}

// add enters a row in a mean over n.
func (c *comeback) add(r *judge.Recovery, n int) {
	m, part := &c.Recovery, 1/float64(n)
	m.Back = r.Back && (m.Back || m.FromStrike == 0)
	for _, v := range [][2]*float64{{&m.FromStrike, &r.FromStrike}, {&m.FromStart, &r.FromStart}, {&m.FirstSecond, &r.FirstSecond}, {&m.Worst, &r.Worst},
		{&m.LostSeconds, &r.LostSeconds}, {&m.Calls, &r.Calls}, {&m.Opened, &r.Opened}, {&m.Probes, &r.Probes}, {&m.Attempts, &r.Attempts}} {
		*v[0] += *v[1] * part
	}
	m.Refused, m.Broken, m.Stale = m.Refused+r.Refused, m.Broken+r.Broken, m.Stale+r.Stale
}

func (c *comeback) tell(out io.Writer, seed string) {
	back, start := "never", "-"
	if c.Back {
		back, start = fmt.Sprintf("%.1f s", c.FromStrike/1000), fmt.Sprintf("%.1f s", c.FromStart/1000)
	}
	note := ""
	if c.Late != "" {
		note = "  NOT SCORED: " + c.Late
	}
	fmt.Fprintf(out, "%-18s %-18s %7d %6s %7.3f %7.3f %9s %8s %8.2f %7d %7.1f %7.1f %7.1f %7.1f %6d %5d%s\n", c.Experiment, c.Variant, c.Proxies, seed, c.FirstSecond,
		c.Worst, back, start, c.LostSeconds, c.Refused, c.Calls, c.Opened, c.Probes, c.Attempts, c.Broken, c.Stale, note)
}

// drawComeback draws what a run and its twin have served.
func drawComeback(path string, c comeback) error {
	var curves []report.Curve
	for name, s := range map[string]*report.Summary{"without the disturbance": c.twin, "with it": c.run} {
		curve := report.Curve{Name: name}
		for i, sec := range s.Seconds {
			curve.X, curve.Y = append(curve.X, float64(i)), append(curve.Y, sec.Served)
		}
		curves = append(curves, curve)
	}
	picture, err := report.LinePlot(fmt.Sprintf("%s, %s, seed %d", c.Experiment, c.Variant, c.Seed), "second in which requests came", "worth served", curves)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(`<?xml version="1.0"?>`+"\n"+picture), 0o644); err != nil {
		return fmt.Errorf("the picture: %w", err)
	}
	return nil
}
