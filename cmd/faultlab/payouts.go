package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/payouts"
)

func payoutsCommand() *cobra.Command {
	p := payouts.Plan{}
	var jsonPath string
	var both, speed bool
	c := &cobra.Command{
		Use:   "payouts",
		Short: "Send claims by Diameter through a proxy that is killed, to servers that fail at every step, and count what ran",
		Long: `payouts starts a proxy, Diameter servers that drop, stall, answer twice or with others' identifiers, and clients that repeat
what has no answer. The proxy's process is killed, and ended in order, at times drawn from the run. It fails if a claim ran
twice, was paid and never ran, was refused and ran, or, with the ledger on disk, if an answer that was given is lost.`,
		Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			tmp, err := os.MkdirTemp("", "faultlab-bin-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(tmp)
			if p.Binary == "" {
				if p.Binary, err = findProxy(cmd.Context(), tmp); err != nil {
					return err
				}
			}
			if p.Lose != "" && !slices.Contains(payouts.Losses, p.Lose) {
				return usageError{fmt.Errorf("--lose: %q is none of %s", p.Lose, strings.Join(payouts.Losses, ", "))}
			}
			w := cmd.OutOrStdout()
			p.Say = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			if speed {
				return payoutSpeed(cmd.Context(), w, p)
			}
			kinds := []bool{p.Durable}
			if both {
				kinds = []bool{true, false}
			}
			tables := map[string]*payouts.Table{}
			var failed error
			for _, durable := range kinds {
				plan := p
				plan.Durable = durable
				t, err := playPayouts(cmd.Context(), w, plan)
				if err != nil {
					return err
				}
				tables[ledgerName(durable)] = t
				if err := t.Broken(durable && p.Lose == ""); err != nil {
					failed = fmt.Errorf("%s: %w", ledgerName(durable), err)
				}
			}
			if a, b := tables[ledgerName(true)], tables[ledgerName(false)]; a != nil && b != nil && b.CPU > 0 {
				fmt.Fprintf(w, "CPU a claim with the ledger on disk: %.2f times that without\n", float64(a.CPU)/float64(a.Claims)/(float64(b.CPU)/float64(b.Claims)))
			}
			if jsonPath != "" {
				text, err := json.MarshalIndent(tables, "", "  ")
				if err != nil {
					return err
				}
				if err := os.WriteFile(jsonPath, append(text, '\n'), 0o644); err != nil {
					return fmt.Errorf("the results: %w", err)
				}
			}
			return failed
		},
	}
	c.Flags().StringVar(&p.Binary, "proxy", "", "a proxy's program; built from the tree if left out")
	c.Flags().StringVar(&p.Other, "other-proxy", "", otherProxyUsage)
	c.Flags().IntVar(&p.Claims, "claims", 20000, "claims in all")
	c.Flags().Float64Var(&p.Rate, "rate", 300, "claims a second")
	c.Flags().IntVar(&p.Clients, "clients", 8, "peers that they come from")
	c.Flags().IntVar(&p.Servers, "servers", 8, "Diameter servers")
	c.Flags().Float64Var(&p.Faults, "faults", 1, "how often servers fail, in times of the usual")
	c.Flags().IntVar(&p.Kills, "kills", 10, "times that the proxy is killed")
	c.Flags().IntVar(&p.Ends, "ends", 3, "times that it is ended in order")
	c.Flags().BoolVar(&p.Durable, "durable", true, "keep the ledger on disk")
	c.Flags().StringVar(&p.Lose, "lose", "", "what befalls the ledger on disk at each kill: "+strings.Join(payouts.Losses, ", ")+" (default nothing)")
	c.Flags().BoolVar(&both, "both", false, "play it with the ledger on disk and without")
	c.Flags().BoolVar(&speed, "speed", false, "measure the cost of a claim without faults: by HTTP, by Diameter, and with the ledger on disk")
	c.Flags().Float64Var(&p.Again, "again", 0.05, "part of the paid claims that are sent again within 10 s")
	c.Flags().Uint64Var(&p.Seed, "seed", 1, "what chance comes from")
	c.Flags().StringVar(&p.Keep, "keep", "", "leave the proxy's logs and files in this directory")
	c.Flags().StringVar(&jsonPath, "json", "", "write the results to this file")
	return c
}

