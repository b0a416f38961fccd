package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"lapisspread/internal/route"
	"lapisspread/internal/services"
)

// maxShownMismatches bounds the routes that do not match which "routes explain" prints without --all.
const maxShownMismatches = 10

// routesCommand returns "routes", the commands on a file of services and routes.
func routesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "routes",
		Short: "Check and explain the routes of a services file",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(routesCheckCommand(), routesExplainCommand())
	return c
}

// routesCheckCommand returns "routes check".
func routesCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a services file: print a summary, or what is wrong and where",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := services.Load(args[0])
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s: good: %d services, %d routes\n",
				args[0], len(s.File.Services), s.Table.RuleCount())
			return nil
		},
	}
}

// routesExplainCommand returns "routes explain", which shows the rule that a request matches.
func routesExplainCommand() *cobra.Command {
	var request route.Request
	var all bool
	c := &cobra.Command{
		Use:   "explain FILE",
		Short: "Show which route a request gets, and why the other routes do not apply",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := services.Load(args[0])
			if err != nil {
				return err
			}
			return explainRoute(cmd.OutOrStdout(), s.Table, &request, all)
		},
	}
	c.Flags().StringVar(&request.Host, "host", "", "the request's host")
	c.Flags().StringVar(&request.Path, "path", "/", "the request's path")
	c.Flags().StringVar(&request.Method, "method", "GET", "the request's method")
	c.Flags().StringVar(&request.Class, "class", "", "the request's class")
	c.Flags().StringVar(&request.Tenant, "tenant", "", "the request's tenant")
	c.Flags().BoolVar(&all, "all", false, "show all routes that do not match")
	return c
}

// explainRoute prints the services of the route that a request gets, and then, each with the reason, the first route
// that it matches (*), the other routes that it matches (+) and those that it does not match (-). If all is false, it
// prints at most maxShownMismatches of the last group. It returns an error if no route matches.
func explainRoute(out io.Writer, table *route.Table, request *route.Request, all bool) error {
	rule, verdict := table.Lookup(request)
	if rule != nil {
		printf(out, "%s:", rule.Name)
		for _, to := range rule.To {
			printf(out, " %s (weight %g)", to.Service, to.Weight)
		}
		printf(out, "\n")
	}
	mismatches := 0
	for i, r := range table.Explain(request) {
		mark := "-"
		switch {
		case r.Matches && i == 0:
			mark = "*"
		case r.Matches:
			mark = "+"
		default:
			mismatches++
			if mismatches > maxShownMismatches && !all {
				continue
			}
		}
		printf(out, "  %s %s: %s\n", mark, r.Rule.Name, r.Why)
	}
	if mismatches > maxShownMismatches && !all {
		printf(out, "  and %d more that do not match; --all tells of them\n", mismatches-maxShownMismatches)
	}
	if rule == nil {
		return errors.New(verdict.String())
	}
	return nil
}

// oneFile rejects command lines without exactly one argument and returns a usageError.
func oneFile(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("%s takes one FILE, not %d", cmd.CommandPath(), len(args))}
	}
	return nil
}
