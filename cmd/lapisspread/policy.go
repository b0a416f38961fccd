package main

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/strictconfig"
)

// by has an operator say who gives a word. It is kept and shown; nothing proves it.
func by(c *cobra.Command) *string {
	return c.Flags().String("by", os.Getenv("USER"), "who gives this word: it is kept and shown")
}

func between(least, most int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < least || len(args) > most {
			return usageError{fmt.Errorf("%s: %d arguments; wanted: %s", cmd.Name(), len(args), cmd.Use)}
		}
		return nil
	}
}

func charterCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "charter FILE CHARTER.toml",
		Short: "Put a charter in place of the one before: who may speak over what",
		Args:  between(2, 2),
	}
	who := by(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := strictconfig.ReadFile(args[1], "the charter", namespace.MostBytes)
		if err != nil {
			return err
		}
		if _, err := namespace.ParseCharter(args[1], text); err != nil { // here the error has the file's name
			return api.WithAdvice(err)
		}
		return withFleet(args[0], func(f *api.Config, client *http.Client) error {
			if err := f.SendPolicyCommand(cmd.Context(), client, store.Command{Charter: &store.Charter{Text: string(text), By: *who}}); err != nil {
				return err
			}
			return tellPolicy(cmd, f, client)
		})
	}
	return c
}

func offerCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "offer FILE NAMESPACE.toml...",
		Short: "Offer the files of namespaces: each is taken up, or held back and told why; one that is bad stops no other",
		Args:  between(2, 1000),
	}
	who := by(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		return withFleet(args[0], func(f *api.Config, client *http.Client) error {
			var errs []error
			for _, path := range args[1:] {
				text, err := strictconfig.ReadFile(path, "the namespace", namespace.MostBytes)
				if err == nil {
					_, err = namespace.Parse(path, text)
				}
				if err == nil {
					err = f.SendPolicyCommand(cmd.Context(), client, store.Command{Offer: &store.Offer{Text: string(text), By: *who}})
				}
				if err != nil {
					errs = append(errs, fmt.Errorf("%s: %w", path, err))
				}
			}
			return errors.Join(append(errs, tellPolicy(cmd, f, client))...)
		})
	}
	return c
}

func backCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "back FILE --epoch N",
		Short: "Tell the fleet to go back to an older policy, all proxies at once; files that wait are dropped",
		Args:  oneFile,
	}
	who := by(c)
	epoch := c.Flags().Uint64("epoch", 0, "of the policy, one of those that are kept")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if *epoch == 0 {
			return usageError{errors.New("back: --epoch is needed")}
		}
		return withFleet(args[0], func(f *api.Config, client *http.Client) error {
			if err := f.SendPolicyCommand(cmd.Context(), client, store.Command{Back: &store.Back{Epoch: *epoch, By: *who}}); err != nil {
				return err
			}
			return tellPolicy(cmd, f, client)
		})
	}
	return c
}

func policyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "policy FILE",
		Short: "Tell the policy's epoch and hash, who is held back and why, and how far the roll-out is",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(f *api.Config, client *http.Client) error { return tellPolicy(cmd, f, client) })
		},
	}
}

// stopCommand stops the train that is on its way. It is going back to what is in force: then all that waited is dropped, and no proxy keeps
// what the train has brought.
func stopCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "stop FILE",
		Short: "Stop the train that is on its way: all proxies go back to what is in force; what waits is dropped",
		Args:  oneFile,
	}
	who := by(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		return withFleet(args[0], func(f *api.Config, client *http.Client) error {
			p, err := f.PolicyStatus(cmd.Context(), client)
			if err != nil {
				return err
			}
			if p.Policy.Base.Epoch == 0 {
				return errors.New("stop: no policy is in force yet, to go back to: offer the files that the train shall have instead")
			}
			if p.Policy.Next.Epoch > 0 || len(p.Policy.Gathered) > 0 {
				if err := f.SendPolicyCommand(cmd.Context(), client, store.Command{Back: &store.Back{Epoch: p.Policy.Base.Epoch, By: *who}}); err != nil {
					return err
				}
			}
			return tellPolicy(cmd, f, client)
		})
	}
	return c
}

// changesTold names changes, some of them if there are many.
func changesTold(all []store.Change) string {
	const most = 20
	var out []string
	for _, c := range all[:min(most, len(all))] {
		text := fmt.Sprintf("%s/%d", c.Namespace, c.Number)
		if c.Number == 0 {
			text = "the charter"
		}
		if c.By != "" {
			text += fmt.Sprintf(" by %q", c.By)
		}
		out = append(out, text)
	}
	if len(all) > most {
		out = append(out, fmt.Sprintf("%d others", len(all)-most))
	}
	return cmp.Or(strings.Join(out, ", "), "nothing that differs")
}

func tellPolicy(cmd *cobra.Command, f *api.Config, client *http.Client) error {
	p, err := f.PolicyStatus(cmd.Context(), client)
	if err != nil {
		return err
	}
	out, st := cmd.OutOrStdout(), p.Policy
	if !p.IsLeader {
		fmt.Fprintln(out, "no steward leads: this is what one that follows knows")
	}
	fmt.Fprintf(out, "in force: epoch %d, root %.12s; kept: %v\n", st.Base.Epoch, st.Base.Hash, st.Kept)
	if st.Next.Epoch > 0 {
		fmt.Fprintf(out, "train: epoch %d, root %.12s, with %s\n", st.Next.Epoch, st.Next.Hash, changesTold(st.Train))
	}
	if len(st.Gathered) > 0 {
		fmt.Fprintf(out, "wait for the next train: %s\n", changesTold(st.Gathered))
	}
	if p.IsLeader {
		fmt.Fprintf(out, "roll-out: %s, %d of %d proxies have the newest\n", p.RolloutState, p.Updated, p.ProxyCount)
		if p.Rejected > 0 {
			fmt.Fprintf(out, "%d proxies can't take it up: see FLEET on their consoles; their figures don't count\n", p.Rejected)
		}
		if p.BehindCount > 0 {
			more := ""
			if p.BehindCount > len(p.Behind) {
				more = fmt.Sprintf(" and %d others", p.BehindCount-len(p.Behind))
			}
			fmt.Fprintf(out, "behind, with an older policy than what is in force: %s%s\n", strings.Join(p.Behind, ", "), more)
		}
		if p.LegacyCount > 0 {
			fmt.Fprintf(out, "%d proxies are of an older release and take whole texts alone, up to %d bytes\n", p.LegacyCount, store.MostWhole)
		}
	}
	if st.Stopped != nil {
		fmt.Fprintf(out, "stopped: %s\n  %s\n", st.Stopped.Why, st.Stopped.Help)
	}
	for _, f := range st.Faults {
		fmt.Fprintf(out, "at fault, and taken out: %s\n  %s\n  %s\n", changesTold([]store.Change{f.Change}), f.Why, f.Help)
	}
	if p.Regression != "" {
		fmt.Fprintf(out, "worse: %s\n  %s\n", p.Regression, p.RegressionAdvice)
	}
	for _, h := range st.Held {
		fmt.Fprintf(out, "held: %s, file %d by %q; file %d goes on\n  %s\n  %s\n", h.Namespace, h.Offered, h.By, h.Holds, h.Why, h.Help)
	}
	for _, text := range st.Told {
		fmt.Fprintf(out, "conflict: %s\n", text)
	}
	return nil
}
