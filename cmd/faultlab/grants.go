package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/quotasim"
)

// grantsPoint is one size of fleet. Times are in milliseconds; -1 is never.
type grantsPoint struct {
	Holders   int     `json:"holders"`
	Budgets   int     `json:"budgets"`
	Calls     float64 `json:"calls_s"`
	BytesIn   float64 `json:"bytes_in_s"`
	BytesOut  float64 `json:"bytes_out_s"`
	Entries   float64 `json:"entries_s"`
	LogBytes  float64 `json:"log_bytes_s"`
	Computed  float64 `json:"computed_ms_s"`
	Joined    float64 `json:"joined_ms"`
	Healed    float64 `json:"healed_ms"`
	Used      float64 `json:"used"`
	UsedFixed float64 `json:"used_fixed"`
	OverWhole int     `json:"over_whole"`
}

func grantsCommand() *cobra.Command {
	var holders, jsonPath string
	set := quotasim.Settings{}
	c := &cobra.Command{
		Use:   "grants",
		Short: "Play the budgets of a fleet in virtual time: what the talk costs, how soon all is divided anew, what is used",
		Long: `grants plays holders, the steward that leads and its log in virtual time.

Calls and bytes are those of the steward that leads, with holders, bodies alone; the log's bytes go to each other steward. A join
is made good once the new holder has nine tenths of an equal share of every budget, a death once those who live have all of every
budget but for a tenth of an equal share. Used is of what one central counter would have let through, while each 5 s another fifth of the holders wants six times
what the others do, beside fixed shares W/n.`,
		Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ns, err := numbers("--holders", holders)
			if err != nil {
				return err
			}
			set.DrivenQuotas = min(set.DrivenQuotas, set.Quotas)
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%8s %8s %8s %10s %11s %9s %11s %12s %9s %9s %7s %7s %6s\n", "holders", "budgets", "calls/s", "KB in/s", "KB out/s", "entries/s",
				"log KB/s", "computed/s", "join", "death", "used", "fixed", "over")
			var points []grantsPoint
			broken := false
			for _, n := range ns {
				p, err := grantsOne(set, n)
				if err != nil {
					return usageError{err}
				}
				points = append(points, p)
				broken = broken || p.OverWhole > 0
				fmt.Fprintf(w, "%8d %8d %8.1f %10.1f %11.1f %9.1f %11.1f %9.1f ms %6.0f ms %6.0f ms %7.3f %7.3f %6d\n", p.Holders, p.Budgets, p.Calls, p.BytesIn/1000,
					p.BytesOut/1000, p.Entries, p.LogBytes/1000, p.Computed, p.Joined, p.Healed, p.Used, p.UsedFixed, p.OverWhole)
			}
			if err := writeResult(jsonPath, points); err != nil {
				return err
			}
			if broken {
				return errBroken
			}
			return nil
		},
	}
	c.Flags().StringVar(&holders, "holders", "30,300,1000", "how many, separated by commas")
	c.Flags().IntVar(&set.Quotas, "budgets", 50, "how many")
	c.Flags().IntVar(&set.DrivenQuotas, "played", 1, "of the budgets, so many are drawn on by attempts; the others are asked for alike")
	c.Flags().Uint64Var(&set.Seed, "seed", 1, "what chance comes from")
	c.Flags().DurationVar(&set.Length, "duration", time.Minute, "virtual time of each run")
	c.Flags().DurationVar(&set.LeaseDuration, "lease", 3*time.Second, "of each grant")
	c.Flags().DurationVar(&set.MaxRequestInterval, "pace", 0, "holders ask at least so often; 0 is as often as the rules say")
	c.Flags().Float64Var(&set.UnitsPerHolder, "rate", 20, "units a second of each whole, for each holder")
	c.Flags().Float64Var(&set.DemandDecay, "falls", 1./3, "by which part of the way what is asked for falls at each ask, when less is tried")
	c.Flags().DurationVar(&set.PlanCost, "plan-cost", 0, "that a plan takes the leading steward for each holder and budget")
	c.Flags().Float64Var(&set.Load, "load", .9, "what is wanted of each whole")
	c.Flags().StringVar(&jsonPath, "json", "", "write the points to this file")
	return c
}

// grantsOne plays a size three times: with demand that moves, by grants and by fixed shares, and with a join and a death while all
// want twice the whole.
func grantsOne(set quotasim.Settings, holders int) (grantsPoint, error) {
	set.Holders = holders
	moves, fixed, anew := set, set, set
	moves.Policy, moves.DemandShiftInterval = quotasim.Leases, 5*time.Second
	fixed.Policy, fixed.DemandShiftInterval = quotasim.FixedShares, 5*time.Second
	anew.Policy, anew.Load, anew.DrivenQuotas, anew.JoinAt, anew.KillAt = quotasim.Leases, 2, 0, set.Length/3, 2*set.Length/3
	var res [3]quotasim.Result
	for i, s := range []quotasim.Settings{moves, fixed, anew} {
		var err error
		if res[i], err = quotasim.Run(s); err != nil {
			return grantsPoint{}, err
		}
	}
	ms := func(d time.Duration) float64 {
		if d == quotasim.Never {
			return -1
		}
		return float64(d) / float64(time.Millisecond)
	}
	m := &res[0]
	return grantsPoint{Holders: holders, Budgets: set.Quotas, Calls: m.Calls, BytesIn: m.BytesIn, BytesOut: m.BytesOut, Entries: m.Entries, LogBytes: m.LogBytes,
		Computed: ms(m.ComputeTime) / set.Length.Seconds(), Joined: ms(res[2].JoinTime), Healed: ms(res[2].RecoveryTime), Used: m.Utilization, UsedFixed: res[1].Utilization,
		OverWhole: m.Spending.OverWhole + res[1].Spending.OverWhole}, nil
}
