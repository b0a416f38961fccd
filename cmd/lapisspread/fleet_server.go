package main

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/server"
	"lapisspread/internal/lograte"
)

// serverFlags are the flags of "lapisspread steward".
type serverFlags struct {
	fleetFile string
	name      string
	stateDir  string
	listen    string
}

// fleetServerCommand is "steward": it runs a control-plane server and blocks until SIGTERM or an interrupt.
func fleetServerCommand() *cobra.Command {
	var flags serverFlags
	c := &cobra.Command{
		Use:   "steward",
		Short: "Divide a fleet's budgets, with the other stewards, until SIGTERM",
		Args:  noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if flags.fleetFile == "" || flags.name == "" || flags.stateDir == "" {
				return usageError{errors.New("steward: --fleet, --name and --state are all needed")}
			}
			fleet, err := api.Load(flags.fleetFile)
			if err != nil {
				return err
			}
			return api.WithAdvice(runFleetServer(cmd, fleet, flags))
		},
	}
	c.Flags().StringVar(&flags.fleetFile, "fleet", "", "the fleet's file")
	c.Flags().StringVar(&flags.name, "name", "", "which of its stewards this is")
	c.Flags().StringVar(&flags.stateDir, "state", "", "a folder for its log, that nobody else writes in")
	c.Flags().StringVar(&flags.listen, "listen", "", "where to listen; the address in the file if left out")
	return c
}

// runFleetServer runs a control-plane server until SIGTERM or an interrupt.
func runFleetServer(cmd *cobra.Command, fleet *api.Config, flags serverFlags) error {
	self, err := fleet.Server(flags.name)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(flags.stateDir, 0o700); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	writer := lograte.New(os.Stderr)
	defer func() { _ = writer.Close() }()
	log := slog.New(slog.NewTextHandler(writer, nil)).With("server", flags.name)
	listener, err := net.Listen("tcp", cmp.Or(flags.listen, self.Address))
	if err != nil {
		return err
	}
	config := server.Config{Fleet: fleet, Name: flags.name, StateDir: flags.stateDir, Logger: log}
	s, err := server.New(config)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	if err := s.Run(ctx, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info("control-plane server ended")
	return nil
}
