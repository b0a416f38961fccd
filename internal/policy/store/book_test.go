package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// charter has two teams on one host, and a third elsewhere; with the last argument beta has only a part.
func charter(beta string) string {
	return `version = 1
[[namespace]]
name = "alpha"
owner = "a"
hosts = ["x.org"]
settings = ["route", "service"]
[[namespace]]
name = "beta"
owner = "b"
hosts = ["` + beta + `"]
settings = ["route", "service"]
[[namespace]]
name = "gamma"
owner = "c"
hosts = ["g.org"]
settings = ["route", "service"]
`
}

// rules is a file with one route for a path.
func rules(name string, number int, host, path string) string {
	return fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n[[route]]\nname = \"r\"\nhost = %q\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n",
		name, number, name, host, path, name)
}

func word(text string) Command { return Command{Offer: &Offer{Text: text, By: "t"}} }

func apply(t *testing.T, b *Book, all ...Command) {
	t.Helper()
	for _, c := range all {
		if err := b.Apply(c); err != nil {
			t.Fatalf("%v: %s", err, operatorerror.Of(err))
		}
	}
}

func begun(t *testing.T, f flaw) *Book {
	b := New(0)
	b.flaws = f
	apply(t, b, Command{Charter: &Charter{Text: charter("x.org")}}, word(rules("alpha", 1, "x.org", "/a")), word(rules("beta", 1, "x.org", "/b")))
	through(t, b)
	return b
}

// through has all trains come through.
func through(t *testing.T, b *Book) {
	t.Helper()
	for range 20 {
		if b.Standing().Next.Epoch == 0 {
			return
		}
		judge(t, b, true)
	}
	t.Fatalf("trains without an end: %+v", b.Standing())
}

// judge ends the train that is on its way.
func judge(t *testing.T, b *Book, done bool) {
	t.Helper()
	s := b.Standing()
	j := Judge{Order: s.Next.Generation, Epoch: s.Next.Epoch, Done: done}
	if !done {
		j.Why, j.Help = fmt.Sprintf("worse in epoch %d", j.Epoch), "mend it"
	}
	apply(t, b, Command{Judge: &j})
}

func routes(t *testing.T, b *Book) string {
	t.Helper()
	return routesOf(t, b, b.Standing().Head)
}

