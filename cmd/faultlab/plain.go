package main

import (
	"os"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/baselineproxy"
	"lapisspread/internal/proxy"
)

// plainProxyCommand is what run starts in the proxy's place for a policy other than the module.
func plainProxyCommand() *cobra.Command {
	var policy string
	c := &cobra.Command{
		Use:    "plain-proxy",
		Short:  "Serve as a plain proxy, or a flawed one, with the configuration of a real one",
		Hidden: true,
		Args:   usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := baseline.Named(policy); err != nil {
				return err
			}
			cfg, err := proxy.LoadConfig(os.Getenv)
			if err != nil {
				return err
			}
			return baselineproxy.New(policy, cfg).Run(cmd.Context())
		},
	}
	c.Flags().StringVar(&policy, "policy", "reverse-proxy", "see faultlab list")
	return c
}
