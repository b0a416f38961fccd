package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/loadgen"
)

func loadCommand() *cobra.Command {
	var o loadgen.Options
	var headers []string
	var body string
	var hold time.Duration
	var most float64
	c := &cobra.Command{
		Use:   "load URL",
		Short: "Drive an HTTP address of this machine in an open loop, and tell its latencies",
		Long: `load sends requests at their times whatever has become of the earlier ones, and times each from when it should
have left. With --hold it searches the highest rate whose 99th percentile stays under that time with fewer than one
failure in 100; each step then lasts --duration.`,
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			o.URL, o.Body, o.Header = args[0], []byte(body), http.Header{}
			for _, h := range headers {
				name, value, found := strings.Cut(h, ":")
				if !found {
					return usageError{fmt.Errorf("--header %q: wanted NAME: VALUE", h)}
				}
				o.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
			}
			if hold > 0 {
				rate, steps, err := loadgen.Search(cmd.Context(), o, loadgen.Aim{P99: hold, Errors: 0.01}, most, func(s loadgen.Step) {
					verdict := "holds"
					if !s.Held {
						verdict = "does not hold: " + s.Why
					}
					fmt.Fprintf(out, "%8.0f a second  p99 %v  %s\n", s.Rate, s.P99, verdict)
				})
				if err != nil {
					return err
				}
				if rate == 0 {
					return fmt.Errorf("%w: not even %.0f a second", errBroken, steps[0].Rate)
				}
				fmt.Fprintf(out, "highest rate that holds a p99 of %v: %.0f a second\n", hold, rate)
				return nil
			}
			o.Progress = func(sent, ok, failed int, now time.Duration) {
				fmt.Fprintf(cmd.ErrOrStderr(), "%v  answered %d  ok %d  failed %d\n", now.Round(time.Second), sent, ok, failed)
			}
			res, err := loadgen.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d planned, %d sent, %d ok, %d failed, %d not sent for want of a place, %.0f a second\n", res.Planned, res.Sent, res.OK,
				res.Failed, res.Shed, float64(res.Sent)/res.Took.Seconds())
			for _, q := range []float64{50, 90, 99, 99.9, 100} {
				fmt.Fprintf(out, "  p%-5g %v\n", q, res.Quantile(q))
			}
			var statuses []int
			for s := range res.Statuses {
				statuses = append(statuses, s)
			}
			slices.Sort(statuses)
			for _, s := range statuses {
				fmt.Fprintf(out, "  status %d: %d\n", s, res.Statuses[s])
			}
			var kinds []string
			for k := range res.Errors {
				kinds = append(kinds, k)
			}
			slices.Sort(kinds)
			for _, k := range kinds {
				fmt.Fprintf(out, "  %s: %d\n", k, res.Errors[k])
			}
			if late := time.Duration(res.LateSend.ValueAtQuantile(99)) * time.Microsecond; late > 20*time.Millisecond {
				fmt.Fprintf(out, "one request in 100 left %v late or more: this machine was too slow for the rate, the latencies hold that too\n", late)
			}
			if cmd.Context().Err() != nil {
				return errors.New("broken off; what was seen is told")
			}
			return nil
		},
	}
	c.Flags().Float64Var(&o.Rate, "rate", 100, "requests a second; where a search begins")
	c.Flags().Float64Var(&o.RampTo, "ramp-to", 0, "requests a second at the end, in a straight line")
	c.Flags().DurationVar(&o.Duration, "duration", 10*time.Second, "how long, or of each step of a search")
	c.Flags().DurationVar(&o.Timeout, "timeout", 10*time.Second, "of one request")
	c.Flags().IntVar(&o.InFlight, "in-flight", 10000, "requests out at once, at most")
	c.Flags().BoolVar(&o.Even, "even", false, "evenly spaced, in place of a Poisson process")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "what chance comes from")
	c.Flags().StringVar(&o.Method, "method", "GET", "the method")
	c.Flags().StringVar(&body, "body", "", "the body")
	c.Flags().StringArrayVar(&headers, "header", nil, "NAME: VALUE; as often as needed")
	c.Flags().DurationVar(&hold, "hold", 0, "search the highest rate that holds this p99")
	c.Flags().Float64Var(&most, "most", 20000, "rate at which a search ends")
	return c
}
