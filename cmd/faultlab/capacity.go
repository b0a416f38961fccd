package main

import (
	"fmt"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/capacity"
)

// hollowCommand is the name of the command that runs hollow proxies for a process of this program.
const hollowCommand = "capacity-hollow"

func capacityCommand() *cobra.Command {
	set := capacity.Defaults()
	var jsonPath string
	var selfCheck bool
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Play a fleet's control with real stewards and many hollow proxies, and measure what a change of the policy costs",
		Long: `capacity starts three stewards, some real proxies with a client each, and hollow proxies beside them, many to a process: those
run the control code of a proxy for policy and budgets on connections of their own, and nothing else. One team after another moves a
route. A change is in force once every living proxy was seen to decide a request of that route by it.

It says what it would need and does nothing if that is more than half of the machine's memory, 200 processes, or too many open files.
It fails if a change did not come into force, a proxy was left behind or had wrong content, or a rule was broken.`,
		Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := set.Check(); err != nil && !selfCheck {
				return usageError{err}
			}
			tmp, err := os.MkdirTemp("", "faultlab-bin-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(tmp)
			if set.Binary == "" {
				if set.Binary, err = findProxy(cmd.Context(), tmp); err != nil {
					return err
				}
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			set.Child = func() *exec.Cmd { return exec.Command(self, hollowCommand) }
			set.Say = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			if selfCheck {
				return capacitySelfCheck(cmd, set)
			}
			r, err := capacity.Play(cmd.Context(), set)
			if err != nil {
				return api.WithAdvice(err)
			}
			r.Text(cmd.OutOrStdout())
			if err := writeResult(jsonPath, r); err != nil {
				return err
			}
			if !r.Holds() {
				return errBroken
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&set.Binary, "proxy", "", "a proxy's program; built from the tree if left out")
	f.IntVar(&set.Proxies, "proxies", set.Proxies, "in all, with the real ones")
	f.IntVar(&set.Real, "real", set.Real, "real ones with clients; two more are started to measure control by, one of them without a fleet")
	f.IntVar(&set.Each, "each", set.Each, "hollow proxies to a process")
	f.IntVar(&set.Services, "services", set.Services, "that routes lead to; a real proxy probes a backend of each")
	f.IntVar(&set.Routes, "routes", set.Routes, "of all teams")
	f.IntVar(&set.Tenants, "tenants", set.Tenants, "spread over the routes")
	f.IntVar(&set.Teams, "teams", set.Teams, "0 is one for each 500 routes, 4 at least")
	f.IntVar(&set.Budgets, "budgets", set.Budgets, "that proxies draw on")
	f.DurationVar(&set.Every, "changes-every", set.Every, "between two changes")
	f.DurationVar(&set.Duration, "duration", set.Duration, "of the changes; bringing all up comes before, and settling after")
	f.DurationVar(&set.Rest, "rest", set.Rest, "for which all is watched at rest, before the first change")
	f.DurationVar(&set.Settle, "settle", set.Settle, "that the last changes get at most")
	f.DurationVar(&set.Start, "start", set.Start, "in which all proxies must have the first policy")
	f.DurationVar(&set.Watch, "watch", 0, "of the fleet's file; 0 leaves it out")
	f.Int64Var(&set.Enough, "enough", 0, "of the fleet's file; 0 leaves it out")
	f.Float64Var(&set.Rate, "rate", set.Rate, "requests a second that a hollow proxy counts")
	f.Uint64Var(&set.Seed, "seed", set.Seed, "what chance comes from")
	f.BoolVar(&set.Faults, "faults", false, "kill, stop, cut off and begin anew meanwhile, and measure until all have caught up")
	f.BoolVar(&selfCheck, "self-check", false, "try the measuring: small runs with a hollow proxy that is not as it should be")
	f.StringVar(&jsonPath, "json", "", "write the summary to this file")
	return c
}

// capacitySelfCheck tells whether the summary finds each flaw.
func capacitySelfCheck(cmd *cobra.Command, set capacity.Settings) error {
	missed := 0
	for _, t := range capacity.Trials() {
		s := capacity.Small()
		s.Binary, s.Child, s.Seed = set.Binary, set.Child, set.Seed
		_, err := t.Try(cmd.Context(), s)
		name := t.Flaw
		if name == "" {
			name = "none"
		}
		if cmd.Context().Err() != nil {
			return cmd.Context().Err()
		}
		if err != nil {
			missed++
			fmt.Fprintf(cmd.OutOrStdout(), "flaw %-8s missed: %v\n", name, err)
			continue
		}
		fmt.Fprintf(cmd.OutOrStdout(), "flaw %-8s found\n", name)
	}
	if missed > 0 {
		return errBroken
	}
	return nil
}

// hollowsCommand runs hollow proxies as the process that started it says on its input.
func hollowsCommand() *cobra.Command {
	return &cobra.Command{
		Use:    hollowCommand,
		Hidden: true,
		Args:   usage(cobra.NoArgs),
		RunE:   func(*cobra.Command, []string) error { return capacity.Child(os.Stdin, os.Stdout) },
	}
}
