package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lapisspread/internal/listener"
)

// assumedMaxConns is the connection capacity of the process that "admission check" assumes.
const assumedMaxConns = 1 << 16

// admissionCommand returns "admission", whose only subcommand checks an admission file; see package listener.
func admissionCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "admission",
		Short: "Check admission files",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check an admission file: print a summary, or the line or key that is wrong",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := listener.Load(args[0])
			if err != nil {
				return err
			}
			s, err := f.Settings(listener.Capacity{Conns: assumedMaxConns}, 0)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			places := "all places that the process has"
			if f.Connections.MaxConns != 0 {
				places = fmt.Sprintf("%d places at most", s.MaxConns)
			}
			requests := "requests in hand are not bounded here"
			if r := f.Requests; r != nil {
				requests = fmt.Sprintf("%d requests in hand", r.MaxInFlight)
			}
			printf(cmd.OutOrStdout(),
				"%s: good: %s, %.0f %% of them for known clients, %d prefixes known from the start; %s\n",
				args[0], places, 100*s.KnownReserve, len(s.KnownPrefixes), requests)
			return nil
		},
	})
	return c
}
