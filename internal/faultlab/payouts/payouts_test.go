package payouts

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/faultlab/diameterpeer"
	"lapisspread/internal/faultlab/testbinary"
)

func TestMain(m *testing.M) { testbinary.Main(m) }

// A short run on a real process that is killed and ended: no claim runs twice, whatever becomes of the ledger, and what was answered
// stays answered if nothing becomes of it. The long
// one is a command (faultlab payouts).
func TestNoClaimRunsTwice(t *testing.T) {
	binary := testbinary.Proxy(t)
	for _, c := range []struct {
		durable bool
		lose    string
	}{{true, ""}, {false, ""}, {true, "ledger"}, {true, "folder"}, {true, "old"}} {
		t.Run(fmt.Sprint("durable ", c.durable, c.lose), func(t *testing.T) {
			t.Parallel()
			table, err := Play(t.Context(), Plan{Binary: binary, Claims: 600, Rate: 200, Clients: 4, Servers: 3, Faults: 2, Kills: 2, Ends: 1, Durable: c.durable,
				Lose: c.lose, Again: 0.3, Soon: 2 * time.Second, Seed: 7})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", *table)
			if err := table.Broken(c.durable && c.lose == ""); err != nil {
				t.Error(err)
			}
			if table.Claims != 600 || table.Paid == 0 || table.Kills != 2 || table.NoAnswer > 0 || len(table.Recovery) != 4 || table.Asked == 0 {
				t.Errorf("%+v", *table)
			}
		})
	}
}

// The judge sees each kind of broken promise.
func TestWhatIsBroken(t *testing.T) {
	for what, table := range map[string]Table{"more than once": {Twice: 1}, "never ran": {PaidNeverRan: 1}, "had not run": {RefusedThatRan: 2}, "lost": {Lost: 1}} {
		if err := table.Broken(true); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := (&Table{Paid: 3, MayHaveRun: 4, Lost: 1}).Broken(false); err != nil {
		t.Error(err)
	}
	sum := 0.0
	for a, p := range Chances {
		if a == diameterpeer.Serve || p <= 0 {
			t.Errorf("%v: %v", a, p)
		}
		sum += p
	}
	if sum > 0.2 {
		t.Errorf("%v of the claims go wrong", sum)
	}
}
