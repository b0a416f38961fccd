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

// fleetCommand returns "fleet", the commands for operators, which call the control-plane servers of a fleet.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Check a fleet file, and send commands to the control-plane servers of the fleet",
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

// printf writes to an operator's terminal. Write errors are ignored: a closed terminal cannot show them.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// withFleet loads a fleet file and calls do. If do returns an error, withFleet appends its advice for operators.
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

// fleetCheckCommand returns "fleet check". It only reads files, calls no server, and fails if it has a finding.
func fleetCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE",
		Short: "Check a fleet file, and the ownership declaration and namespaces that it refers to, " +
			"without calling a server",
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
				return fmt.Errorf("%s: found %d withheld files or budget mismatches", path, len(findings))
			}
			printf(cmd.OutOrStdout(), "%s: good: %s\n", path, fleet.Summary())
			return nil
		},
	}
}

// bootstrapCommand returns "fleet found", which bootstraps all servers under an epoch; see api.Config.Bootstrap.
func bootstrapCommand() *cobra.Command {
	var epoch uint64
	c := &cobra.Command{
		Use: "found FILE",
		Short: "Bootstrap the fleet on all control-plane servers, or bootstrap it again under a higher epoch: " +
			"nothing is granted for the duration of the longest lease",
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
	c.Flags().Uint64Var(&epoch, "epoch", 1,
		"epoch of the fleet, higher than all epochs under which it was bootstrapped before")
	return c
}

// setQuotasCommand returns "fleet set", which replaces the quotas; see api.Config.SetQuotas.
func setQuotasCommand() *cobra.Command {
	var version uint64
	var removedHolders []string
	var wait time.Duration
	c := &cobra.Command{
		Use:   "set FILE",
		Short: "Replace the budgets that the control-plane servers divide by those of this file",
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
		"version of the budgets, higher than all used before; 0 means the servers' current version plus one")
	c.Flags().DurationVar(&wait, "wait", 0,
		"retry failed attempts for this time, for example until the waiting time after a bootstrap is over")
	c.Flags().StringSliceVar(&removedHolders, "gone", nil,
		"proxies that will never use their floors again; the operator must be sure of it")
	return c
}

// statusCommand returns "fleet status", which shows the status of each server.
func statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status FILE",
		Short: "Show the status of each control-plane server, and how much of each budget is granted",
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
