package quotalease

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisspread/internal/operatorerror"
)

func testConfig(change func(*FleetConfig)) FleetConfig {
	f := FleetConfig{FleetID: "f", MaxDrift: .01, MaxLifetime: 10 * time.Second, Quotas: []Quota{
		{Name: "r", Kind: Rate, Limit: 10, Burst: 10, LeaseDuration: time.Second},
		{Name: "h", Kind: InFlight, Limit: 10, LeaseDuration: time.Second, MaxHoldTime: 2 * time.Second},
	}}
	if change != nil {
		change(&f)
	}
	return f
}

// testLog is a book with what a test needs to drive it.
type testLog struct {
	testing.TB
	*StateMachine
	requests uint64
}

func newTestLog(t testing.TB, change func(*FleetConfig)) *testLog {
	l := &testLog{TB: t, StateMachine: NewStateMachine()}
	l.mustApply(Command{Bootstrap: &Bootstrap{"f", 1, .01, 10 * time.Second}})
	l.mustApply(Command{Expire: &Expire{Token: l.bootstrapToken}})
	l.mustApply(Command{SetQuotas: &SetQuotas{Version: 1, Config: testConfig(change)}})
	return l
}

func (l *testLog) apply(c Command) (ApplyResult, error) { return l.Apply(l.AppliedIndex()+1, c) }

func (l *testLog) mustApply(c Command) Token {
	l.Helper()
	a, err := l.apply(c)
	if err != nil {
		l.Fatal(err)
	}
	return a.Token
}

func (l *testLog) grantCommand(holder, budget string, units float64) Command {
	l.requests++
	b := l.config.Quota(budget)
	g := &Lease{FleetID: "f", Epoch: 1, HolderID: HolderID{holder, 1}, Quota: budget, Kind: b.Kind, Amount: FromUnits(units), Duration: b.LeaseDuration, MaxHoldTime: b.MaxHoldTime, RequestSeq: l.requests}
	if b.Kind == Rate {
		g.Burst = FromUnits(units)
	}
	return Command{Grant: g}
}

func (l *testLog) wantOutstanding(budget string, want float64) {
	l.Helper()
	if got, _ := l.Outstanding(budget); got != FromUnits(want) {
		l.Errorf("%v units of %s are counted, not %v", got.Units(), budget, want)
	}
}

func ackOf(holder, budget string, seq uint64, t Token, held float64) Ack {
	return Ack{1, HolderID{holder, 1}, budget, seq, t, FromUnits(held)}
}

