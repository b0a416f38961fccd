// Lapisspread is the proxy: the decisions of package decision on real sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"lapisspread/internal/proxy"
)

// Exit codes, besides 0 for success.
const (
	exitFailed = 1 // the command ran and failed: a bad configuration, an address in use
	exitUsage  = 2 // the command line itself was wrong
)

// usageError is an error of the command line itself.
type usageError struct{ error }

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command line and returns its exit code.
func execute(args []string, out, errOut io.Writer) int {
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	printf(errOut, "lapisspread: %v\n", err)
	if errors.As(err, new(usageError)) {
		printf(errOut, "Try 'lapisspread --help'.\n")
		return exitUsage
	}
	return exitFailed
}

// rootCommand returns the command line. Names of commands and flags are an interface to operators: some are older than
// the names in the code, which the comments of the commands relate to them.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "lapisspread",
		Short: "An HTTP/1.1 proxy that decides which backend to take, when to try again and when to refuse",
		Long: `lapisspread stands in front of a fleet of dispatch nodes.

It is told what it needs by a JSON file that BALANCER_CONFIG names; BALANCER_NAME, BALANCER_LISTEN,
BALANCER_DISCOVERY and BALANCER_CONSOLE go before what that file says. SIGHUP reads the file again,
SIGTERM ends the proxy in order.

Exit codes: 0 ended in order, 1 failed, 2 the command line was wrong.`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArguments,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(
		serveCommand(),
		configCommand(),
		routesCommand(),
		admissionCommand(),
		diameterCommand(),
		listGuardCommand(),
		fleetCommand(),
		fleetServerCommand(),
		versionCommand(),
	)
	return root
}

// serveCommand is "serve": it runs the proxy and blocks until SIGTERM.
func serveCommand() *cobra.Command {
	var profile string
	var files serveFiles
	c := &cobra.Command{
		Use:   "serve",
		Short: "Serve clients until SIGTERM",
		Args:  noArguments,
		RunE:  func(*cobra.Command, []string) error { return serve(profile, files) },
	}
	c.Flags().StringVar(&files.services, "services", "",
		"serve the services of this file in place of a single one; SIGHUP reads it again")
	c.Flags().StringVar(&files.admission, "admission", "",
		"decide by this file who gets a connection; SIGHUP reads it again")
	c.Flags().StringVar(&files.diameter, "diameter", "",
		"speak Diameter too, by this file; SIGHUP reads its certificates again")
	c.Flags().StringVar(&files.listGuard, "comeback", "",
		"go by this file about lists that are in doubt and calls for them")
	c.Flags().StringVar(&files.fleet, "fleet", "",
		"draw on the budgets of this fleet, that its stewards divide")
	c.Flags().StringVar(&profile, "cpu-profile", "",
		"write a CPU profile (pprof) to this file, with the proxy's name behind it, at the end")
	return c
}

// configCommand is "config", whose only command checks a proxy's configuration.
func configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Look at configurations",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Tell whether a configuration could be served, and if not, which field is wrong and why",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := proxy.CheckConfig(args[0], os.Getenv)
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%s: good: proxy %q, %d classes, %d tenants, %d backends known\n",
				args[0], c.Name, len(c.Decision.Classes), len(c.Decision.Tenants), len(c.InitialEndpoints.Endpoints))
			if c.InitialEndpointsError != nil {
				printf(cmd.OutOrStdout(), "%v; it is served without, and discovery is asked\n", c.InitialEndpointsError)
			}
			return nil
		},
	})
	return c
}

// versionCommand is "version".
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print which build this is",
		Args:  noArguments,
		Run: func(cmd *cobra.Command, _ []string) {
			printf(cmd.OutOrStdout(), "lapisspread %s\n", buildVersion())
		},
	}
}

// buildVersion describes the build by what the Go toolchain recorded: version, revision, and whether the tree had
// uncommitted changes.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	revision := ""
	dirty := ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = " " + s.Value[:min(12, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				dirty = " with changes"
			}
		}
	}
	return fmt.Sprintf("%s%s%s %s", info.Main.Version, revision, dirty, info.GoVersion)
}

// noArguments returns a usageError if a command line has arguments.
func noArguments(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s: there is no command or argument %q", cmd.CommandPath(), args[0])}
	}
	return nil
}
