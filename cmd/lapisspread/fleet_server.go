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

// fleetServerCommand returns "steward", which runs a control-plane server and blocks until SIGTERM or an interrupt.
func fleetServerCommand() *cobra.Command {
	var flags serverFlags
	c := &cobra.Command{
		Use:   "steward",
		Short: "Run a control-plane server, which divides a fleet's budgets, until SIGTERM",
		Args:  noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if flags.fleetFile == "" || flags.name == "" || flags.stateDir == "" {
				return usageError{errors.New("steward: --fleet, --name and --state are all required")}
			}
			fleet, err := api.Load(flags.fleetFile)
			if err != nil {
				return err
			}
			return api.WithAdvice(runFleetServer(cmd, fleet, flags))
		},
	}
	c.Flags().StringVar(&flags.fleetFile, "fleet", "", "path of the fleet file")
	c.Flags().StringVar(&flags.name, "name", "", "name of this control-plane server in the fleet file")
	c.Flags().StringVar(&flags.stateDir, "state", "", "directory for the Raft log, which no other process writes to")
	c.Flags().StringVar(&flags.listen, "listen", "", "address to listen on; default is the address in the fleet file")
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
