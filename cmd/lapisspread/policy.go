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

// authorFlag adds the flag with the name of the operator, which is stored and shown but not authenticated.
func authorFlag(c *cobra.Command) *string {
	return c.Flags().String("by", os.Getenv("USER"), "name of the operator, which is stored and shown")
}

// argumentCount rejects command lines with fewer or more arguments and returns a usageError.
func argumentCount(minimum, maximum int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < minimum || len(args) > maximum {
			return usageError{fmt.Errorf("%s: %d arguments; wanted: %s", cmd.Name(), len(args), cmd.Use)}
		}
		return nil
	}
}

// ownershipCommand returns "fleet charter", which replaces the ownership declaration; see store.SetDeclaration.
func ownershipCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "charter FILE CHARTER.toml",
		Short: "Replace the ownership declaration (charter), which says what each namespace may define",
		Args:  argumentCount(2, 2),
	}
	author := authorFlag(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		path := args[1]
		text, err := strictconfig.ReadFile(path, "the charter", namespace.MaxFileBytes)
		if err != nil {
			return err
		}
		// Parsed before it is sent, so that the error names the file.
		if _, err := namespace.ParseDeclaration(path, text); err != nil {
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

// offerCommand returns "fleet offer", which submits the files of namespaces; see store.SubmitFile. A rejected file does
// not prevent the submission of the files after it.
func offerCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "offer FILE NAMESPACE.toml...",
		Short: "Submit namespace files: each is accepted, or withheld with a reason; " +
			"an invalid file does not block the others",
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

// rollbackCommand returns "fleet back", which rolls the policy back to a retained epoch; see store.Rollback.
func rollbackCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "back FILE --epoch N",
		Short: "Roll all proxies back to an older policy at once; queued files are dropped",
		Args:  oneFile,
	}
	author := authorFlag(c)
	epoch := c.Flags().Uint64("epoch", 0, "epoch of the policy, one of the retained epochs")
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

// policyCommand returns "fleet policy", which shows the state of the policy and of its rollout.
func policyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "policy FILE",
		Short: "Show the policy's epoch and hash, the withheld files with reasons, and the progress of the rollout",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
				return showPolicy(cmd, fleet, client)
			})
		},
	}
}

// stopCommand returns "fleet stop", which stops the current rollout by a rollback to the policy in force: no proxy
// keeps the changes of the rollout, and queued files are dropped.
func stopCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "stop FILE",
		Short: "Stop the current rollout: all proxies return to the policy in force; queued files are dropped",
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
				return errors.New("stop: no policy is in force yet to which proxies could return: " +
					"offer the files that the rollout should have instead")
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