func TestBookRefusesWhatBreaksTheSum(t *testing.T) {
	for _, tt := range []struct {
		name string
		want any // a pointer to the type of error
		do   func(l *testLog) Command
	}{
		{"over the whole", new(LimitExceededError), func(l *testLog) Command { l.mustApply(l.grantCommand("a", "r", 6)); return l.grantCommand("b", "r", 5) }},
		{"over the burst", new(LimitExceededError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "r", 6))
			c := l.grantCommand("b", "r", 4)
			c.Grant.Burst = FromUnits(5)
			return c
		}},
		{"lowered, not yet taken up", new(LimitExceededError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "r", 6))
			l.mustApply(l.grantCommand("a", "r", 2))
			return l.grantCommand("b", "r", 5)
		}},
		{"lowered, raised, the raise acked only in part", new(LimitExceededError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "r", 6))
			low := l.mustApply(l.grantCommand("a", "r", 2))
			l.mustApply(l.grantCommand("a", "r", 5))
			ack := ackOf("a", "r", 1, low, 0)
			l.mustApply(Command{Ack: &ack})
			return l.grantCommand("b", "r", 6)
		}},
		{"another incarnation", new(LimitExceededError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "r", 6))
			c := l.grantCommand("a", "r", 6)
			c.Grant.Incarnation = 2
			return c
		}},
		{"work in hand above the acked grant", new(LimitExceededError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "h", 6))
			low := l.mustApply(l.grantCommand("a", "h", 2))
			ack := ackOf("a", "h", 1, low, 5)
			l.mustApply(Command{Ack: &ack})
			return l.grantCommand("b", "h", 6)
		}},
		{"work in hand after giving back", new(LimitExceededError), func(l *testLog) Command {
			back := Release{ackOf("a", "h", 1, l.mustApply(l.grantCommand("a", "h", 6)), 3), false}
			l.mustApply(Command{Release: &back})
			return l.grantCommand("b", "h", 8)
		}},
		{"an ack older than another", new(StaleTokenError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "h", 6))
			low := l.mustApply(l.grantCommand("a", "h", 2))
			ack, old := ackOf("a", "h", 5, low, 5), ackOf("a", "h", 4, low, 0)
			l.mustApply(Command{Ack: &ack})
			return Command{Ack: &old}
		}},
		{"an ask that was answered", new(StaleTokenError), func(l *testLog) Command {
			c := l.grantCommand("a", "r", 6)
			l.mustApply(c)
			return c
		}},
		{"another fleet", new(FleetMismatchError), func(l *testLog) Command { c := l.grantCommand("a", "r", 1); c.Grant.FleetID = "g"; return c }},
		{"an older epoch", new(StaleEpochError), func(l *testLog) Command {
			l.mustApply(Command{Bootstrap: &Bootstrap{"f", 2, .01, 10 * time.Second}})
			return l.grantCommand("a", "r", 1)
		}},
		{"the time before a founding", new(BootstrapPendingError), func(l *testLog) Command {
			l.mustApply(Command{Bootstrap: &Bootstrap{"f", 2, .01, 10 * time.Second}})
			c := l.grantCommand("a", "r", 1)
			c.Grant.Epoch = 2
			return c
		}},
		{"founded again with less time", new(InvalidCommandError), func(l *testLog) Command {
			return Command{Bootstrap: &Bootstrap{"f", 2, .01, time.Second}}
		}},
		{"no such budget", new(UnknownQuotaError), func(l *testLog) Command { c := l.grantCommand("a", "r", 1); c.Grant.Quota = "x"; return c }},
		{"a longer lease", new(InvalidCommandError), func(l *testLog) Command { c := l.grantCommand("a", "r", 1); c.Grant.Duration *= 2; return c }},
		{"a proxy knows newer budgets", new(StaleConfigError), func(l *testLog) Command {
			l.mustApply(Command{ObserveConfig: &ObserveConfig{HolderID{"a", 1}, 7, 0}})
			return l.grantCommand("a", "r", 1)
		}},
		{"older budgets", new(StaleConfigError), func(l *testLog) Command {
			return Command{SetQuotas: &SetQuotas{Version: 1, Config: testConfig(nil)}}
		}},
		{"a floor that has no room yet", new(LimitExceededError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "r", 8))
			return Command{SetQuotas: &SetQuotas{Version: 2, Config: testConfig(func(f *FleetConfig) { f.Quotas[0].Floors = map[string]float64{"b": 3} })}}
		}},
		{"another kind while grants are out", new(InvalidCommandError), func(l *testLog) Command {
			l.mustApply(l.grantCommand("a", "r", 8))
			return Command{SetQuotas: &SetQuotas{Version: 2, Config: testConfig(func(f *FleetConfig) { f.Quotas[0].Name, f.Quotas[1].Name = "h", "r" })}}
		}},
	} {
		l := newTestLog(t, nil)
		c := tt.do(l)
		before, _ := l.Outstanding("r")
		_, err := l.apply(c)
		if err == nil || !errors.As(err, tt.want) {
			t.Errorf("%s: %v, not a %T", tt.name, err, tt.want)
			continue
		}
		if operatorerror.Of(err) == "" {
			t.Errorf("%s: %v has no advice", tt.name, err)
		}
		if after, _ := l.Outstanding("r"); after != before {
			t.Errorf("%s: refused, and counted %v, not %v", tt.name, after, before)
		}
	}
	if _, err := NewStateMachine().Apply(1, Command{Batch: nil, ObserveConfig: &ObserveConfig{}}); !errors.As(err, new(NotBootstrappedError)) {
		t.Errorf("an empty book: %v", err)
	}
}

func TestBookCountsUntilAckedOrOver(t *testing.T) {
	l := newTestLog(t, nil)
	first := l.mustApply(l.grantCommand("a", "r", 6))
	second := l.mustApply(l.grantCommand("a", "r", 2))
	l.wantOutstanding("r", 6)
	ack := ackOf("a", "r", 1, second, 0)
	l.mustApply(Command{Ack: &ack})
	l.wantOutstanding("r", 2)
	l.mustApply(Command{Expire: &Expire{HolderID{"a", 1}, "r", first}}) // told twice
	l.wantOutstanding("r", 2)
	l.mustApply(Command{Expire: &Expire{HolderID{"a", 1}, "r", second}})
	l.wantOutstanding("r", 0)

	over := l.mustApply(l.grantCommand("a", "h", 6))
	back := Release{ackOf("a", "h", 1, over, 3), false}
	rest := l.mustApply(Command{Release: &back})
	l.wantOutstanding("h", 3)
	done := ackOf("a", "h", 2, over, 1)
	l.mustApply(Command{Ack: &done})
	l.wantOutstanding("h", 1)
	l.mustApply(Command{Expire: &Expire{HolderID{"a", 1}, "h", rest}}) // of the greater rest, which is replaced
	l.wantOutstanding("h", 1)
	l.mustApply(Command{Expire: &Expire{HolderID{"a", 1}, "h", l.PendingExpiries()[0].Token}})
	l.wantOutstanding("h", 0)
}

