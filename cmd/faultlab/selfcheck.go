package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/quotasim"
	"lapisspread/internal/faultlab/simulation"
)

// trialDay has what each flaw needs to show: load, nodes that drain and come back cold.
const trialDay = `name = "trial"
about = "What each flaw needs to show"
duration = "20s"
[world]
load = 0.45
[[fault]]
kind = "rolling-restart"
at = "2s"
every = "2500ms"
share = 0.5
[[fault]]
kind = "silent-watch"
at = "1s"
share = 1.0
[[fault]]
kind = "restart-proxy"
at = "9s"
`

func selfCheckCommand() *cobra.Command {
	var seed uint64
	var sockets bool
	var ledger int
	var only []string
	c := &cobra.Command{
		Use:   "self-check",
		Short: "Try the judge: proxies with one flaw each must be convicted of its rule and no other, right ones acquitted",
		Args:  usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			if ledger > 0 {
				return ledgerTrial(out, ledger)
			}
			convicted, acquitted, wrong := 0, 0, 0
			right := append([]string{baseline.Module}, baseline.Baselines[:3]...)
			flaws := slices.Clone(baseline.Flaws)
			shares := []shareTrial{{quotasim.FixedSharesOverLimit, true}, {quotasim.SpendsExpiredLease, true}, {quotasim.Leases, false}, {quotasim.FixedShares, false}}
			if len(only) > 0 {
				flaws = slices.DeleteFunc(flaws, func(f baseline.Flaw) bool { return !slices.Contains(only, f.Name) })
				right = slices.DeleteFunc(right, func(name string) bool { return !slices.Contains(only, name) })
				shares = slices.DeleteFunc(shares, func(s shareTrial) bool { return !slices.Contains(only, s.policy) })
				if len(flaws)+len(right)+len(shares) < len(only) {
					return usageError{fmt.Errorf("--only %s: some of these are not tried", strings.Join(only, ","))}
				}
			}
			for _, flaw := range flaws {
				v, err := trial(cmd, flaw.Name, seed, sockets)
				if err != nil {
					return err
				}
				broken := v.Broken()
				ok := len(broken) == 1 && string(broken[0]) == flaw.Rule
				if ok {
					convicted++
				} else {
					wrong++
				}
				fmt.Fprintf(out, "%-18s guilty of %-10s %4d breaches: %s%s\n", flaw.Name, names(broken), v.RulesBroken, about(v), verdict(ok))
			}
			for _, name := range right {
				v, err := trial(cmd, name, seed, sockets)
				if err != nil {
					return err
				}
				ok := v.RulesBroken == 0
				if ok {
					acquitted++
				} else {
					wrong++
				}
				fmt.Fprintf(out, "%-18s guilty of %-10s %4d breaches%s%s\n", name, names(v.Broken()), v.RulesBroken, about(v), verdict(ok))
			}
			toConvict, toAcquit := len(flaws), len(right)
			for _, s := range shares {
				over, what, err := s.play(seed)
				if err != nil {
					return err
				}
				ok := (over > 0) == s.flawed
				guilty := "nothing"
				if over > 0 {
					guilty = "over_whole"
				}
				if s.flawed {
					toConvict++
				} else {
					toAcquit++
				}
				switch {
				case !ok:
					wrong++
				case s.flawed:
					convicted++
				default:
					acquitted++
				}
				fmt.Fprintf(out, "%-18s guilty of %-10s %4d breaches%s%s\n", s.policy, guilty, over, what, verdict(ok))
			}
			fmt.Fprintf(out, "convicted %d of %d, acquitted %d of %d\n", convicted, toConvict, acquitted, toAcquit)
			if wrong > 0 {
				return errors.New("the judge erred")
			}
			return nil
		},
	}
	c.Flags().IntVar(&ledger, "ledger", 0, "in place of all else, enter so many requests into a ledger and tell its memory")
	c.Flags().BoolVar(&sockets, "sockets", false, "with real processes on sockets, six minutes, in place of virtual time")
	c.Flags().StringSliceVar(&only, "only", nil, "try these alone")
	c.Flags().Uint64Var(&seed, "seed", 1, "what chance comes from")
	return c
}

// shareTrial is a way to divide a budget over a fleet, always in virtual time: the nodes' counts convict it or don't.
type shareTrial struct {
	policy string
	flawed bool
}

// play has all want twice the whole, while a third of them is cut off from the stewards for three leases.
func (s shareTrial) play(seed uint64) (over int, what string, err error) {
	res, err := quotasim.Run(quotasim.Settings{Policy: s.policy, Holders: 10, Quotas: 3, DrivenQuotas: 2, Seed: seed, Length: 40 * time.Second, LeaseDuration: 3 * time.Second,
		UnitsPerHolder: 20, DemandDecay: 1. / 3, Load: 2, PartitionAt: 15 * time.Second})
	if err != nil {
		return 0, "", fmt.Errorf("%s: %w", s.policy, err)
	}
	if len(res.Spending.Evidence) > 0 {
		what = ": " + res.Spending.Evidence[0]
	}
	return res.Spending.OverWhole, what, nil
}

func trial(cmd *cobra.Command, policy string, seed uint64, sockets bool) (checker.Verdict, error) {
	f, err := experiment.Parse("trial", []byte(trialDay))
	if err != nil {
		return checker.Verdict{}, err
	}
	if sockets {
		s, err := playLive(cmd.Context(), io.Discard, f, runOptions{seed: seed, policy: policy}, 1)
		if err != nil {
			return checker.Verdict{}, fmt.Errorf("%s: %w", policy, err)
		}
		if !s.Scored {
			return checker.Verdict{}, fmt.Errorf("%s: the machine was too slow: %s", policy, s.Late)
		}
		if len(s.Problems) > 0 {
			return checker.Verdict{}, fmt.Errorf("%s: %s", policy, s.Problems[0])
		}
		return s.Verdict, nil
	}
	factory, err := baseline.Named(policy)
	if err != nil {
		return checker.Verdict{}, err
	}
	spec := f.Spec(seed, 1)
	spec.Duration = 20 * time.Second
	r, err := simulation.New(&spec, factory)
	if err != nil {
		return checker.Verdict{}, err
	}
	res, err := r.Run(cmd.Context())
	return res.Verdict, err
}

func names(rules []checker.Rule) string {
	if len(rules) == 0 {
		return "nothing"
	}
	var s []string
	for _, r := range rules {
		s = append(s, string(r))
	}
	return strings.Join(s, ",")
}

func about(v checker.Verdict) string {
	if len(v.Breaches) == 0 {
		return ""
	}
	return v.Breaches[0].What
}

func verdict(ok bool) string {
	if ok {
		return ""
	}
	return "   WRONG"
}
