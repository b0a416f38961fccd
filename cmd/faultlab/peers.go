package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/peerfaults"
)

// peersCommand plays peers that misbehave at each point of a request.
func peersCommand() *cobra.Command {
	var proxy, only, jsonPath string
	var parallel int
	c := &cobra.Command{
		Use:   "peers",
		Short: "Play clients and servers that fall silent, leave, reset or dribble at each point of a request",
		Long: `peers starts a proxy for each case, serving or in a drain, beside a server and a client of which one misbehaves. It fails if a
whole request has no answer in time, if one is begun at a server after its client has left, if a part of an answer looks
like the whole, or if a client that stops in a request is kept waiting.`,
		Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			tmp, err := os.MkdirTemp("", "faultlab-bin-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(tmp) }()
			if proxy == "" {
				if proxy, err = findProxy(cmd.Context(), tmp); err != nil {
					return err
				}
			}
			var cases []peerfaults.Case
			for _, c := range peerfaults.Cases() {
				if strings.Contains(c.String(), only) {
					cases = append(cases, c)
				}
			}
			var results []peerfaults.Result
			broken := 0
			err = peerfaults.Play(cmd.Context(), proxy, cases, parallel, func(r peerfaults.Result) {
				results = append(results, r)
				verdict := "held"
				if len(r.Broken) > 0 {
					broken++
					verdict = "BROKEN: " + strings.Join(r.Broken, "; ")
				}
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s (%s)\n", r.Name, verdict, r.Seen)
			})
			if err != nil {
				return err
			}
			if err := writeResult(jsonPath, results); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d cases, %d broken\n", len(results), broken)
			if broken > 0 {
				return fmt.Errorf("%w: %d of %d cases", errBroken, broken, len(results))
			}
			return nil
		},
	}
	c.Flags().StringVar(&proxy, "proxy", "", "the proxy's program; built from the tree if it is not named")
	c.Flags().StringVar(&only, "only", "", "only the cases whose name has this in it")
	c.Flags().IntVar(&parallel, "parallel", 16, "cases that are played at the same time")
	c.Flags().StringVar(&jsonPath, "json", "", "write the results to this file")
	return c
}