// A lower whole takes no renewal above itself, and lets the renewals that fit go on beside what is still out.
func TestLowerWholeHoldsOnceOlderGrantsEnded(t *testing.T) {
	l := newTestLog(t, nil)
	a := l.mustApply(l.grantCommand("a", "r", 5))
	b := l.mustApply(l.grantCommand("b", "r", 5))
	l.mustApply(Command{SetQuotas: &SetQuotas{Version: 2, Config: testConfig(func(f *FleetConfig) { f.Quotas[0].Limit = 6 })}})
	l.mustApply(l.grantCommand("a", "r", 3))
	l.mustApply(l.grantCommand("b", "r", 3))
	if _, err := l.apply(l.grantCommand("b", "r", 4)); !errors.As(err, new(LimitExceededError)) {
		t.Errorf("more than the lower whole was granted anew: %v", err)
	}
	l.wantOutstanding("r", 10)
	l.mustApply(Command{Expire: &Expire{HolderID{"a", 1}, "r", a}})
	l.mustApply(Command{Expire: &Expire{HolderID{"b", 1}, "r", b}})
	l.wantOutstanding("r", 6)
}

func TestFloorsCountUntilTheirHolderGoesByLess(t *testing.T) {
	l := newTestLog(t, func(f *FleetConfig) { f.Quotas[0].Floors = map[string]float64{"a": 4, "b": 2} })
	l.wantOutstanding("r", 6)
	set := func(version uint64, a float64, gone ...string) {
		l.mustApply(Command{SetQuotas: &SetQuotas{version, testConfig(func(f *FleetConfig) { f.Quotas[0].Floors = map[string]float64{"a": a} }), gone}})
	}
	set(2, 1)
	l.wantOutstanding("r", 6)
	l.mustApply(Command{ObserveConfig: &ObserveConfig{HolderID{"a", 1}, 1, 1}})
	l.wantOutstanding("r", 6)
	l.mustApply(Command{ObserveConfig: &ObserveConfig{HolderID{"a", 1}, 2, 2}})
	l.wantOutstanding("r", 3)
	set(3, 1, "b")
	l.wantOutstanding("r", 1)
	if got := l.ReplyTo(HolderID{"a", 1}).Floors["r"].Amount; got != FromUnits(1) {
		t.Errorf("a is told a floor of %v", got.Units())
	}
}

// A store put back from an older copy would give tokens again that holders know: it learns of them and goes above.
func TestTokensGoAboveWhatHoldersKnow(t *testing.T) {
	l := newTestLog(t, nil)
	ack := ackOf("a", "r", 1, Token{1, 500}, 0)
	l.mustApply(Command{Ack: &ack})
	if got := l.mustApply(l.grantCommand("a", "r", 1)); got.Compare(Token{1, 500}) <= 0 {
		t.Errorf("%v was granted after 1.500", got)
	}
}

// Whatever comes, in whatever order: the sum never is above the whole, tokens grow, and a book that was restored goes on as
// the one it was taken from.
func TestBookUnderDrawnCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTestLog(t, func(f *FleetConfig) { f.Quotas[1].Floors = map[string]float64{"a": 2} })
		twin := NewStateMachine()
		data, _ := l.Snapshot()
		if err := twin.Restore(data); err != nil {
			rt.Fatal(err)
		}
		last := Token{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			holder, budget := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "holder"), rapid.SampledFrom([]string{"r", "h"}).Draw(rt, "budget")
			token := Token{1, uint64(rapid.IntRange(1, int(l.AppliedIndex()+1)).Draw(rt, "token"))}
			ack := ackOf(holder, budget, uint64(rapid.IntRange(1, 50).Draw(rt, "seq")), token, float64(rapid.IntRange(0, 5).Draw(rt, "held")))
			c := Command{Ack: &ack}
			switch rapid.IntRange(0, 4).Draw(rt, "command") {
			case 0, 1:
				c = l.grantCommand(holder, budget, float64(rapid.IntRange(0, 9).Draw(rt, "units")))
			case 2:
				c = Command{Expire: &Expire{ack.HolderID, budget, token}}
			case 3:
				c = Command{Release: &Release{ack, rapid.Bool().Draw(rt, "all")}}
			}
			got, err := l.apply(c)
			if got.Token.Compare(last) <= 0 {
				rt.Fatalf("token %v after %v", got.Token, last)
			}
			last = got.Token
			if _, again := twin.Apply(l.AppliedIndex(), c); fmt.Sprint(again) != fmt.Sprint(err) {
				rt.Fatalf("restored: %v, else %v", again, err)
			}
			for _, b := range l.config.Quotas {
				if amount, burst := l.Outstanding(b.Name); amount > FromUnits(b.Limit) || burst > FromUnits(b.Burst) {
					rt.Fatalf("%s: %v counted, burst %v", b.Name, amount.Units(), burst.Units())
				}
			}
		}
		one, _ := l.Snapshot()
		two, _ := twin.Snapshot()
		three, _ := l.Clone().Snapshot()
		if !bytes.Equal(one, two) || !bytes.Equal(one, three) {
			rt.Fatalf("books differ:\n%s\n%s\n%s", one, two, three)
		}
	})
}
