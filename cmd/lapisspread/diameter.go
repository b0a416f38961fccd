package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/diameter/claim"
)

// diameterCommand returns "diameter", whose only subcommand checks a Diameter file; see package diameter/claim.
func diameterCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "diameter",
		Short: "Check Diameter files",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a Diameter file: print a summary, or the line or key that is wrong",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			f, _, err := claim.Load(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			printf(out, "%s: good: %s of realm %s, %d peers\n", args[0], f.Host, f.Realm, len(f.Peers))
			for _, c := range f.Commands {
				command := c.Name
				if c.RequestedAction != nil {
					command += fmt.Sprintf(" with Requested-Action %d", *c.RequestedAction)
				}
				printf(out, "  %s is of class %s, its client waits %v\n", command, c.Class, time.Duration(c.GiveUp))
			}
			storage := "in memory alone"
			if f.Ledger.File != "" {
				storage = "in " + f.Ledger.File + " of the state directory"
			}
			printf(out, "  %d claims are remembered for %v, %s\n",
				f.Ledger.Entries, time.Duration(f.Ledger.Window), storage)
			return nil
		},
	})
	return c
}
