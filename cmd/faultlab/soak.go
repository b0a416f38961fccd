package main

import (
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/admission"
	"lapisspread/internal/faultlab/liverun"
)

// soakGrowth is by how much the last third of a soak may be over the first, beside so many units: the collector and the
// idle connections of the moment move both.
const (
	soakGrowth    = 1.15
	soakRSSSlack  = 4.0 // MB
	soakFileSlack = 40
)

func soakCommand() *cobra.Command {
	var span time.Duration
	c := &cobra.Command{
		Use:   "soak [FILE|NAME]",
		Short: "Play an experiment's first variant for long, and tell whether the proxies' memory and descriptors stay flat",
		Long: `soak looks at the proxies' resident memory and descriptors once a second. It fails if the median of the last third is
over that of the first third (after a tenth for warming up) by more than 15 % and some slack, or if a proxy ends.`,
		Args: usage(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := "soak"
			if len(args) > 0 {
				name = args[0]
			}
			f, err := named(name)
			if err != nil {
				return err
			}
			before := f.Duration
			f.Stretch(span)
			for i := range f.Floods { // as many a second as before
				f.Floods[i].Connections = max(1, int(float64(f.Floods[i].Connections)*float64(f.Duration)/float64(before)))
			}
			var all []liverun.Sample
			v := f.Variants[0]
			w := cmd.OutOrStdout()
			o := runOptions{seed: f.Seeds[0], policy: "module", proxy: v.Binary, args: v.Args, services: v.Services, flood: v.Flood, admission: v.Admission}
			o.sample = func(s liverun.Sample) {
				if n := len(all); n%30 == 0 {
					fmt.Fprintf(w, "%4.0f s: %.1f MB, %d descriptors in the largest\n", s.At.Seconds(), s.RSSMB, s.Files)
				}
				all = append(all, s)
			}
			s, err := playLive(cmd.Context(), io.Discard, f, o, 1)
			if err != nil {
				return err
			}
			if len(all) < 10 {
				return fmt.Errorf("only %d looks: a soak takes ten seconds at least", len(all))
			}
			all = all[len(all)/10:]
			third := len(all) / 3
			rss := func(s []liverun.Sample) float64 { return middle(s, func(x liverun.Sample) float64 { return x.RSSMB }) }
			files := func(s []liverun.Sample) float64 {
				return middle(s, func(x liverun.Sample) float64 { return float64(x.Files) })
			}
			first, last := all[:third], all[len(all)-third:]
			fmt.Fprintf(w, "%d looks; first third %.1f MB and %.0f descriptors, last third %.1f MB and %.0f; %d first tries, rules broken: %d\n", len(all), rss(first), files(first),
				rss(last), files(last), s.FirstTries, s.RulesBroken)
			switch {
			case len(s.Problems) > 0:
				return fmt.Errorf("%w: %s", errBroken, s.Problems[0])
			case rss(last) > rss(first)*soakGrowth+soakRSSSlack:
				return fmt.Errorf("%w: memory grows", errBroken)
			case files(last) > files(first)*soakGrowth+soakFileSlack:
				return fmt.Errorf("%w: descriptors grow", errBroken)
			}
			return nil
		},
	}
	c.Flags().DurationVar(&span, "for", 0, "in place of the experiment's duration")
	return c
}

func middle(samples []liverun.Sample, of func(liverun.Sample) float64) float64 {
	var values []float64
	for _, s := range samples {
		values = append(values, of(s))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// addressesCommand feeds the rules of admission alone: what a decision costs, and what any number of addresses holds.
func addressesCommand() *cobra.Command {
	var count, places int
	var most float64
	c := &cobra.Command{
		Use:   "addresses",
		Short: "Feed the rules of admission connections from so many addresses, and tell time and memory",
		Args:  usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if count < 1 || count > 1<<28 {
				return usageError{fmt.Errorf("--count: %d is not within 1 and %d", count, 1<<28)}
			}
			s := admission.Defaults(places)
			s.Seed = 1
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			d, err := admission.New(s)
			if err != nil {
				return usageError{err}
			}
			began := time.Now()
			for i := range count {
				now := time.Duration(i) * 50 * time.Microsecond // 20,000 a second
				a := netip.AddrFrom4([4]byte{byte(1 + i>>24), byte(i >> 16), byte(i >> 8), byte(i)})
				id := arrive(d, now, a)
				if id != 0 && i%4 == 0 { // one in four is a client that is served
					d.RequestReceived(now, id)
					d.RequestDone(now, id, true)
				}
			}
			took := time.Since(began)
			runtime.GC()
			runtime.ReadMemStats(&after)
			r := d.Report(time.Duration(count) * 50 * time.Microsecond)
			mb := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / (1 << 20)
			fmt.Fprintf(cmd.OutOrStdout(), "%d addresses: %.0f ns each; %.1f MB held; %d of %d places taken, %d closed to make room, %d turned away\n", count,
				float64(took.Nanoseconds())/float64(count), mb, r.Open, r.MaxConns, r.Rejected["room"], r.Rejected["full"]+r.Rejected["rate"])
			if mb > most {
				return fmt.Errorf("%w: %.1f MB are held; %.1f are the most", errBroken, mb, most)
			}
			runtime.KeepAlive(d)
			return nil
		},
	}
	c.Flags().IntVar(&count, "count", 10_000_000, "distinct addresses, each with one connection")
	c.Flags().IntVar(&places, "places", 576, "that there are: 576 are those of a proxy with 1,024 descriptors")
	c.Flags().Float64Var(&most, "most-mb", 8, "that may be held")
	return c
}

func arrive(d *admission.ConnLimiter, now time.Duration, a netip.Addr) admission.ID {
	v := d.Arrive(now, a, false)
	for range 4 {
		if v.Evict == 0 {
			break
		}
		d.Remove(now, v.Evict, true)
		v = d.Arrive(now, a, true)
	}
	return v.Admitted
}
