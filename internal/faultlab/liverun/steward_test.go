package liverun

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/testbinary"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/strictconfig"
)

// asker is a proxy's side without a proxy, by the ways of one.
type asker struct {
	*quotalease.Holder
	begun  time.Time
	r      *Run
	client *http.Client
}

func (a *asker) now() time.Duration { return time.Since(a.begun) }

// ask asks all stewards, and tells how many answered with grants.
func (a *asker) ask(ctx context.Context) (answers int) {
	for _, s := range a.r.stewards {
		call, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		a.SetDemand("attempts", 100)
		sent := a.now()
		var reply quotalease.Reply
		err := api.Call(call, a.client, a.r.paths.stewards[[2]string{"proxy-0", s.name()}].Addr(), api.PathLease, a.NextRequest(sent), &reply)
		cancel()
		if err == nil && a.HandleReply(sent, a.now(), reply) == nil && a.Status(a.now(), "attempts").Amount > 0 {
			answers++
		}
	}
	return answers
}

// The stewards are processes that die, stand still, lose their stores and are cut off; the ways to them are the fabric's. The
// proxies here know nothing of the budget, and the nodes' counts convict them.
func TestStewardsAreProcessesThatCanBeBroken(t *testing.T) {
	s := small()
	s.Duration = 2 * time.Minute
	o := &FleetOptions{Longest: time.Second, Tokens: true, Deaf: true, Budgets: []api.Quota{
		{Name: "attempts", Filter: api.AttemptFilter{Attempts: "attempts"}, Limit: 10, Burst: 5, LeaseDuration: strictconfig.Duration(time.Second)}}}
	res, err := Play(t.Context(), &s, Options{Binary: testbinary.Proxy(t), Fabric: true, Fleet: o, Script: func(f *Fleet) error {
		a := &asker{begun: time.Now(), r: f.r, client: &http.Client{Transport: &http.Transport{}},
			Holder: quotalease.NewHolder(quotalease.HolderSettings{FleetID: fleetName, HolderID: quotalease.HolderID{Holder: "n0", Incarnation: 1}, MaxDrift: .001})}
		defer a.client.CloseIdleConnections()
		granted := func(what string) error {
			return f.Await(what, func() bool { return a.ask(f.ctx) > 0 })
		}
		nothing := func(what string, do func() error) error {
			return errors.Join(f.Await(what, func() bool {
				return a.ask(f.ctx) == 0 && a.Status(a.now(), "attempts").Amount == 0
			}), do())
		}
		for _, step := range []func() error{
			func() error { return granted("a grant") },
			func() error { return f.WaitGranted("attempts", 9.99, 10) },
			func() error { // another one leads
				no, err := f.Leader()
				f.KillSteward(no)
				return errors.Join(err, granted("a grant of the two that are left"), f.StartSteward(no))
			},
			func() error { // the stores of a majority
				f.KillSteward(0, 1)
				return errors.Join(f.LoseStore(0), f.LoseStore(1), f.StartSteward(0, 1))
			},
			func() error {
				return nothing("no grant of a majority that lost its stores", func() error { return f.FoundAnew(2) })
			},
			func() error { return granted("a grant after a founding") },
			func() error {
				f.StopSteward(0, 1)
				return nothing("no grant of one that is left", func() error { f.GoOnSteward(0, 1); return nil })
			},
			func() error { return granted("a grant after they woke") },
			func() error {
				end, err := f.Apart(1, 2)
				return errors.Join(err, nothing("no grant of one alone", end))
			},
			func() error { return granted("a grant after they met") },
			func() error {
				end, err := f.CutStewards("proxy-0", "steward-*", linkfault.Back)
				return errors.Join(err, nothing("no grant by ways of one direction", end))
			},
			func() error { return errors.Join(granted("a grant as all is whole"), f.SetWhole("attempts", 5, 5)) },
			func() error {
				return f.Await("the lower whole", func() bool { a.ask(f.ctx); return a.Status(a.now(), "attempts").Amount <= quotalease.FromUnits(5) })
			},
		} {
			if err := step(); err != nil {
				return err
			}
		}
		return nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	v := res.Spending
	if len(res.Problems) > 0 {
		t.Errorf("problems: %q", res.Problems)
	}
	if v.OverWhole == 0 || v.NoToken == 0 || v.Budgets[0].Took != v.NoToken || v.Budgets[0].Wanted == 0 {
		t.Errorf("those who know nothing of the budget are acquitted: %+v", v)
	}
	if left := children(t, testbinary.Proxy(t)+" steward"); left != "" {
		t.Errorf("left: %s", left)
	}
}

func TestTokensAreRead(t *testing.T) {
	for text, want := range map[string]string{"n1;3.17": "n1 3.17", "n1;3.0": "n1 0.0", "a;b;1.2": "", "n1": "", ";1.2": "", "n1;x.2": "", "": ""} {
		holder, token, err := parseToken(text)
		if got := holder + " " + token.String(); (err == nil) != (want != "") || err == nil && got != want {
			t.Errorf("%q: %s, %v", text, got, err)
		}
	}
}

// A node that knows tokens turns away an older one and does not count it; other budgets, other holders and floors pass.
func TestNodesTurnOlderTokensAway(t *testing.T) {
	s := small()
	r := newRun(&s, Options{Fleet: &FleetOptions{Tokens: true, Transit: Transit, Budgets: []api.Quota{
		{Name: "attempts", Filter: api.AttemptFilter{Attempts: "attempts"}, Limit: 10, Burst: 5}, {Name: "retries", Filter: api.AttemptFilter{Attempts: "retries"}, Limit: 10, Burst: 5}}}})
	n := newNode(r, 0)
	r.nodes = append(r.nodes, n)
	r.newSpending()
	for _, c := range []struct {
		token   string
		attempt int
		want    bool
	}{
		{"n0;1.5", 0, true}, {"n0;1.7", 0, true}, {"n0;1.7", 0, true}, {"n0;1.6", 0, false}, {"n0;1.9", 1, true}, {"n0;1.8", 0, true},
		{"n1;1.2", 0, true}, {"n0;1.0", 0, true}, {"n0;2.1", 0, true}, {"n0;1.99", 0, false}, {"", 0, true},
	} {
		if got := n.admits(incoming{token: c.token}, model.Arrival{Tenant: -1}, c.attempt); got != c.want {
			t.Errorf("%q, attempt %d: %v", c.token, c.attempt, got)
		}
	}
	if v := r.spending.Verdict(); v.OldTokens != 2 || v.NoToken != 1 || v.Budgets[0].Took != 9 || v.Budgets[0].Floor != 1 || v.Budgets[1].Took != 1 {
		t.Errorf("%+v", v)
	}
}
