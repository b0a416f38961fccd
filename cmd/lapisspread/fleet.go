package main

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/server"
	"lapisspread/internal/lograte"
)

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Look at the file of a fleet, and give its stewards an operator's word",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Tell whether a fleet's file is good, with the charter and the namespaces that it names, or what is wrong",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := api.Load(args[0])
			if err != nil {
				return err
			}
			held, err := f.CheckNamespaces()
			if err != nil {
				return api.WithAdvice(err)
			}
			for _, text := range held {
				fmt.Fprintln(cmd.OutOrStdout(), text)
			}
			if len(held) > 0 {
				return fmt.Errorf("%s: %d of what it names is held back or at odds", args[0], len(held))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %s\n", args[0], f.Summary())
			return nil
		},
	})
	c.AddCommand(foundCommand(), setCommand(), statusCommand(), charterCommand(), offerCommand(), policyCommand(), backCommand(), stopCommand())
	return c
}

// withFleet loads a fleet's file, and tells an error with what an operator can do about it.
func withFleet(path string, do func(f *api.Config, client *http.Client) error) error {
	f, err := api.Load(path)
	if err != nil {
		return err
	}
	keys, err := f.LoadTLSKeys()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: api.NewTransport(keys)}
	defer client.CloseIdleConnections()
	return api.WithAdvice(do(f, client))
}

func foundCommand() *cobra.Command {
	var epoch uint64
	c := &cobra.Command{
		Use:   "found FILE",
		Short: "Have all stewards begin the fleet, or begin it anew under a higher epoch: nothing is granted for the longest lease",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(f *api.Config, client *http.Client) error {
				if err := f.Bootstrap(cmd.Context(), client, epoch); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "fleet %q is founded under epoch %d; budgets can be set %v after a steward leads\n", f.Fleet, epoch, time.Duration(f.MaxLifetime))
				return nil
			})
		},
	}
	c.Flags().Uint64Var(&epoch, "epoch", 1, "above all that this fleet was ever founded under")
	return c
}

func setCommand() *cobra.Command {
	var version uint64
	var gone []string
	var wait time.Duration
	c := &cobra.Command{
		Use:   "set FILE",
		Short: "Have the stewards divide the budgets of this file from now on",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(f *api.Config, client *http.Client) error {
				v, err := f.SetQuotas(cmd.Context(), client, version, gone)
				for end := time.Now().Add(wait); err != nil && time.Now().Before(end); v, err = f.SetQuotas(cmd.Context(), client, version, gone) {
					time.Sleep(200 * time.Millisecond)
				}
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%d budgets are set, version %d\n", len(f.Quotas), v)
				}
				return err
			})
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "of the budgets, above all that were ever used; 0 is one above what the stewards know")
	c.Flags().DurationVar(&wait, "wait", 0, "try for so long, such as until the time after a founding is over")
	c.Flags().StringSliceVar(&gone, "gone", nil, "proxies whose floors nobody will ever spend again: your word")
	return c
}

func statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status FILE",
		Short: "Tell how each steward stands and what is out of each budget",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFleet(args[0], func(f *api.Config, client *http.Client) error {
				all, errs := f.ServerStatuses(cmd.Context(), client)
				out := cmd.OutOrStdout()
				for i, s := range all {
					if errs[i] != nil {
						fmt.Fprintf(out, "%s: no answer\n", f.Servers[i].Name)
						continue
					}
					fmt.Fprintf(out, "%s: epoch %d, %s, leader %q, term %d, applied %d, budgets at version %d\n",
						s.Name, s.Epoch, cmp.Or(s.Role, "not founded"), s.LeaderName, s.Term, s.Applied, s.ConfigVersion)
					if s.Epoch > 0 && s.QuotasUnset {
						fmt.Fprintf(out, "%s: nothing is granted: no budgets are set\n", s.Name)
					}
					if s.Fault.Message != "" {
						fmt.Fprintf(out, "%s: out: %s; %s\n", s.Name, s.Fault.Message, s.Fault.Help)
					}
					if s.Name == s.LeaderName {
						for _, b := range s.Quotas {
							fmt.Fprintf(out, "budget %s: %.6g of %.6g a second is out\n", b.Name, b.Granted, b.Limit)
						}
					}
				}
				return errors.Join(errs...)
			})
		},
	}
}

func stewardCommand() *cobra.Command {
	var file, name, state, listen string
	c := &cobra.Command{
		Use:   "steward",
		Short: "Divide a fleet's budgets, with the other stewards, until SIGTERM",
		Args:  noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" || name == "" || state == "" {
				return usageError{errors.New("steward: --fleet, --name and --state are all needed")}
			}
			f, err := api.Load(file)
			if err != nil {
				return err
			}
			return api.WithAdvice(runSteward(cmd, f, name, state, listen))
		},
	}
	c.Flags().StringVar(&file, "fleet", "", "the fleet's file")
	c.Flags().StringVar(&name, "name", "", "which of its stewards this is")
	c.Flags().StringVar(&state, "state", "", "a folder for its log, that nobody else writes in")
	c.Flags().StringVar(&listen, "listen", "", "where to listen; the address in the file if left out")
	return c
}

func runSteward(cmd *cobra.Command, f *api.Config, name, state, listen string) error {
	own, err := f.Server(name)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(state, 0o700); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	writer := lograte.New(os.Stderr)
	defer writer.Close()
	log := slog.New(slog.NewTextHandler(writer, nil)).With("steward", name)
	listener, err := net.Listen("tcp", cmp.Or(listen, own.Address))
	if err != nil {
		return err
	}
	s, err := server.New(server.Config{Fleet: f, Name: name, StateDir: state, Logger: log})
	if err != nil {
		listener.Close()
		return err
	}
	if err := s.Run(ctx, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info("ended")
	return nil
}
