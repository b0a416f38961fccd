// Lapisspread is an HTTP load-balancing proxy, its control-plane server and the commands for operators. The proxy
// applies the decisions of package decision to network connections.
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
	exitUsage  = 2 // the command line was invalid
)

// usageError is an error in the command line, which ends the process with exitUsage.
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
		Short: "An HTTP/1.1 load-balancing proxy that decides which backend to use, when to retry and when to reject",
		Long: `lapisspread forwards HTTP requests to a fleet of dispatch nodes.

BALANCER_CONFIG is the path of its JSON configuration file. BALANCER_NAME, BALANCER_LISTEN,
BALANCER_DISCOVERY and BALANCER_CONSOLE override the settings in that file. SIGHUP reloads the file,
SIGTERM shuts the proxy down gracefully.

Exit codes: 0 success, 1 failure, 2 invalid command line.`,
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

// serveCommand returns "serve", which runs the proxy and blocks until SIGTERM.
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
		"serve the services of this file in place of a single one; SIGHUP reloads it")
	c.Flags().StringVar(&files.admission, "admission", "",
		"admit connections by this file; SIGHUP reloads it")
	c.Flags().StringVar(&files.diameter, "diameter", "",
		"serve Diameter too, by this file; SIGHUP reloads its certificates")
	c.Flags().StringVar(&files.listGuard, "comeback", "",
		"use this file for the endpoint list guard: doubtful lists and calls for lists")
	c.Flags().StringVar(&files.fleet, "fleet", "",
		"use the budgets of the fleet in this file, which its control-plane servers divide")
	c.Flags().StringVar(&profile, "cpu-profile", "",
		"write a CPU profile (pprof) at exit, to this path followed by a dot and the proxy's name")
	return c
}

// configCommand returns "config", whose only subcommand checks a proxy's configuration.
func configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check configurations",
		Args:  noArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration: print a summary, or the field that is wrong and why",
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

// versionCommand returns "version", which prints the build.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this build",
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

// noArguments rejects command lines with arguments and returns a usageError.
func noArguments(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s: unknown command or argument %q", cmd.CommandPath(), args[0])}
	}
	return nil
}