func policyOf(t *testing.T, b *Book, o rollout.Version) *namespace.Policy {
	t.Helper()
	tree, ok := b.Tree(o)
	if !ok || tree.Root().String() != o.Hash {
		t.Fatalf("%+v is not kept as it is told", o)
	}
	p, err := namespace.FromTree(tree)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func routesOf(t *testing.T, b *Book, o rollout.Version) string {
	t.Helper()
	p := policyOf(t, b, o)
	var out []string
	for _, r := range p.Routes {
		out = append(out, r.Name+r.PathPrefix)
	}
	return strings.Join(out, " ")
}

// What must never happen, each with the guard that prevents it taken out.
func TestGuardsConvict(t *testing.T) {
	for name, k := range map[string]struct {
		flaw flaw
		run  func(t *testing.T, b *Book) error
	}{
		"a file that is late takes its namespace back": {noSeen, func(t *testing.T, b *Book) error {
			apply(t, b, word(rules("alpha", 3, "x.org", "/a3")))
			err := b.Apply(word(rules("alpha", 2, "x.org", "/a2")))
			if !strings.Contains(routes(t, b), "/a3") {
				return fmt.Errorf("%s: %v", routes(t, b), err)
			}
			return nil
		}},
		"one team's file stops another's": {allStop, func(t *testing.T, b *Book) error {
			_ = b.Apply(word(rules("beta", 2, "x.org", "/a")))
			_ = b.Apply(word(rules("gamma", 1, "g.org", "/")))
			if got := routes(t, b); !strings.Contains(got, "gamma/r") || !strings.Contains(got, "beta/r/b") {
				return errors.New(got)
			}
			return nil
		}},
		"going back is no word that goes before": {sameOrder, func(t *testing.T, b *Book) error {
			was := b.Standing().Base
			apply(t, b, Command{Back: &Back{Epoch: b.Standing().Kept[0]}})
			if now := b.Standing().Base; !now.NewerThan(was) {
				return fmt.Errorf("%+v does not go before %+v", now, was)
			}
			return nil
		}},
	} {
		if err := k.run(t, begun(t, 0)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := k.run(t, begun(t, k.flaw)); err == nil {
			t.Errorf("not convicted without its guard: %s", name)
		}
	}
}

// drawn is a run of commands, good and bad.
func drawn(rng *rand.Rand, n int) (all []Command) {
	all = append(all, Command{Charter: &Charter{Text: charter("x.org")}})
	for i := range n {
		name := []string{"alpha", "beta", "gamma", "delta"}[rng.IntN(4)]
		switch rng.IntN(9) {
		case 0:
			all = append(all, Command{Charter: &Charter{Text: charter([]string{"x.org", "y.org"}[rng.IntN(2)])}})
		case 1:
			all = append(all, Command{Back: &Back{Epoch: uint64(rng.IntN(n))}})
		case 2:
			all = append(all, Command{Judge: &Judge{Epoch: uint64(i), Done: rng.IntN(2) == 0, Why: "w", Proxies: i}})
		case 3:
			all = append(all, Command{Judge: &Judge{Epoch: uint64(i), Done: rng.IntN(4) != 0, Why: "w"}})
		case 4:
			all = append(all, word("not = a file"))
		default:
			all = append(all, word(rules(name, 1+rng.IntN(i+1), []string{"x.org", "g.org"}[rng.IntN(2)], "/"+string(rune('a'+rng.IntN(3))))))
		}
	}
	return all
}

// The same commands give the same bytes, over a snapshot in between too; and no epoch falls unless the order rises.
func TestSameCommandsSameBytes(t *testing.T) {
	for seed := range uint64(40) {
		a, b := New(0), New(0)
		held := 0
		for i, c := range drawn(rand.New(rand.NewPCG(seed, 1)), 40) {
			before := a.Standing()
			if c.Judge != nil { // of what is on its way, mostly
				j := *c.Judge
				if j.Epoch%4 != 0 {
					j.Order, j.Epoch = before.Next.Generation, before.Next.Epoch
				}
				c.Judge = &j
			}
			errA, errB := a.Apply(c), b.Apply(c)
			if fmt.Sprint(errA) != fmt.Sprint(errB) {
				t.Fatalf("seed %d: %v and %v", seed, errA, errB)
			}
			x, _ := a.Snapshot()
			y, _ := b.Snapshot()
			if !bytes.Equal(x, y) {
				t.Fatalf("seed %d, command %d: they differ", seed, i)
			}
			if i%5 == 0 {
				b = New(0)
				if err := b.Restore(x); err != nil {
					t.Fatal(err)
				}
			}
			s := a.Standing()
			for _, h := range s.Held {
				if h.Help == "" || h.Why == "" {
					t.Fatalf("%+v", h)
				}
			}
			held += len(s.Held)
			newest := max(before.Next.Epoch, before.Base.Epoch, before.Head.Epoch)
			if after := max(s.Next.Epoch, s.Base.Epoch, s.Head.Epoch); after < newest && c.Back == nil {
				t.Fatalf("seed %d: epoch %d after %d without a word", seed, after, newest)
			}
			if s.Base != before.Base && before.Base.Epoch != 0 && !s.Base.NewerThan(before.Base) {
				t.Fatalf("seed %d: %+v after %+v", seed, s.Base, before.Base)
			}
			if len(s.Kept) > MostKept {
				t.Fatal(s.Kept)
			}
		}
		if held == 0 {
			t.Errorf("seed %d: nothing was ever held", seed)
		}
	}
}

// A charter that takes a domain back cuts what is outside it, tells why, and holds nobody else; given back, the rule is there again.
func TestACharterTakesADomainBack(t *testing.T) {
	b := begun(t, 0)
	apply(t, b, Command{Charter: &Charter{Text: charter("y.org")}})
	if s := b.Standing(); routes(t, b) != "alpha/r/a" || len(s.Held) != 1 || s.Held[0].Namespace != "beta" || len(s.Held[0].Cut) != 1 {
		t.Errorf("%s, %+v", routes(t, b), s.Held)
	}
	apply(t, b, Command{Charter: &Charter{Text: charter("x.org")}})
	if s := b.Standing(); routes(t, b) != "alpha/r/a beta/r/b" || len(s.Held) != 0 {
		t.Errorf("%s, %+v", routes(t, b), s.Held)
	}
}

// Back puts files back, drops what waits, and the file that was gone back from does not come again by itself.
func TestBack(t *testing.T) {
	b := begun(t, 0)
	good := b.Standing().Base
	apply(t, b, word(rules("alpha", 2, "x.org", "/bad")))
	next := b.Standing().Next
	judge(t, b, false)
	if s := b.Standing(); s.Stopped == nil || s.Base != good {
		t.Fatalf("%+v", s)
	}
	apply(t, b, Command{Back: &Back{Epoch: good.Epoch, By: "on call"}}, Command{Back: &Back{Epoch: good.Epoch, By: "on call"}})
	if s := b.Standing(); s.Base.Epoch != good.Epoch || s.Base.Generation != 1 || s.Stopped != nil || s.Next.Epoch != 0 {
		t.Errorf("%+v", s)
	}
	if err := b.Apply(word(rules("alpha", 2, "x.org", "/bad"))); !errors.As(err, &namespace.VersionTaken{}) {
		t.Error(err)
	}
	apply(t, b, word(rules("gamma", 1, "g.org", "/g")))
	if s := b.Standing(); routes(t, b) != "alpha/r/a beta/r/b gamma/r/g" || s.Next.Epoch <= next.Epoch {
		t.Errorf("%s, %+v", routes(t, b), s)
	}
}

func TestRefusedChangesNothing(t *testing.T) {
	for _, k := range []struct {
		c    Command
		want any
	}{
		{Command{}, new(BadCommand)},
		{Command{Back: &Back{}, Judge: &Judge{}}, new(BadCommand)},
		{word(strings.Repeat("#", MostText+1)), new(TooMuch)},
		{Command{Charter: &Charter{Text: "x", By: strings.Repeat("a", 200)}}, new(TooMuch)},
		{Command{Charter: &Charter{Text: "version = 9"}}, new(namespace.FileError)},
		{word("version = 1"), new(namespace.FileError)},
		{word(rules("delta", 1, "x.org", "/")), new(namespace.UnknownNamespace)},
		{Command{Back: &Back{Epoch: 99}}, new(EpochGone)},
	} {
		b := begun(t, 0)
		before, _ := b.Snapshot()
		err := b.Apply(k.c)
		after, _ := b.Snapshot()
		if !errors.As(err, k.want) || operatorerror.Of(err) == "" || !bytes.Equal(before, after) {
			t.Errorf("%+v: %v", k.c, err)
		}
	}
	if err := New(0).Apply(word("x")); !errors.As(err, new(NoCharter)) {
		t.Error(err)
	}
	b := begun(t, 0)
	x, _ := b.Snapshot()
	if err := New(0).Restore(x); err != nil {
		t.Fatal(err)
	}
	// Whichever text or piece is damaged, it is found.
	for at := 0; ; at++ {
		next := bytes.Index(x[at:], []byte("s-beta"))
		if next < 0 {
			break
		}
		at += next
		y := bytes.Clone(x)
		y[at+3] ^= 1
		c := begun(t, 0)
		err := c.Restore(y)
		z, _ := c.Snapshot()
		if !errors.As(err, new(BadCommand)) || !bytes.Equal(x, z) {
			t.Errorf("a snapshot damaged at %d of %d: %v", at, len(x), err)
		}
	}
}
