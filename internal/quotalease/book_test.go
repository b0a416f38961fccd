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

func testFleet(change func(*Fleet)) Fleet {
	f := Fleet{ID: "f", Drift: .01, Longest: 10 * time.Second, Budgets: []Budget{
		{Name: "r", Kind: Rate, Whole: 10, Burst: 10, Lease: time.Second},
		{Name: "h", Kind: InHand, Whole: 10, Lease: time.Second, Life: 2 * time.Second},
	}}
	if change != nil {
		change(&f)
	}
	return f
}

// log is a book with what a test needs to drive it.
type log struct {
	testing.TB
	*Book
	asks uint64
}

func newLog(t testing.TB, change func(*Fleet)) *log {
	l := &log{TB: t, Book: NewBook()}
	l.do(Command{Found: &Found{"f", 1, .01, 10 * time.Second}})
	l.do(Command{Expire: &Expire{Token: l.past}})
	l.do(Command{SetBudgets: &SetBudgets{Version: 1, Fleet: testFleet(change)}})
	return l
}

func (l *log) try(c Command) (Applied, error) { return l.Apply(l.Index()+1, c) }

func (l *log) do(c Command) Token {
	l.Helper()
	a, err := l.try(c)
	if err != nil {
		l.Fatal(err)
	}
	return a.Token
}

func (l *log) grantOf(holder, budget string, units float64) Command {
	l.asks++
	b := l.config.Budget(budget)
	g := &Grant{Fleet: "f", Epoch: 1, Key: Key{holder, 1}, Budget: budget, Kind: b.Kind, Amount: Of(units), Lease: b.Lease, Life: b.Life, Ask: l.asks}
	if b.Kind == Rate {
		g.Burst = Of(units)
	}
	return Command{Grant: g}
}

func (l *log) counts(budget string, want float64) {
	l.Helper()
	if got, _ := l.Counted(budget); got != Of(want) {
		l.Errorf("%v units of %s are counted, not %v", got.Units(), budget, want)
	}
}

func ackOf(holder, budget string, seq uint64, t Token, held float64) Ack {
	return Ack{1, Key{holder, 1}, budget, seq, t, Of(held)}
}

