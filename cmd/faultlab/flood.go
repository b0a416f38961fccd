package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/report"
)

// floodOutcome is one variant of a flood.
type floodOutcome struct {
	Variant  string  `json:"variant"`
	Sockets  int     `json:"sockets"`
	Whole    float64 `json:"whole"`     // of the worth asked for
	Ratio    float64 `json:"ratio"`     // to the first variant's, which has no flood
	During   float64 `json:"during"`    // of the worth asked for while the flood came
	NoAnswer int     `json:"no_answer"` // requests without a final answer
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	P99      float64 `json:"p99_ms"`     // the longest of any class
	Recovery float64 `json:"recovery_s"` // from the flood's end until all is as it was; -1 if it never was
	Broken   int     `json:"rules_broken"`
	Crashes  int     `json:"crashes"`
	RSS      float64 `json:"max_rss_mb"`
}

func floodCommand() *cobra.Command {
	var o runOptions
	var sockets, only string
	c := &cobra.Command{
		Use:   "flood [FILE|NAME]",
		Short: "Flood proxies with connections of which nothing good comes, and tell how honest clients fare",
		Long: `flood plays an experiment whose variants name floods, on sockets, in turn, and holds each against the first, which has
none. Variants without an admission file, or of a plain policy, are for comparison: only the others can fail the command,
and any of the proxy itself that takes more memory than it was told.`,
		Args: usage(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := "flood"
			if len(args) > 0 {
				name = args[0]
			}
			f, err := named(name)
			if err != nil {
				return err
			}
			if len(f.Floods) == 0 {
				return fmt.Errorf("%s: it has no flood", f.Name)
			}
			f.Stretch(o.duration)
			told, err := numbers("--sockets", sockets)
			if err != nil {
				return err
			}
			var all []floodOutcome
			var errs []error
			for _, n := range told {
				f.World.Sockets = n
				outcomes, err := flood(cmd.Context(), cmd.OutOrStdout(), f, o, only)
				all = append(all, outcomes...)
				if err != nil {
					errs = append(errs, err)
				}
			}
			if err := writeResult(o.json, all); err != nil {
				return err
			}
			return errors.Join(errs...)
		},
	}
	c.Flags().StringVar(&sockets, "sockets", "1024,384", "descriptors of each proxy, separated by commas: each in turn")
	c.Flags().StringVar(&only, "only", "", "besides the first variant only those whose name has this in it")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "what chance comes from")
	c.Flags().DurationVar(&o.duration, "duration", 0, "play each run in this time; all its times follow")
	c.Flags().StringVar(&o.json, "json", "", "write the results to this file")
	return c
}

func flood(ctx context.Context, w io.Writer, f *experiment.File, o runOptions, only string) ([]floodOutcome, error) {
	fmt.Fprintf(w, "%-26s %7s %6s %6s %7s %9s %8s %7s %8s %9s %7s %8s %7s\n", "variant", "sockets", "whole", "ratio", "during", "no answer", "refused", "failed", "p99 ms",
		"recovery", "broken", "crashes", "RSS MB")
	var all []floodOutcome
	var errs []error
	for i, v := range f.Variants {
		if i > 0 && !strings.Contains(v.Name, only) {
			continue
		}
		peak := 0.0
		sample := func(s liverun.Sample) { peak = max(peak, s.PeakRSSMB) }
		s, err := runVariant(ctx, io.Discard, f, v, o.seed, runOptions{sample: sample}, true)
		if err != nil {
			return all, fmt.Errorf("variant %s: %w", v.Name, err)
		}
		if ctx.Err() != nil {
			return all, errors.New("broken off; what was seen is told")
		}
		r := floodOutcome{Variant: v.Name, Sockets: f.World.Sockets, Whole: s.Worth.Whole, Ratio: 1, NoAnswer: s.ByRule[checker.Lost], Refused: s.Refused,
			Failed: s.Failed, Broken: s.RulesBroken, Crashes: len(s.Problems), RSS: peak}
		for _, c := range s.Classes {
			r.P99 = max(r.P99, c.P99)
		}
		if len(all) > 0 {
			r.Ratio = r.Whole / all[0].Whole
		}
		if fl := f.FloodNamed(v.Flood); fl != nil {
			r.During, r.Recovery = aftermath(s, time.Duration(fl.At), time.Duration(fl.At)+time.Duration(fl.For))
		}
		all = append(all, r)
		note := ""
		if !s.Scored {
			note = "  NOT SCORED: " + s.Late
		}
		fmt.Fprintf(w, "%-26s %7d %6.3f %6.3f %7.3f %9d %8d %7d %8.0f %7.0f s %7d %8d %7.0f%s\n", r.Variant, r.Sockets, r.Whole, r.Ratio, r.During, r.NoAnswer, r.Refused,
			r.Failed, r.P99, r.Recovery, r.Broken, r.Crashes, r.RSS, note)
		for k, p := range s.Problems {
			if k < 3 {
				fmt.Fprintf(w, "    %.200s\n", p)
			}
		}
		if told := cmp.Or(f.World.Memory, liverun.DefaultMemoryMB); cmp.Or(v.Policy, "module") == "module" && r.RSS > float64(told) {
			errs = append(errs, fmt.Errorf("%w: %s at %d descriptors: %.0f MB of memory, %d are the most", errBroken, r.Variant, r.Sockets, r.RSS, told))
		}
		if v.Admission != "" && s.Scored && (r.Broken > 0 || r.Crashes > 0) {
			errs = append(errs, fmt.Errorf("%w: %s at %d descriptors: %d times a rule was broken, %d crashes", errBroken, r.Variant, r.Sockets, r.Broken, r.Crashes))
		}
	}
	return all, errors.Join(errs...)
}

// aftermath gives the share of the worth served while a flood came, and the seconds from its end until the share is back
// and stays.
func aftermath(s *report.Summary, from, to time.Duration) (during, recovery float64) {
	var asked, served float64
	last := int(to / time.Second)
	bad := last - 1
	for i, sec := range s.Seconds {
		if i >= int(from/time.Second) && i < last {
			asked, served = asked+sec.Asked, served+sec.Served
		}
		if i >= last && i < int(s.Duration) && sec.Asked > 0 && sec.Served < 0.9*sec.Asked {
			bad = i
		}
	}
	if asked > 0 {
		during = served / asked
	}
	if bad+1 >= int(s.Duration) {
		return during, -1
	}
	return during, float64(bad + 1 - last)
}

// floodClientCommand is what a flood starts: a process has too few descriptors for a large one.
func floodClientCommand() *cobra.Command {
	var targets, from string
	f := liverun.Flooder{}
	c := &cobra.Command{
		Use:    "flood-client",
		Short:  "Open connections of which nothing good comes, to loopback addresses",
		Hidden: true,
		Args:   usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			f.Targets = strings.Split(targets, ",")
			if from != "" {
				if f.From = net.ParseIP(from); f.From == nil || !f.From.IsLoopback() {
					return usageError{fmt.Errorf("--from: %q is no loopback address", from)}
				}
			}
			return f.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&targets, "targets", "", "host:port, separated by commas")
	c.Flags().StringVar(&from, "from", "", "one address that all come from")
	c.Flags().StringVar(&f.Kind, "kind", "silent", "what the connections do")
	c.Flags().IntVar(&f.Connections, "connections", 1000, "in all")
	c.Flags().IntVar(&f.Addresses, "addresses", 1, "that they come from")
	c.Flags().DurationVar(&f.For, "for", 10*time.Second, "over which they are opened")
	c.Flags().Uint64Var(&f.Seed, "seed", 1, "what chance comes from")
	return c
}