func ledgerName(durable bool) string {
	if durable {
		return "on disk"
	}
	return "in memory"
}

// payoutSpeed measures what a claim costs the proxy, three times in turn.
func payoutSpeed(ctx context.Context, w io.Writer, p payouts.Plan) error {
	p.Faults, p.Kills, p.Ends, p.Again = 0, 0, 0, 0
	kinds := []struct {
		name          string
		http, durable bool
	}{{"HTTP to HTTP", true, false}, {"Diameter, ledger in memory", false, false}, {"Diameter, ledger on disk", false, true}}
	cost := make([][]float64, len(kinds))
	for range speedRounds {
		for i, k := range kinds {
			plan := p
			plan.HTTP, plan.Durable = k.http, k.durable
			t, err := payouts.Play(ctx, plan)
			if err != nil {
				return fmt.Errorf("%s: %w", k.name, err)
			}
			if t.Paid < t.Claims*99/100 {
				return fmt.Errorf("%s: %d of %d claims were paid: the rate is too high for this machine", k.name, t.Paid, t.Claims)
			}
			cost[i] = append(cost[i], float64(t.CPU.Microseconds())/float64(t.Claims))
		}
	}
	fmt.Fprintf(w, "%d claims at %.0f a second, %d rounds; CPU of the proxy's process, its start and probes with it\n", p.Claims, p.Rate, speedRounds)
	base := 0.0
	for i, k := range kinds {
		slices.Sort(cost[i])
		median := cost[i][len(cost[i])/2]
		if i == 0 {
			base = median
		}
		fmt.Fprintf(w, "  %-28s %6.0f µs a claim [%.0f, %.0f], %6.0f claims a second on a core, %.2f times the first\n", k.name, median, cost[i][0],
			cost[i][len(cost[i])-1], 1e6/median, median/base)
	}
	return nil
}

const speedRounds = 3

func playPayouts(ctx context.Context, w io.Writer, p payouts.Plan) (*payouts.Table, error) {
	t, err := payouts.Play(ctx, p)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "%d claims at %.0f a second, the ledger %s, %d kills and %d ends in order, %v\n", t.Claims, p.Rate, ledgerName(p.Durable), t.Kills, t.Ends, t.Took.Round(time.Second))
	for _, row := range []struct {
		what string
		n    int
	}{{"paid (2001)", t.Paid}, {"told that it may have run (5012)", t.MayHaveRun}, {"refused to the end (3002, 3004)", t.Refused}, {"told something else", t.Other},
		{"without a final answer", t.NoAnswer}, {"executed", t.Executed}, {"executed more than once", t.Twice}, {"paid and never executed", t.PaidNeverRan},
		{"refused and executed", t.RefusedThatRan}, {"asked again when paid", t.Asked}, {"of these told something else", t.Lost}} {
		fmt.Fprintf(w, "  %-36s %7d\n", row.what, row.n)
	}
	median, longest := t.RecoveryTimes()
	fmt.Fprintf(w, "  tries a claim %.3f; ready again after %v in the median, %v at most; ledger %d entries, %.1f MB; %d flushes for %d claims begun in the last process; CPU a claim %.0f µs\n",
		float64(t.Tries)/float64(max(1, t.Claims)), median.Round(time.Millisecond), longest.Round(time.Millisecond), t.Entries, float64(t.FileBytes)/(1<<20),
		t.Flushes, t.Begun, float64(t.CPU.Microseconds())/float64(max(1, t.Claims)))
	return t, nil
}
