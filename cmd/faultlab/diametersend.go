package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/diameter"
	"lapisspread/internal/faultlab/diameterpeer"
)

func sendCommand() *cobra.Command {
	var to string
	var n, atOnce int
	var amount int64
	client := &diameterpeer.Client{}
	c := &cobra.Command{
		Use:   "send",
		Short: "Send claims to a Diameter node, as a partner would, and tell what it answers",
		Long: `send connects, exchanges capabilities, and sends claims (credit control events) over the one connection. A claim without an
answer is repeated with the T flag. It exits with 1 if a claim is without an answer, or was not paid.`,
		Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if to == "" {
				return usageError{errors.New("--to must be given")}
			}
			if n < 1 || n > 1_000_000 || atOnce < 1 || atOnce > 10_000 || client.GiveUp <= 0 || client.Tries < 1 {
				return usageError{errors.New("--claims from 1 to 1000000, --at-once from 1 to 10000, --give-up above 0s and --tries above 0 are wanted")}
			}
			client.Dial = func(ctx context.Context) (net.Conn, error) { return new(net.Dialer).DialContext(ctx, "tcp", to) }
			client.Rest, client.Seed = 100*time.Millisecond, uint64(time.Now().UnixNano())
			defer client.Close()
			return sendClaims(cmd.Context(), cmd.OutOrStdout(), client, n, atOnce, amount)
		},
	}
	c.Flags().StringVar(&to, "to", "", "host:port")
	c.Flags().StringVar(&client.Host, "host", "client.example", "our Origin-Host")
	c.Flags().StringVar(&client.Realm, "realm", "example", "our Origin-Realm")
	c.Flags().StringVar(&client.To, "to-realm", "kigali.example", "the Destination-Realm")
	c.Flags().Uint32Var(&client.Action, "action", 1, "the Requested-Action: 0 debit, 1 refund, 2 balance, 3 price")
	c.Flags().IntVar(&n, "claims", 1, "claims in all")
	c.Flags().IntVar(&atOnce, "at-once", 1, "claims in hand")
	c.Flags().Int64Var(&amount, "amount", 100, "of each, in hundredths")
	c.Flags().DurationVar(&client.GiveUp, "give-up", 3*time.Second, "for an answer to one try")
	c.Flags().IntVar(&client.Tries, "tries", 3, "of each claim")
	return c
}

func sendClaims(ctx context.Context, w io.Writer, client *diameterpeer.Client, n, atOnce int, amount int64) error {
	var mu sync.Mutex
	codes := map[diameter.ResultCode]int{}
	var took []time.Duration
	var all sync.WaitGroup
	tokens := make(chan struct{}, atOnce)
	for range n {
		if ctx.Err() != nil {
			break
		}
		tokens <- struct{}{}
		all.Go(func() {
			began := time.Now()
			o := client.Claim(ctx, amount)
			<-tokens
			mu.Lock()
			defer mu.Unlock()
			codes[o.Code]++
			if o.Code != 0 {
				took = append(took, time.Since(began))
			}
			if n == 1 {
				fmt.Fprintf(w, "%s, end-to-end %#08x: Result-Code %d after %d tries, %q %s\n", o.Session, o.Name.ID, o.Code, o.Tries, o.Body, o.Why)
			}
		})
	}
	all.Wait()
	if n > 1 {
		var order []diameter.ResultCode
		for code := range codes {
			order = append(order, code)
		}
		slices.Sort(order)
		for _, code := range order {
			what := fmt.Sprint("Result-Code ", code)
			if code == 0 {
				what = "no answer"
			}
			fmt.Fprintf(w, "%-18s %d\n", what, codes[code])
		}
		if slices.Sort(took); len(took) > 0 {
			fmt.Fprintf(w, "answered after %v in the median, %v at most\n", took[len(took)/2].Round(time.Microsecond), took[len(took)-1].Round(time.Microsecond))
		}
	}
	if paid := codes[diameter.Success]; paid < n {
		return fmt.Errorf("%d of %d claims were paid", paid, n)
	}
	return ctx.Err()
}
