package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/report"
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
	checker.Recovery

	run, twin *report.Summary
}

func comebackCommand() *cobra.Command {
	var o struct {
		seeds, proxies []uint
		drawn          int
		share          float64
		sockets        bool
		before         string
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
			if o.drawn > 0 {
				return drawnComebacks(cmd.Context(), cmd.OutOrStdout(), args[0], o.drawn, o.sockets)
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
				if f, err = changed(f, o.share, o.before); err != nil {
					return usageError{err}
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
			if err := writeResult(o.json, rows); err != nil {
				return err
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
	c.Flags().IntVar(&o.drawn, "drawn", 0, "so many drawn sequences of troubles in the experiment's world, in place of its own")
	c.Flags().Float64Var(&o.share, "share", 0, "of the proxies that are killed (default as the experiment says)")
	c.Flags().StringVar(&o.before, "before", "", "on sockets: another proxy's program, held beside as a variant of its own")
	c.Flags().BoolVar(&o.sockets, "sockets", false, "around real proxies, in real time")
	c.Flags().StringVar(&o.json, "json", "", "write the rows to this file")
	c.Flags().StringVar(&o.svg, "svg", "", "draw the first row, the run over its twin, into this file")
	return c
}

// Drawn troubles strike between these times; after the last one has ended there is time to come back.
const (
	drawnFrom  = 6 * time.Second
	drawnUntil = 16 * time.Second
	drawnRun   = 34 * time.Second
	drawnBack  = 5 * time.Second // within which all must be back
)

// draw gives a sequence of two to five troubles. None of them is one from which nobody could come back: a share of the nodes is
// left alone.
func draw(rng *rand.Rand, sockets bool) []experiment.Fault {
	kinds := []string{model.KillProxy, model.KillProxy, model.StopProxy, model.RestartStorm, model.AllSlow, model.Hang, model.BlackHole, model.CutOff, model.RegisterStale}
	if sockets {
		kinds = append(kinds, model.RegisterBusy, model.StateFolder, model.Link)
	}
	var faults []experiment.Fault
	for range 2 + rng.IntN(4) {
		f := experiment.Fault{Kind: kinds[rng.IntN(len(kinds))], At: experiment.Span(drawnFrom + time.Duration(rng.Int64N(int64(drawnUntil-drawnFrom)))),
			For: experiment.Span(500*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))), Share: 0.1 + 0.2*rng.Float64()}
		switch f.Kind {
		case model.KillProxy, model.StopProxy:
			f.Share = 0.3 + 0.7*rng.Float64()
		case model.RestartStorm:
			f.For = 0
		case model.AllSlow:
			f.Size = 1.5 + rng.Float64()
		case model.StateFolder:
			f.For, f.Do = 0, model.StateTroubles[rng.IntN(len(model.StateTroubles))]
		case model.Link:
			f.Do, f.To = "silence", []string{"register", "node-0,node-1"}[rng.IntN(2)]
		}
		faults = append(faults, f)
	}
	return faults
}

// drawnComebacks plays drawn sequences in an experiment's world, and tells those that have not come back in time.
func drawnComebacks(ctx context.Context, out io.Writer, name string, n int, sockets bool) error {
	f, err := named(name)
	if err != nil {
		return err
	}
	var took []float64
	late := 0
	for seed := range n {
		at := *f
		at.Duration = experiment.Span(drawnRun)
		at.Faults = draw(rand.New(rand.NewPCG(uint64(seed), 23)), sockets)
		spec := at.Spec(uint64(seed), 1)
		run, twin, err := withTwin(ctx, out, &at, f.Variants[0], uint64(seed), sockets)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return errors.New("broken off; what was seen is told")
		}
		var what []string
		end := time.Duration(0)
		for _, ft := range spec.Faults {
			over := ft.At + ft.For
			if ft.Kind == model.RestartStorm { // one node after the other, each away for a moment
				over = ft.At + time.Duration(float64(spec.Nodes)*ft.Share+1)*300*time.Millisecond + time.Second
			}
			end = max(end, over)
			what = append(what, fmt.Sprintf("%s %.1f-%.1f", ft.Kind, ft.At.Seconds(), over.Seconds()))
		}
		r := checker.Recover(&run.Verdict, &twin.Verdict, end, end)
		if r.Back {
			took = append(took, r.FromStrike/1000)
		}
		if !r.Back || r.FromStrike > model.Millis(drawnBack) || r.Broken > 0 {
			late++
			back := "never back"
			if r.Back {
				back = fmt.Sprintf("back after %.2f s", r.FromStrike/1000)
			}
			note := ""
			if !run.Scored || !twin.Scored {
				note = "  NOT SCORED"
			}
			fmt.Fprintf(out, "seed %d: %s, %d rules broken, refused %d: %s%s\n", seed, back, r.Broken, r.Refused, strings.Join(what, ", "), note)
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		fmt.Fprintf(out, "%d of %d are back; after %.2f s in the median, %.2f s at most\n", len(took), n, took[len(took)/2], took[len(took)-1])
	}
	if late > 0 {
		return fmt.Errorf("%w: %d of %d are not back within %v of the last trouble's end, or broke a rule", errBroken, late, n, drawnBack)
	}
	return nil
}

// withTwin plays a variant, and again without its faults.
func withTwin(ctx context.Context, out io.Writer, f *experiment.File, v experiment.Variant, seed uint64, sockets bool) (run, twin *report.Summary, err error) {
	if run, err = runVariant(ctx, out, f, v, seed, runOptions{}, sockets); err != nil {
		return nil, nil, err
	}
	v.Calm = true
	twin, err = runVariant(ctx, out, f, v, seed, runOptions{}, sockets)
	return run, twin, err
}

// changed is an experiment whose kills take another share, if one is given, and with a further variant of another program.
func changed(f *experiment.File, share float64, before string) (*experiment.File, error) {
	if !(share >= 0 && share <= 1) {
		return nil, fmt.Errorf("--share: %v is not within 0 and 1", share)
	}
	out := *f
	out.Faults = slices.Clone(f.Faults)
	for i := range out.Faults {
		if out.Faults[i].Kind == model.KillProxy && share > 0 {
			out.Faults[i].Share = share
		}
	}
	if before != "" {
		if _, err := os.Stat(before); err != nil {
			return nil, fmt.Errorf("--before: %w", err)
		}
		out.Variants = append([]experiment.Variant{{Name: "before", Binary: before}}, f.Variants...)
	}
	return &out, nil
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
			if row.run, row.twin, err = withTwin(ctx, out, f, v, row.Seed, sockets); err != nil {
				return rows, fmt.Errorf("%s, %s, seed %d: %w", f.Name, v.Name, seed, err)
			}
			if ctx.Err() != nil {
				return rows, errors.New("broken off; what was seen is told")
			}
			row.Recovery = checker.Recover(&row.run.Verdict, &row.twin.Verdict, strike, start)
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
func struck(s *model.Spec) (strike, start time.Duration, err error) {
	if len(s.Faults) == 0 {
		return 0, 0, errors.New("it has no fault to come back from")
	}
	strike = s.Duration
	ends := func(f model.Fault) bool { return f.Kind == model.KillProxy || f.Kind == model.StopProxy }
	some := slices.ContainsFunc(s.Faults, ends)
	for _, ft := range s.Faults {
		if ft.Kind == model.KillProxy && ft.For == 0 {
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
func (c *comeback) add(r *checker.Recovery, n int) {
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
