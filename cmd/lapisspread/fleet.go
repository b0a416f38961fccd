package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/controlplane/api"
)

// setRetryInterval is the time between two attempts of "fleet set --wait".
const setRetryInterval = 200 * time.Millisecond

// fleetCommand is "fleet": the commands of operators, which call the control-plane servers of a fleet.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Look at the file of a fleet, and give its stewards an operator's word",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(
		fleetCheckCommand(),
		bootstrapCommand(),
		setQuotasCommand(),
		statusCommand(),
		ownershipCommand(),
		offerCommand(),
		policyCommand(),
		rollbackCommand(),
		stopCommand(),
	)
	return c
}

// printf writes to an operator's terminal. A terminal that is gone needs no answer.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// withFleet loads a fleet's file and calls do. It appends the advice to an error of do.
func withFleet(path string, do func(fleet *api.Config, client *http.Client) error) error {
	fleet, err := api.Load(path)
	if err != nil {
		return err
	}
	keys, err := fleet.LoadTLSKeys()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: api.NewTransport(keys)}
	defer client.CloseIdleConnections()
	return api.WithAdvice(do(fleet, client))
}

// fleetCheckCommand is "fleet check". It reads files only, and fails if it has a finding.
func fleetCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE",
		Short: "Tell whether a fleet's file is good, with the charter and the namespaces that it names, " +
			"or what is wrong",
		Args: oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			path := args[0]
			fleet, err := api.Load(path)
			if err != nil {
				return err
			}
			findings, err := fleet.CheckNamespaces()
			if err != nil {
				return api.WithAdvice(err)
			}
			for _, text := range findings {
				printf(cmd.OutOrStdout(), "%s\n", text)
			}
			if len(findings) > 0 {
				return fmt.Errorf("%s: %d of what it names is held back or at odds", path, len(findings))
			}
			printf(cmd.OutOrStdout(), "%s: good: %s\n", path, fleet.Summary())
			return nil
		},
	}
}

// bootstrapCommand is "fleet found": it bootstraps all servers under an epoch; see api.Config.Bootstrap.
func bootstrapCommand() *cobra.Command {
	var epoch uint64
	c := &cobra.Command{
		Use: "found FILE",
		Short: "Have all stewards begin the fleet, or begin it anew under a higher epoch: " +
			"nothing is granted for the longest lease",
		Args: oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
				if err := fleet.Bootstrap(cmd.Context(), client, epoch); err != nil {
					return err
				}
				printf(cmd.OutOrStdout(),
					"fleet %q is founded under epoch %d; budgets can be set %v after a steward leads\n",
					fleet.Fleet, epoch, time.Duration(fleet.MaxLifetime))
				return nil
			})
		},
	}
	c.Flags().Uint64Var(&epoch, "epoch", 1, "above all that this fleet was ever founded under")
	return c
}

// setQuotasCommand is "fleet set": it replaces the quotas; see api.Config.SetQuotas.
func setQuotasCommand() *cobra.Command {
	var version uint64
	var removedHolders []string
	var wait time.Duration
	c := &cobra.Command{
		Use:   "set FILE",
		Short: "Have the stewards divide the budgets of this file from now on",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
				deadline := time.Now().Add(wait)
				set, err := fleet.SetQuotas(cmd.Context(), client, version, removedHolders)
				for err != nil && time.Now().Before(deadline) {
					time.Sleep(setRetryInterval)
					set, err = fleet.SetQuotas(cmd.Context(), client, version, removedHolders)
				}
				if err != nil {
					return err
				}
				printf(cmd.OutOrStdout(), "%d budgets are set, version %d\n", len(fleet.Quotas), set)
				return nil
			})
		},
	}
	c.Flags().Uint64Var(&version, "version", 0,
		"of the budgets, above all that were ever used; 0 is one above what the stewards know")
	c.Flags().DurationVar(&wait, "wait", 0, "try for so long, such as until the time after a founding is over")
	c.Flags().StringSliceVar(&removedHolders, "gone", nil,
		"proxies whose floors nobody will ever spend again: your word")
	return c
}

// statusCommand is "fleet status": it shows the status of each server.
func statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status FILE",
		Short: "Tell how each steward stands and what is out of each budget",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(fleet *api.Config, client *http.Client) error {
				statuses, errs := fleet.ServerStatuses(cmd.Context(), client)
				for i := range statuses {
					if errs[i] != nil {
						printf(cmd.OutOrStdout(), "%s: no answer\n", fleet.Servers[i].Name)
						continue
					}
					printServerStatus(cmd.OutOrStdout(), &statuses[i])
				}
				return errors.Join(errs...)
			})
		},
	}
}

func printServerStatus(out io.Writer, status *api.ServerStatus) {
	printf(out, "%s: epoch %d, %s, leader %q, term %d, applied %d, budgets at version %d\n",
		status.Name, status.Epoch, cmp.Or(status.Role, "not founded"), status.LeaderName,
		status.Term, status.Applied, status.ConfigVersion)
	if status.Epoch > 0 && status.QuotasUnset {
		printf(out, "%s: nothing is granted: no budgets are set\n", status.Name)
	}
	if status.Fault.Message != "" {
		printf(out, "%s: out: %s; %s\n", status.Name, status.Fault.Message, status.Fault.Help)
	}
	if status.Name != status.LeaderName {
		return
	}
	for _, quota := range status.Quotas {
		printf(out, "budget %s: %.6g of %.6g a second is out\n", quota.Name, quota.Granted, quota.Limit)
	}
}
