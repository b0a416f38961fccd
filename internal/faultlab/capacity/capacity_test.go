package capacity

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/faultlab/testbinary"
)

const childEnv = "CAPACITY_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		if err := Child(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	testbinary.Main(m)
}

func small(t *testing.T) Settings {
	s := Small()
	s.Binary = testbinary.Proxy(t)
	s.Child = func() *exec.Cmd {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), childEnv+"=1")
		return c
	}
	s.Say = t.Logf
	return s
}

// Each flaw is found by the summary, and a sound fleet is found sound.
func TestTheMeasuringFindsWhatIsWrong(t *testing.T) {
	for _, trial := range Trials() {
		t.Run("flaw="+trial.Flaw, func(t *testing.T) {
			t.Parallel()
			r, err := trial.Try(t.Context(), small(t))
			if r != nil {
				var b strings.Builder
				r.Text(&b)
				t.Log(b.String())
			}
			if err != nil {
				t.Fatal(err)
			}
			if r.BytesRest <= 0 || r.BytesProxy <= 0 || r.StewardMB <= 0 || r.Memory == 0 || r.Requests == 0 {
				t.Errorf("figures are missing: %+v", *r)
			}
			if trial.Flaw != FlawWrong && trial.Flaw != FlawLies && r.RulesBroken > 0 {
				t.Errorf("rules broken: %+v", r.Broken)
			}
		})
	}
}

func TestFaultsEndAndAllCatchUp(t *testing.T) {
	t.Parallel()
	s := small(t)
	s.Faults, s.Duration = true, 15*time.Second
	r, err := Play(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	r.Text(&b)
	t.Log(b.String())
	if len(r.Faults) == 0 {
		t.Error("no fault was played")
	}
	if r.Wrong > 0 || r.RulesBroken > 0 || r.LeftBehind > 0 {
		t.Errorf("it does not hold: %+v", *r)
	}
}

func TestWhatDoesNotFitIsToldBefore(t *testing.T) {
	s := Small()
	s.Proxies, s.Each = 2000, 5
	_, err := Play(context.Background(), s)
	if tooLarge, ok := err.(TooLarge); !ok || tooLarge.Need.Processes != s.processes() || tooLarge.Advice() == "" {
		t.Errorf("%v", err)
	}
	s.Services = 1
	if _, err := Play(context.Background(), s); err == nil || !strings.Contains(err.Error(), "services") {
		t.Errorf("%v", err)
	}
}

// A site's files follow from the number of changes, whichever way it is told.
func TestASiteIsTheSameByChangesAndByNumbers(t *testing.T) {
	s := Small()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	site := newSite(&s)
	r := &run{site: site}
	for _, changes := range []int{0, 1, 7, 60, 131} {
		numbers := make([]int, site.teams)
		for team := range numbers {
			numbers[team] = site.number(team, changes)
		}
		p, _, err := site.policyOf(numbers)
		if err != nil {
			t.Fatal(err)
		}
		taken, err := takenOf(p)
		if err != nil {
			t.Fatal(err)
		}
		d, err := decideBy(nil, taken, nil)
		if err != nil {
			t.Fatal(err)
		}
		for route := range site.routes {
			q := site.request(route)
			want := site.want(route, changes)
			if got := d.service(&q); got != want || r.want(route, content{numbers: numbers}) != want {
				t.Fatalf("%d changes, route %d: %q, want %q", changes, route, got, want)
			}
		}
	}
}

// A change that a later one of its route overtook is in force where that one is; who is away is not waited for.
func TestWhenAChangeIsInForce(t *testing.T) {
	at := func(seen ...any) map[string]time.Duration {
		out := map[string]time.Duration{}
		for i := 0; i < len(seen); i += 2 {
			out[seen[i].(string)] = time.Duration(seen[i+1].(int))
		}
		return out
	}
	all := []string{"a", "b"}
	r := &run{away: map[string][]span{}, changes: []*change{
		{no: 1, route: 5, at: 10, seen: at("a", 12)}, {no: 2, route: 6, at: 20, seen: at("a", 21)}, {no: 3, route: 5, at: 30, seen: at("a", 33, "b", 35)}}}
	check := func(what string, want ...time.Duration) {
		t.Helper()
		for i, w := range want {
			if got := r.inForce(r.changes[i], all); got != w {
				t.Errorf("%s: change %d: %v, want %v", what, i+1, got, w)
			}
		}
	}
	check("all there", 25, never, 5)
	r.away["b"] = []span{{5, 25}}
	check("one was away at the first two offers", 2, 1, 5)
	r.away["b"] = []span{{36, never}}
	check("one left once it had seen them", 25, 1, 5)
}
