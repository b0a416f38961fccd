package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/strictconfig"
)

// maxOfferArguments bounds the arguments of "fleet offer".
const maxOfferArguments = 1000

// authorFlag adds the flag by which operators say who they are. It is stored and shown; nothing proves it.
func authorFlag(c *cobra.Command) *string {
	return c.Flags().String("by", os.Getenv("USER"), "who gives this word: it is kept and shown")
}

// argumentCount rejects command lines with fewer or more arguments.
func argumentCount(least, most int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < least || len(args) > most {
			return usageError{fmt.Errorf("%s: %d arguments; wanted: %s", cmd.Name(), len(args), cmd.Use)}
		}
		return nil
	}
}

// ownershipCommand is "fleet charter": it replaces the ownership declaration; see store.SetDeclaration.
func ownershipCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "charter FILE CHARTER.toml",
		Short: "Put a charter in place of the one before: who may speak over what",
		Args:  argumentCount(2, 2),
	}
	author := authorFlag(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		path := args[1]
		text, err := strictconfig.ReadFile(path, "the charter", namespace.MaxFileBytes)
		if err != nil {
			return err
		}
		if _, err := namespace.ParseDeclaration(path, text); err != nil { // here the error has the file's name
			return api.WithAdvice(err)
		}
		command := store.Command{SetDeclaration: &store.SetDeclaration{Text: string(text), Author: *author}}
		return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
			return sendPolicyCommand(cmd, fleet, client, command)
		})
	}
	return c
}

// sendPolicyCommand sends a command and shows the policy's status.
func sendPolicyCommand(cmd *cobra.Command, fleet *api.Config, client *http.Client, command store.Command) error {
	if err := fleet.SendPolicyCommand(cmd.Context(), client, command); err != nil {
		return err
	}
	return showPolicy(cmd, fleet, client)
}

// offerCommand is "fleet offer": it submits the files of namespaces; see store.SubmitFile. A file that is rejected does
// not keep the ones after it from being submitted.
func offerCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "offer FILE NAMESPACE.toml...",
		Short: "Offer the files of namespaces: each is taken up, or held back and told why; " +
			"one that is bad stops no other",
		Args: argumentCount(2, maxOfferArguments),
	}
	author := authorFlag(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
			var errs []error
			for _, path := range args[1:] {
				if err := offerFile(cmd, fleet, client, path, *author); err != nil {
					errs = append(errs, fmt.Errorf("%s: %w", path, err))
				}
			}
			return errors.Join(append(errs, showPolicy(cmd, fleet, client))...)
		})
	}
	return c
}

func offerFile(cmd *cobra.Command, fleet *api.Config, client *http.Client, path, author string) error {
	text, err := strictconfig.ReadFile(path, "the namespace", namespace.MaxFileBytes)
	if err != nil {
		return err
	}
	if _, err := namespace.Parse(path, text); err != nil {
		return err
	}
	command := store.Command{SubmitFile: &store.SubmitFile{Text: string(text), Author: author}}
	return fleet.SendPolicyCommand(cmd.Context(), client, command)
}

// rollbackCommand is "fleet back": it rolls the policy back to a retained epoch; see store.Rollback.
func rollbackCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "back FILE --epoch N",
		Short: "Tell the fleet to go back to an older policy, all proxies at once; files that wait are dropped",
		Args:  oneFile,
	}
	author := authorFlag(c)
	epoch := c.Flags().Uint64("epoch", 0, "of the policy, one of those that are kept")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if *epoch == 0 {
			return usageError{errors.New("back: --epoch is needed")}
		}
		command := store.Command{Rollback: &store.Rollback{Epoch: *epoch, Author: *author}}
		return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
			return sendPolicyCommand(cmd, fleet, client, command)
		})
	}
	return c
}

// policyCommand is "fleet policy": it shows the state of the policy and of its rollout.
func policyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "policy FILE",
		Short: "Tell the policy's epoch and hash, who is held back and why, and how far the roll-out is",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
				return showPolicy(cmd, fleet, client)
			})
		},
	}
}

// stopCommand stops the current rollout by a rollback to the policy in force: no proxy keeps what the rollout brought,
// and files that wait are dropped.
func stopCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "stop FILE",
		Short: "Stop the train that is on its way: all proxies go back to what is in force; what waits is dropped",
		Args:  oneFile,
	}
	author := authorFlag(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
			status, err := fleet.PolicyStatus(cmd.Context(), client)
			if err != nil {
				return err
			}
			policy := &status.Policy
			if policy.Active.Epoch == 0 {
				return errors.New("stop: no policy is in force yet, to go back to: " +
					"offer the files that the train shall have instead")
			}
			if policy.Candidate.Epoch == 0 && len(policy.Queued) == 0 {
				return showPolicy(cmd, fleet, client)
			}
			command := store.Command{Rollback: &store.Rollback{Epoch: policy.Active.Epoch, Author: *author}}
			return sendPolicyCommand(cmd, fleet, client, command)
		})
	}
	return c
}
