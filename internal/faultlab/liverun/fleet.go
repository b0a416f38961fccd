package liverun

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/quotalease"
)

// FleetOptions is what the proxies of a run share, and who divides it.
type FleetOptions struct {
	Stewards int // 3 if 0
	Budgets  []api.Quota
	Longest  time.Duration // see fleet.File
	Tokens   bool          // the nodes know tokens, and turn older ones away
	Transit  time.Duration // see judge.Spending; Transit if 0
	Deaf     bool          // the proxies know nothing of it: for a rival
}

// Transit is how long an attempt may be on its way from a proxy's last look to a node, on sockets of one machine.
const Transit = 100 * time.Millisecond

// fleetToken is the header of an attempt's token: "holder;epoch.token", and 0 as a token for what goes by a floor.
const fleetToken = "X-Fleet-Token"

// mostTokens is how many pairs of holder and budgets a node's fence remembers.
const mostTokens = 4096

const fleetName = "laboratory"

func (o *FleetOptions) check(fabric bool) error {
	if o.Stewards == 0 {
		o.Stewards = 3
	}
	if o.Transit == 0 {
		o.Transit = Transit
	}
	if !fabric {
		return errors.New("the budgets of a fleet need the ways between its processes: see Options.Fabric")
	}
	return nil
}

// fleetText is the file of a fleet as somebody has it who reaches the stewards at these addresses.
func (r *Run) fleetText(state string, addresses []string) string {
	o := r.opts.Fleet
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\nfleet = %q\nlongest = %q\n", api.FileVersion, fleetName, o.Longest)
	if state != "" {
		fmt.Fprintf(&b, "state = %q\n", state)
	}
	for i, at := range addresses {
		fmt.Fprintf(&b, "[[stewards]]\nname = %q\nnumber = %d\naddress = %q\n", stewardName(i), i+1, at)
	}
	for _, one := range o.Budgets {
		fmt.Fprintf(&b, "[[budgets]]\nname = %q\nof = { counts = %q, service = %q, class = %q, tenant = %q }\nwhole = %f\nburst = %f\nlease = %q\n",
			one.Name, one.Filter.Attempts, one.Filter.Service, one.Filter.Class, one.Filter.Tenant, one.Limit, one.Burst, time.Duration(one.LeaseDuration))
		if len(one.Floors) > 0 {
			b.WriteString("[budgets.floors]\n")
			for _, holder := range slices.Sorted(maps.Keys(one.Floors)) {
				fmt.Fprintf(&b, "%q = %f\n", holder, one.Floors[holder])
			}
		}
	}
	return b.String()
}

// judged is the budgets as the judge knows them.
func (o *FleetOptions) judged() []checker.FleetBudget {
	var out []checker.FleetBudget
	for _, b := range o.Budgets {
		out = append(out, checker.FleetBudget{Name: b.Name, Wholes: []checker.Whole{{Units: b.Limit, Burst: b.Burst}}})
	}
	return out
}

// draws tells whether an attempt of a request draws on a budget; 0 is its first.
func (r *Run) draws(b *api.Quota, a *model.Arrival, attempt int) bool {
	tenant := ""
	if a.Tenant >= 0 {
		tenant = r.spec.Tenants[a.Tenant].Name
	}
	return (b.Filter.Attempts != "retries" || attempt > 0) && (b.Filter.Class == "" || b.Filter.Class == r.spec.Classes[a.Class].Name) &&
		(b.Filter.Tenant == "" || b.Filter.Tenant == tenant)
}

// wanted notes a request that its client sends for the first time. r.mu is held.
func (r *Run) wanted(now time.Duration, a *model.Arrival) {
	if r.spending == nil {
		return
	}
	for i := range r.opts.Fleet.Budgets {
		if r.draws(&r.opts.Fleet.Budgets[i], a, 0) {
			r.spending.Wanted(now, i, a.Origin)
		}
	}
}

// admits counts an attempt, unless its token is an older one and the node knows tokens. r.mu is held.
func (n *node) admits(q incoming, work model.Arrival, attempt int) bool {
	r := n.r
	if r.spending == nil {
		return true
	}
	var on []int
	var names []string
	for i := range r.opts.Fleet.Budgets {
		if b := &r.opts.Fleet.Budgets[i]; r.draws(b, &work, attempt) {
			on, names = append(on, i), append(names, b.Name)
		}
	}
	if len(on) == 0 {
		return true
	}
	holder, token, err := parseToken(q.token)
	switch {
	case err != nil:
		r.spending.NoToken()
	case n.fence != nil:
		// The header carries the newest token of all budgets that the attempt draws on: it grows for the same set of budgets only.
		if n.fence.Admit(holder, strings.Join(names, "+"), token) != nil {
			r.spending.OldToken()
			return false
		}
	}
	for _, i := range on {
		r.spending.Took(q.first, i, work.Origin, err == nil && token == quotalease.Token{})
	}
	return true
}

// parseToken reads an attempt's token. The zero token is a floor's.
func parseToken(text string) (holder string, t quotalease.Token, err error) {
	holder, token, ok := strings.Cut(text, ";")
	epoch, index, ok2 := strings.Cut(token, ".")
	if !ok || !ok2 || holder == "" {
		return "", t, fmt.Errorf("%q is no token", text)
	}
	var err1, err2 error
	t.Epoch, err1 = strconv.ParseUint(epoch, 10, 64)
	t.Index, err2 = strconv.ParseUint(index, 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		return "", quotalease.Token{}, err
	}
	if t.Index == 0 {
		t = quotalease.Token{}
	}
	return holder, t, nil
}

func judgedWhole(from time.Duration, units, burst float64) checker.Whole {
	return checker.Whole{From: from, Units: units, Burst: burst}
}

// newSpending has the nodes count.
func (r *Run) newSpending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spending = checker.NewSpending(r.opts.Fleet.Transit, r.opts.Fleet.judged())
	if r.opts.Fleet.Tokens {
		for _, n := range r.nodes {
			n.fence = quotalease.NewFence(mostTokens)
		}
	}
}

// Spent is how the budgets of the fleet were spent so far.
func (f *Fleet) Spent() checker.SpendingVerdict {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	return f.r.spending.Verdict()
}
