package main

import (
	"github.com/spf13/cobra"

	"lapisspread/internal/discovery/guardedsource"
)

// listGuardCommand returns "comeback", whose only subcommand checks a file of the endpoint list guard; see package
// discovery/guardedsource.
func listGuardCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "comeback",
		Short: "Check files of the endpoint list guard",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a file of the endpoint list guard: print a summary, or the line or key that is wrong",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := guardedsource.Load(args[0])
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s: good: %s\n", args[0], f.Describe())
			return nil
		},
	})
	return c
}
