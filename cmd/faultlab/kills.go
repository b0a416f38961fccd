package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/model"
)

// killsWithin is how soon a proxy must serve after it was started.
const killsWithin = time.Second

func killsCommand() *cobra.Command {
	var o struct {
		n    int
		seed uint64
		file string

		other string // the program of another build
	}
	c := &cobra.Command{
		Use:   "kills",
		Short: "Kill real proxies again and again, spoil their state folders each time, and tell how soon they serve",
		Long: `kills plays the comeback's world on sockets under load. Each time one proxy or all are killed, something befalls their state
folders, and they are started again; then each must serve a request. It fails if one takes longer than a second, if a rule is broken,
or if what was damaged is recalled.`,
		Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.n < 1 || o.n > 10000 {
				return usageError{fmt.Errorf("--n: %d is not within 1 and 10000", o.n)}
			}
			text := []byte("version = 1\n[memory]\nevery = \"100ms\"\n")
			if o.file != "" {
				var err error
				if text, err = os.ReadFile(o.file); err != nil {
					return usageError{fmt.Errorf("--comeback: %w", err)}
				}
			}
			return kills(cmd.Context(), cmd, o.n, o.seed, string(text), o.other)
		},
	}
	c.Flags().IntVar(&o.n, "n", 200, "so many times")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "what chance comes from")
	c.Flags().StringVar(&o.file, "comeback", "", "the file of coming back that the proxies go by (default one that remembers ten times a second)")
	c.Flags().StringVar(&o.other, "other-proxy", "", otherProxyUsage)
	return c
}

func kills(ctx context.Context, cmd *cobra.Command, n int, seed uint64, text, other string) error {
	f, err := named("comeback")
	if err != nil {
		return err
	}
	spec := f.Spec(seed, 1)
	spec.Faults, spec.Proxies, spec.Nodes, spec.Load.Rate, spec.Duration = nil, 4, 8, 200, time.Hour
	tmp, err := os.MkdirTemp("", "faultlab-bin-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(tmp)
	opts := liverun.Options{Comeback: text, OtherBinary: other}
	if opts.Binary, err = findProxy(ctx, tmp); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(seed, 29))
	troubles := append([]string{""}, model.StateTroubles...)
	var took []float64
	recalled := map[string]int{}
	var wrong []string
	opts.Script = func(fl *liverun.Fleet) error {
		if err := fl.Service(5, fl.All()...); err != nil {
			return err
		}
		for range n {
			proxies := fl.All()
			if rng.IntN(3) > 0 {
				proxies = []int{rng.IntN(len(proxies))}
			}
			do := troubles[rng.IntN(len(troubles))]
			fl.Kill(proxies...)
			if do != "" {
				fl.Spoil(do, proxies...)
			}
			began := time.Now()
			fl.Start(proxies...)
			if err := fl.Service(1, proxies...); err != nil {
				return err
			}
			took = append(took, time.Since(began).Seconds())
			for _, no := range proxies {
				m, err := fl.Recalled(no)
				if err != nil {
					return err
				}
				recalled[fmt.Sprintf("%s: %s", do, m)]++
				if m == "yes" && (do == "flip" || do == "tear" || do == "remove") {
					wrong = append(wrong, do)
				}
			}
			if err := fl.Service(10, fl.All()...); err != nil { // and so that there is something to recall
				return err
			}
		}
		return nil
	}
	res, err := liverun.Play(ctx, &spec, opts)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errors.New("broken off")
	}
	slices.Sort(took)
	out := cmd.OutOrStdout()
	for _, k := range slices.Sorted(maps.Keys(recalled)) {
		fmt.Fprintf(out, "  state folder %-40s %4d\n", strings.TrimPrefix(k, ": "), recalled[k])
	}
	v := res.Verdict
	fmt.Fprintf(out, "%d kills; a request is served after %.2f s in the median, %.2f s at most; %d of %d first tries served, rules broken %v\n", len(took),
		took[len(took)/2], took[len(took)-1], v.OK, v.FirstTries, v.ByRule)
	if res.Late != "" {
		fmt.Fprintln(out, "NOT SCORED:", res.Late)
	}
	switch {
	case len(res.Problems) > 0:
		return fmt.Errorf("%w: %s", errBroken, res.Problems[0])
	case v.RulesBroken > 0 && res.Late == "":
		return fmt.Errorf("%w: %s", errBroken, first(v))
	case len(wrong) > 0:
		return fmt.Errorf("%w: what was damaged was recalled: %v", errBroken, wrong)
	case took[len(took)-1] > killsWithin.Seconds() && res.Late == "":
		return fmt.Errorf("%w: one took %.2f s to serve; %v is the most", errBroken, took[len(took)-1], killsWithin)
	}
	return nil
}
