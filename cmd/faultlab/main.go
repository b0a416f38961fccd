// Faultlab is the laboratory: it plays a fleet that can be broken on purpose, on sockets around real proxies or in
// virtual time, and judges what becomes of the requests.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes, besides 0: what was asked for was done and held.
const (
	exitFailed = 1 // it could not be done, or it did not hold
	exitUsage  = 2 // the command line was wrong
)

type usageError struct{ error }

// errBroken is a run that was done and did not hold.
var errBroken = errors.New("it did not hold")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use:   "faultlab",
		Short: "Plays a fleet that can be broken on purpose, and judges what becomes of its requests",
		Long: `faultlab plays a fleet of dispatch nodes, its register and its clients.

  run        around real proxies, on loopback sockets, in real time
  simulate   in virtual time, far past the size of this machine

Exit codes: 0 done, and what was asked for held; 1 it failed or did not hold; 2 the command line was wrong.`,
		SilenceErrors: true, SilenceUsage: true,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(runCommand(), simulateCommand(), listCommand(), selfCheckCommand(), plainProxyCommand(), experimentCommand(), compareCommand(), loadCommand(), scaleCommand(), overloadCommand(), floodCommand(), floodClientCommand(),
		soakCommand(), addressesCommand(), diameterCommand(), payoutsCommand(), comebackCommand(), killsCommand(), grantsCommand(), capacityCommand(), hollowsCommand(), slopesCommand(), peersCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return 0
	case errors.As(err, new(usageError)):
		fmt.Fprintf(errOut, "faultlab: %v\nTry 'faultlab --help'.\n", err)
		return exitUsage
	default:
		fmt.Fprintln(errOut, "faultlab:", err)
		return exitFailed
	}
}

// writeResult writes what a command has come to as JSON, if a file is named.
func writeResult(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("the result: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("the result: %w", err)
	}
	return nil
}

// usage turns a check of arguments into one whose errors are the command line's.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
