package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"lapisspread/internal/route"
	"lapisspread/internal/services"
)

// shownLosers is how many routes that do not match are told of, unless all are asked for.
const shownLosers = 10

func routesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "routes",
		Short: "Look at the routes of several services",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Tell whether a file of services is good, and if not, what is wrong and where",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := services.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %d services, %d routes\n", args[0], len(s.File.Services), s.Table.Rules())
			return nil
		},
	})
	var q route.Request
	var all bool
	explain := &cobra.Command{
		Use:   "explain FILE",
		Short: "Tell which route a request gets and why, and why the others lost",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := services.Load(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			rule, verdict := s.Table.Lookup(&q)
			if rule != nil {
				fmt.Fprintf(out, "%s:", rule.Name)
				for _, to := range rule.To {
					fmt.Fprintf(out, " %s (weight %g)", to.Service, to.Weight)
				}
				fmt.Fprintln(out)
			}
			losers := 0
			for i, r := range s.Table.Explain(&q) {
				mark := "-"
				switch {
				case r.Matches && i == 0:
					mark = "*"
				case r.Matches:
					mark = "+"
				default:
					losers++
					if losers > shownLosers && !all {
						continue
					}
				}
				fmt.Fprintf(out, "  %s %s: %s\n", mark, r.Rule.Name, r.Why)
			}
			if losers > shownLosers && !all {
				fmt.Fprintf(out, "  and %d more that do not match; --all tells of them\n", losers-shownLosers)
			}
			if rule == nil {
				return errors.New(verdict.String())
			}
			return nil
		},
	}
	explain.Flags().StringVar(&q.Host, "host", "", "the request's host")
	explain.Flags().StringVar(&q.Path, "path", "/", "its path")
	explain.Flags().StringVar(&q.Method, "method", "GET", "its method")
	explain.Flags().StringVar(&q.Class, "class", "", "its class")
	explain.Flags().StringVar(&q.Tenant, "tenant", "", "its tenant")
	explain.Flags().BoolVar(&all, "all", false, "tell of all routes that do not match")
	c.AddCommand(explain)
	return c
}

// oneFile takes one argument.
func oneFile(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("%s takes one FILE, not %d", cmd.CommandPath(), len(args))}
	}
	return nil
}