func TestBookRefusesWhatBreaksTheSum(t *testing.T) {
	for _, tt := range []struct {
		name string
		want any // a pointer to the type of error
		do   func(l *log) Command
	}{
		{"over the whole", new(OverWhole), func(l *log) Command { l.do(l.grantOf("a", "r", 6)); return l.grantOf("b", "r", 5) }},
		{"over the burst", new(OverWhole), func(l *log) Command {
			l.do(l.grantOf("a", "r", 6))
			c := l.grantOf("b", "r", 4)
			c.Grant.Burst = Of(5)
			return c
		}},
		{"lowered, not yet taken up", new(OverWhole), func(l *log) Command {
			l.do(l.grantOf("a", "r", 6))
			l.do(l.grantOf("a", "r", 2))
			return l.grantOf("b", "r", 5)
		}},
		{"lowered, raised, the raise acked only in part", new(OverWhole), func(l *log) Command {
			l.do(l.grantOf("a", "r", 6))
			low := l.do(l.grantOf("a", "r", 2))
			l.do(l.grantOf("a", "r", 5))
			ack := ackOf("a", "r", 1, low, 0)
			l.do(Command{Ack: &ack})
			return l.grantOf("b", "r", 6)
		}},
		{"another incarnation", new(OverWhole), func(l *log) Command {
			l.do(l.grantOf("a", "r", 6))
			c := l.grantOf("a", "r", 6)
			c.Grant.Incarnation = 2
			return c
		}},
		{"work in hand above the acked grant", new(OverWhole), func(l *log) Command {
			l.do(l.grantOf("a", "h", 6))
			low := l.do(l.grantOf("a", "h", 2))
			ack := ackOf("a", "h", 1, low, 5)
			l.do(Command{Ack: &ack})
			return l.grantOf("b", "h", 6)
		}},
		{"work in hand after giving back", new(OverWhole), func(l *log) Command {
			back := GiveBack{ackOf("a", "h", 1, l.do(l.grantOf("a", "h", 6)), 3), false}
			l.do(Command{GiveBack: &back})
			return l.grantOf("b", "h", 8)
		}},
		{"an ack older than another", new(OldToken), func(l *log) Command {
			l.do(l.grantOf("a", "h", 6))
			low := l.do(l.grantOf("a", "h", 2))
			ack, old := ackOf("a", "h", 5, low, 5), ackOf("a", "h", 4, low, 0)
			l.do(Command{Ack: &ack})
			return Command{Ack: &old}
		}},
		{"an ask that was answered", new(OldToken), func(l *log) Command {
			c := l.grantOf("a", "r", 6)
			l.do(c)
			return c
		}},
		{"another fleet", new(OtherFleet), func(l *log) Command { c := l.grantOf("a", "r", 1); c.Grant.Fleet = "g"; return c }},
		{"an older epoch", new(OldEpoch), func(l *log) Command {
			l.do(Command{Found: &Found{"f", 2, .01, 10 * time.Second}})
			return l.grantOf("a", "r", 1)
		}},
		{"the time before a founding", new(StillSilent), func(l *log) Command {
			l.do(Command{Found: &Found{"f", 2, .01, 10 * time.Second}})
			c := l.grantOf("a", "r", 1)
			c.Grant.Epoch = 2
			return c
		}},
		{"founded again with less time", new(BadCommand), func(l *log) Command {
			return Command{Found: &Found{"f", 2, .01, time.Second}}
		}},
		{"no such budget", new(NoBudget), func(l *log) Command { c := l.grantOf("a", "r", 1); c.Grant.Budget = "x"; return c }},
		{"a longer lease", new(BadCommand), func(l *log) Command { c := l.grantOf("a", "r", 1); c.Grant.Lease *= 2; return c }},
		{"a proxy knows newer budgets", new(OldBudgets), func(l *log) Command {
			l.do(Command{Know: &Know{Key{"a", 1}, 7, 0}})
			return l.grantOf("a", "r", 1)
		}},
		{"older budgets", new(OldBudgets), func(l *log) Command {
			return Command{SetBudgets: &SetBudgets{Version: 1, Fleet: testFleet(nil)}}
		}},
		{"a floor that has no room yet", new(OverWhole), func(l *log) Command {
			l.do(l.grantOf("a", "r", 8))
			return Command{SetBudgets: &SetBudgets{Version: 2, Fleet: testFleet(func(f *Fleet) { f.Budgets[0].Floors = map[string]float64{"b": 3} })}}
		}},
		{"another kind while grants are out", new(BadCommand), func(l *log) Command {
			l.do(l.grantOf("a", "r", 8))
			return Command{SetBudgets: &SetBudgets{Version: 2, Fleet: testFleet(func(f *Fleet) { f.Budgets[0].Name, f.Budgets[1].Name = "h", "r" })}}
		}},
	} {
		l := newLog(t, nil)
		c := tt.do(l)
		before, _ := l.Counted("r")
		_, err := l.try(c)
		if err == nil || !errors.As(err, tt.want) {
			t.Errorf("%s: %v, not a %T", tt.name, err, tt.want)
			continue
		}
		if operatorerror.Of(err) == "" {
			t.Errorf("%s: %v has no advice", tt.name, err)
		}
		if after, _ := l.Counted("r"); after != before {
			t.Errorf("%s: refused, and counted %v, not %v", tt.name, after, before)
		}
	}
	if _, err := NewBook().Apply(1, Command{Batch: nil, Know: &Know{}}); !errors.As(err, new(NotFounded)) {
		t.Errorf("an empty book: %v", err)
	}
}

func TestBookCountsUntilAckedOrOver(t *testing.T) {
	l := newLog(t, nil)
	first := l.do(l.grantOf("a", "r", 6))
	second := l.do(l.grantOf("a", "r", 2))
	l.counts("r", 6)
	ack := ackOf("a", "r", 1, second, 0)
	l.do(Command{Ack: &ack})
	l.counts("r", 2)
	l.do(Command{Expire: &Expire{Key{"a", 1}, "r", first}}) // told twice
	l.counts("r", 2)
	l.do(Command{Expire: &Expire{Key{"a", 1}, "r", second}})
	l.counts("r", 0)

	over := l.do(l.grantOf("a", "h", 6))
	back := GiveBack{ackOf("a", "h", 1, over, 3), false}
	rest := l.do(Command{GiveBack: &back})
	l.counts("h", 3)
	done := ackOf("a", "h", 2, over, 1)
	l.do(Command{Ack: &done})
	l.counts("h", 1)
	l.do(Command{Expire: &Expire{Key{"a", 1}, "h", rest}}) // of the greater rest, which is replaced
	l.counts("h", 1)
	l.do(Command{Expire: &Expire{Key{"a", 1}, "h", l.Items()[0].Token}})
	l.counts("h", 0)
}

