package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/experiments"
	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/report"
	"lapisspread/internal/faultlab/simulation"
)

// named reads an experiment by its name or, if that has a dot or a slash, by its path.
func named(name string) (*experiment.File, error) {
	if strings.ContainsAny(name, "./") {
		return experiment.Load(name)
	}
	return experiments.Load(name)
}

func simulateCommand() *cobra.Command {
	var o struct {
		proxies, nodes int
		rate           float64
		duration       time.Duration
		seed           uint64
		policy, json   string
		quiet          bool
	}
	c := &cobra.Command{
		Use:   "simulate [EXPERIMENT]",
		Short: "Play an experiment in virtual time; equal seeds give equal bytes",
		Long: `simulate plays an experiment (calm if none is named) in virtual time with the decision module in process, and
writes its summary as JSON to standard output or to a file. Equal arguments give equal bytes on any machine.
Exit code 1 if a rule was broken.`,
		Args: usage(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := "calm"
			if len(args) > 0 {
				name = args[0]
			}
			f, err := named(name)
			if err != nil {
				return err
			}
			f.Stretch(o.duration)
			spec := f.Spec(o.seed, 1)
			if o.proxies > 0 {
				spec.Proxies = o.proxies
			}
			if o.nodes > 0 {
				spec.Nodes = o.nodes
			}
			if o.rate > 0 {
				spec.Load.Rate = o.rate
			}
			progress := cmd.ErrOrStderr()
			if o.quiet {
				progress = io.Discard
			}
			s, err := simulate(cmd.Context(), f.Name, &spec, o.policy, 0, progress)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if o.json != "" {
				file, err := os.Create(o.json)
				if err != nil {
					return fmt.Errorf("the summary: %w", err)
				}
				defer file.Close()
				out = file
			}
			e := json.NewEncoder(out)
			e.SetIndent("", " ")
			if err := e.Encode(s); err != nil {
				return fmt.Errorf("the summary: %w", err)
			}
			if s.RulesBroken > 0 {
				return fmt.Errorf("%w: %d times a rule was broken: %s", errBroken, s.RulesBroken, first(s.Verdict))
			}
			return nil
		},
	}
	c.Flags().IntVar(&o.proxies, "proxies", 0, "how many proxies (default as the experiment says)")
	c.Flags().IntVar(&o.nodes, "nodes", 0, "how many nodes")
	c.Flags().Float64Var(&o.rate, "rate", 0, "first tries a second")
	c.Flags().DurationVar(&o.duration, "duration", 0, "play it in this time; all its times follow")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "what chance comes from")
	c.Flags().StringVar(&o.policy, "policy", baseline.Module, "what decides: see faultlab list")
	c.Flags().StringVar(&o.json, "json", "", "write the summary to this file")
	c.Flags().BoolVar(&o.quiet, "quiet", false, "no progress on standard error")
	return c
}

// first tells of the first breach.
func first(v checker.Verdict) string {
	if len(v.Breaches) == 0 {
		return ""
	}
	b := v.Breaches[0]
	return fmt.Sprintf("%s: %s (%s)", b.Rule, b.What, strings.Join(b.Evidence, "; "))
}

// simulate plays a spec and tells on progress what it costs.
func simulate(ctx context.Context, name string, spec *model.Spec, policy string, memory time.Duration, progress io.Writer) (*report.Summary, error) {
	factory, err := baseline.Named(policy)
	if err != nil {
		return nil, err
	}
	r, err := simulation.New(spec, factory)
	if err != nil {
		return nil, err
	}
	r.Memory = memory
	start := time.Now()
	last := start
	r.Progress = func(now time.Duration) {
		if time.Since(last) > 2*time.Second {
			last = time.Now()
			fmt.Fprintf(progress, "%s: %v of %v played in %v\n", name, now.Round(time.Second), spec.Duration, time.Since(start).Round(time.Second))
		}
	}
	res, err := r.Run(ctx)
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	took := time.Since(start).Seconds()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	fmt.Fprintf(progress, "%s: %d events in %.1f s, %.0f a second, %.0f MB taken from the system\n", name, res.Events, took,
		float64(res.Events)/took, float64(mem.Sys)/(1<<20))
	s := report.Summarise(name, "simulate", policy, spec, res.Verdict, res.Faults)
	s.Partial = ctx.Err() != nil
	return s, nil
}

func listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the ready experiments, the policies and the kinds of fault",
		Args:  usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			fmt.Fprintln(out, "experiments:")
			for _, n := range experiments.Names() {
				f, err := experiments.Load(n)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "  %-16s %s (%v)\n", n, f.About, time.Duration(f.Duration))
			}
			fmt.Fprintf(out, "policies:\n  %s, %s\nflawed on purpose:\n", baseline.Module, strings.Join(baseline.Baselines, ", "))
			for _, f := range baseline.Flaws {
				fmt.Fprintf(out, "  %-16s %s\n", f.Name, f.About)
			}
			fmt.Fprintf(out, "faults:\n  %s\n", strings.Join(model.Kinds(), ", "))
			return nil
		},
	}
}
