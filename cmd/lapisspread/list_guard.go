package main

import (
	"github.com/spf13/cobra"

	"lapisspread/internal/discovery/guardedsource"
)

// listGuardCommand is "comeback", whose only command checks a file of package discovery/guardedsource.
func listGuardCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "comeback",
		Short: "Look at files of coming back",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Tell whether a file of coming back is good and what it comes to, or which line or key is wrong",
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