// A lower whole takes no renewal above itself, and lets the renewals that fit go on beside what is still out.
func TestLowerWholeHoldsOnceOlderGrantsEnded(t *testing.T) {
	l := newLog(t, nil)
	a := l.do(l.grantOf("a", "r", 5))
	b := l.do(l.grantOf("b", "r", 5))
	l.do(Command{SetBudgets: &SetBudgets{Version: 2, Fleet: testFleet(func(f *Fleet) { f.Budgets[0].Whole = 6 })}})
	l.do(l.grantOf("a", "r", 3))
	l.do(l.grantOf("b", "r", 3))
	if _, err := l.try(l.grantOf("b", "r", 4)); !errors.As(err, new(OverWhole)) {
		t.Errorf("more than the lower whole was granted anew: %v", err)
	}
	l.counts("r", 10)
	l.do(Command{Expire: &Expire{Key{"a", 1}, "r", a}})
	l.do(Command{Expire: &Expire{Key{"b", 1}, "r", b}})
	l.counts("r", 6)
}

func TestFloorsCountUntilTheirHolderGoesByLess(t *testing.T) {
	l := newLog(t, func(f *Fleet) { f.Budgets[0].Floors = map[string]float64{"a": 4, "b": 2} })
	l.counts("r", 6)
	set := func(version uint64, a float64, gone ...string) {
		l.do(Command{SetBudgets: &SetBudgets{version, testFleet(func(f *Fleet) { f.Budgets[0].Floors = map[string]float64{"a": a} }), gone}})
	}
	set(2, 1)
	l.counts("r", 6)
	l.do(Command{Know: &Know{Key{"a", 1}, 1, 1}})
	l.counts("r", 6)
	l.do(Command{Know: &Know{Key{"a", 1}, 2, 2}})
	l.counts("r", 3)
	set(3, 1, "b")
	l.counts("r", 1)
	if got := l.Tell(Key{"a", 1}).Floors["r"].Amount; got != Of(1) {
		t.Errorf("a is told a floor of %v", got.Units())
	}
}

// A store put back from an older copy would give tokens again that holders know: it learns of them and goes above.
func TestTokensGoAboveWhatHoldersKnow(t *testing.T) {
	l := newLog(t, nil)
	ack := ackOf("a", "r", 1, Token{1, 500}, 0)
	l.do(Command{Ack: &ack})
	if got := l.do(l.grantOf("a", "r", 1)); got.Compare(Token{1, 500}) <= 0 {
		t.Errorf("%v was granted after 1.500", got)
	}
}

// Whatever comes, in whatever order: the sum never is above the whole, tokens grow, and a book that was restored goes on as
// the one it was taken from.
func TestBookUnderDrawnCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLog(t, func(f *Fleet) { f.Budgets[1].Floors = map[string]float64{"a": 2} })
		twin := NewBook()
		data, _ := l.Snapshot()
		if err := twin.Restore(data); err != nil {
			rt.Fatal(err)
		}
		last := Token{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			holder, budget := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "holder"), rapid.SampledFrom([]string{"r", "h"}).Draw(rt, "budget")
			token := Token{1, uint64(rapid.IntRange(1, int(l.Index()+1)).Draw(rt, "token"))}
			ack := ackOf(holder, budget, uint64(rapid.IntRange(1, 50).Draw(rt, "seq")), token, float64(rapid.IntRange(0, 5).Draw(rt, "held")))
			c := Command{Ack: &ack}
			switch rapid.IntRange(0, 4).Draw(rt, "command") {
			case 0, 1:
				c = l.grantOf(holder, budget, float64(rapid.IntRange(0, 9).Draw(rt, "units")))
			case 2:
				c = Command{Expire: &Expire{ack.Key, budget, token}}
			case 3:
				c = Command{GiveBack: &GiveBack{ack, rapid.Bool().Draw(rt, "all")}}
			}
			got, err := l.try(c)
			if got.Token.Compare(last) <= 0 {
				rt.Fatalf("token %v after %v", got.Token, last)
			}
			last = got.Token
			if _, again := twin.Apply(l.Index(), c); fmt.Sprint(again) != fmt.Sprint(err) {
				rt.Fatalf("restored: %v, else %v", again, err)
			}
			for _, b := range l.config.Budgets {
				if amount, burst := l.Counted(b.Name); amount > Of(b.Whole) || burst > Of(b.Burst) {
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
