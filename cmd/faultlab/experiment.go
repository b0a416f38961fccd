package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/report"
)

// outcome is what an experiment has come to.
type outcome struct {
	Schema      int              `json:"schema"`
	Name        string           `json:"name"`
	Driver      string           `json:"driver"`
	Partial     bool             `json:"partial"`
	RulesBroken int              `json:"rules_broken"` // by variants that are not flawed on purpose
	Variants    []variantOutcome `json:"variants"`
	Breaches    []map[string]any `json:"breaches"`
}

type variantOutcome struct {
	Name        string                 `json:"name"`
	G           []float64              `json:"g"` // by seed
	Whole       []float64              `json:"whole"`
	RulesBroken int                    `json:"rules_broken"`
	NotScored   int                    `json:"not_scored"`
	P99         map[string][]float64   `json:"p99_ms"`                     // by class and seed
	Share       map[string][]float64   `json:"class_share"`                // of the worth, by class and seed
	CPU         []float64              `json:"cpu_us_a_request,omitempty"` // on sockets, by seed
	Against     *experiment.Difference `json:"g_against_first,omitempty"`
	WholeDiff   *experiment.Difference `json:"whole_against_first,omitempty"`
}

func experimentCommand() *cobra.Command {
	var o runOptions
	var sockets, baselines bool
	var seeds int
	c := &cobra.Command{
		Use:   "experiment FILE|NAME",
		Short: "Run an experiment's variants in turn over its seeds, and tell the differences with confidence intervals",
		Long: `experiment runs all variants of an experiment, in turn for each seed, and tells how each differs from the first,
with the 95 % confidence interval over the seeds. In virtual time, or on sockets with --sockets.`,
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := named(args[0])
			if err != nil {
				return err
			}
			f.Stretch(o.duration)
			if baselines {
				f.Variants = []experiment.Variant{{Name: baseline.Module, Policy: baseline.Module}}
				for _, b := range baseline.Baselines {
					f.Variants = append(f.Variants, experiment.Variant{Name: b, Policy: b})
				}
			}
			if seeds > 0 {
				f.Seeds = nil
				for s := range seeds {
					f.Seeds = append(f.Seeds, uint64(s+1))
				}
			}
			res, err := runExperiment(cmd.Context(), cmd.OutOrStdout(), f, o, sockets)
			if err != nil {
				return err
			}
			if err := writeResult(o.json, res); err != nil {
				return err
			}
			switch {
			case res.Partial:
				return errors.New("broken off; what was seen is told")
			case res.RulesBroken > 0:
				return fmt.Errorf("%w: %d times a rule was broken", errBroken, res.RulesBroken)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&sockets, "sockets", false, "on sockets, in real time, in place of virtual time")
	c.Flags().BoolVar(&baselines, "baselines", false, "compare the module with all plain policies, whatever variants the file has")
	c.Flags().IntVar(&seeds, "seeds", 0, "seeds 1 to this, in place of the file's")
	c.Flags().DurationVar(&o.duration, "duration", 0, "play each run in this time; all its times follow")
	c.Flags().StringVar(&o.json, "json", "", "write the result to this file")
	c.Flags().StringVar(&o.out, "out", "", "write each run's report into a folder of its own under this one")
	return c
}

func runExperiment(ctx context.Context, out io.Writer, f *experiment.File, o runOptions, sockets bool) (*outcome, error) {
	res := &outcome{Schema: report.Schema, Name: f.Name, Driver: "simulate", Breaches: []map[string]any{}}
	if sockets {
		res.Driver = "run"
	}
	for _, v := range f.Variants {
		res.Variants = append(res.Variants, variantOutcome{Name: v.Name, P99: map[string][]float64{}, Share: map[string][]float64{}})
	}
	begun := time.Now()
	for n, seed := range f.Seeds {
		gs := make([]*report.Summary, len(f.Variants))
		for k := range f.Variants { // who begins changes from seed to seed
			i := (k + n) % len(f.Variants)
			s, err := runVariant(ctx, out, f, f.Variants[i], seed, o, sockets)
			if err != nil {
				return nil, fmt.Errorf("variant %s, seed %d: %w", f.Variants[i].Name, seed, err)
			}
			if ctx.Err() != nil {
				res.Partial = true
				break
			}
			gs[i] = s
			fmt.Fprintf(out, "seed %-3d %-20s G %.3f  whole %.3f  rules broken %d%s\n", seed, f.Variants[i].Name, s.Worth.G, s.Worth.Whole,
				s.RulesBroken, map[bool]string{true: "", false: "  NOT SCORED"}[s.Scored])
		}
		if res.Partial {
			break
		}
		for i, s := range gs {
			v := &res.Variants[i]
			v.RulesBroken += s.RulesBroken
			v.G, v.Whole = append(v.G, s.Worth.G), append(v.Whole, s.Worth.Whole)
			if !s.Scored {
				v.NotScored++
			}
			for _, c := range s.Classes {
				v.P99[c.Name] = append(v.P99[c.Name], c.P99)
				v.Share[c.Name] = append(v.Share[c.Name], c.Share)
			}
			if len(s.Usage) > 0 {
				v.CPU = append(v.CPU, s.PerRequest())
			}
			for _, b := range s.Breaches {
				res.Breaches = append(res.Breaches, map[string]any{"variant": v.Name, "seed": seed, "breach": b})
			}
			res.RulesBroken += s.RulesBroken
		}
	}
	fmt.Fprintf(out, "%s, %d seeds, %v:\n", f.Name, len(res.Variants[0].G), time.Since(begun).Round(time.Second))
	for i := range res.Variants {
		v := &res.Variants[i]
		if len(v.G) == 0 {
			continue
		}
		mean, err := experiment.Paired(make([]float64, len(v.G)), v.G)
		if err != nil {
			return nil, err
		}
		line := fmt.Sprintf("  %-20s G %.3f", v.Name, mean.Mean)
		if i > 0 {
			d, err := experiment.Paired(res.Variants[0].G, v.G)
			if err != nil {
				return nil, err
			}
			w, err := experiment.Paired(res.Variants[0].Whole, v.Whole)
			if err != nil {
				return nil, err
			}
			if d.N > 1 {
				v.Against, v.WholeDiff = &d, &w
			}
			line += fmt.Sprintf("  against %s: G %s; whole %s", res.Variants[0].Name, d.Text(), w.Text())
		}
		if len(v.CPU) > 0 {
			line += fmt.Sprintf("; %.0f us of CPU a request", median(v.CPU))
			if i > 0 && len(res.Variants[0].CPU) == len(v.CPU) {
				var ratios []float64
				for k := range v.CPU {
					ratios = append(ratios, v.CPU[k]/res.Variants[0].CPU[k])
				}
				line += fmt.Sprintf(", %.2f times as much [%.2f, %.2f]", median(ratios), slices.Min(ratios), slices.Max(ratios))
			}
		}
		if v.NotScored > 0 {
			line += fmt.Sprintf("; %d runs do not count, the machine was too slow", v.NotScored)
		}
		fmt.Fprintln(out, line)
		if i == 0 {
			continue
		}
		for _, class := range slices.Sorted(maps.Keys(v.P99)) {
			ratio := func(mine, first []float64) float64 {
				if len(first) != len(mine) || median(first) == 0 {
					return 0
				}
				return median(mine) / median(first)
			}
			fmt.Fprintf(out, "    %-18s p99 %.2f and worth %.3f times that of %s\n", class, ratio(v.P99[class], res.Variants[0].P99[class]),
				ratio(v.Share[class], res.Variants[0].Share[class]), res.Variants[0].Name)
		}
	}
	return res, nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func runVariant(ctx context.Context, out io.Writer, f *experiment.File, v experiment.Variant, seed uint64, o runOptions, sockets bool) (*report.Summary, error) {
	var s *report.Summary
	var err error
	policy := v.Policy
	if policy == "" {
		policy = baseline.Module
	}
	if v.Calm {
		calm := *f
		calm.Faults = nil
		f = &calm
	}
	if sockets {
		s, err = playLive(ctx, io.Discard, f, runOptions{seed: seed, policy: policy, proxy: v.Binary, args: v.Args, services: v.Services, flood: v.Flood, admission: v.Admission, comeback: v.Comeback, sample: o.sample}, v.Load)
	} else {
		spec := f.Spec(seed, v.Load)
		var memory time.Duration
		if v.Comeback != "" { // there are no lists to doubt and no calls in virtual time
			c, err := guardedsource.Parse(v.Name+": comeback", []byte(v.Comeback))
			if err != nil {
				return nil, err
			}
			memory = c.SnapshotInterval()
		}
		s, err = simulate(ctx, f.Name, &spec, policy, memory, io.Discard)
	}
	if err != nil {
		return nil, err
	}
	if o.out != "" {
		if _, err := report.Folder(filepath.Join(o.out, fmt.Sprintf("%s-%s-%d", f.Name, v.Name, seed)), s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Tell in what two runs differ, by their summary.json",
		Args:  usage(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := report.Read(args[0])
			if err != nil {
				return err
			}
			b, err := report.Read(args[1])
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Compare(a, b))
			return nil
		},
	}
}
