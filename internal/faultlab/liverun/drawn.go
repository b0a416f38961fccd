package liverun

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/model"
)

// drawnFaults are what Drawn has befall a fleet and its stewards. Each ends what it began, whatever else fails.
var drawnFaults = []struct {
	name string
	do   func(d *drawn) error
}{
	{"proxies-cut-off", func(d *drawn) error { return d.cut(linkfault.Both, d.some()) }},
	{"proxies-unheard", func(d *drawn) error { return d.cut(linkfault.There, d.some()) }},
	{"proxies-untold", func(d *drawn) error { return d.cut(linkfault.Back, d.some()) }},
	{"all-cut-off", func(d *drawn) error { return d.cut(linkfault.Both, "proxy-*") }},
	{"slow-replies", func(d *drawn) error {
		return d.during(linkfault.Rule{From: d.some(), To: "steward-*", Way: linkfault.Back, Trouble: linkfault.Trouble{Delay: d.about(d.lease)}})
	}},
	{"stewards-apart", func(d *drawn) error { return d.cut(linkfault.Both, "steward-*") }},
	{"leader-killed", func(d *drawn) error {
		no, _, err := d.leading()
		if err != nil {
			return err
		}
		d.KillSteward(no)
		d.sleep(d.about(d.lease))
		return d.StartSteward(no)
	}},
	{"two-stewards-killed", func(d *drawn) error {
		two := d.rng.Perm(len(d.Stewards()))[:2]
		d.KillSteward(two...)
		d.sleep(d.about(d.lease))
		return d.StartSteward(two...)
	}},
	{"steward-stopped", func(d *drawn) error {
		no := d.rng.IntN(len(d.Stewards()))
		d.StopSteward(no)
		d.sleep(d.about(2 * d.lease))
		d.GoOnSteward(no)
		return nil
	}},
	{"old-store", func(d *drawn) error {
		no := d.rng.IntN(len(d.Stewards()))
		d.KillSteward(no)
		err := errors.Join(d.KeepStore(no), d.StartSteward(no))
		d.sleep(d.about(2 * d.lease))
		d.KillSteward(no)
		return errors.Join(err, d.OldStore(no), d.StartSteward(no))
	}},
	{"proxies-stopped", func(d *drawn) error {
		some := d.proxies(4)
		d.Stop(some...)
		d.sleep(d.about(d.lease))
		d.GoOn(some...)
		return nil
	}},
	{"most-killed", func(d *drawn) error {
		most := d.proxies(max(1, d.r.spec.Proxies*7/10))
		d.Kill(most...)
		d.Start(most...)
		return nil
	}},
	{"whole-halved", func(d *drawn) error {
		b := d.r.opts.Fleet.Budgets[0]
		err := d.SetWhole(b.Name, b.Limit/2, b.Burst)
		d.sleep(d.about(2 * d.lease))
		return errors.Join(err, d.SetWhole(b.Name, b.Limit, b.Burst))
	}},
}

// DrawnFaults are their names.
func DrawnFaults() []string {
	var names []string
	for _, f := range drawnFaults {
		names = append(names, f.name)
	}
	return names
}

type drawn struct {
	*Fleet
	rng   *rand.Rand
	lease time.Duration
}

// Drawn is a script that plays faults of a fleet's budgets, drawn from a seed, one after the other and about so long apart, until
// the load ends. It notes each as a fault of the run. The draw is the same for a seed; how long each takes is the machine's.
func Drawn(seed uint64, apart time.Duration) func(*Fleet) error {
	return func(f *Fleet) error {
		d := &drawn{Fleet: f, rng: rand.New(rand.NewPCG(seed, 2424)), lease: time.Duration(f.r.opts.Fleet.Budgets[0].LeaseDuration)}
		for d.sleep(d.about(apart)) {
			one := drawnFaults[d.rng.IntN(len(drawnFaults))]
			from := f.r.now()
			f.r.log.Info("a drawn fault begins", "fault", one.name)
			err := one.do(d)
			f.r.mu.Lock()
			f.r.drawn = append(f.r.drawn, model.Fault{Kind: one.name, At: from, For: f.r.now() - from})
			f.r.mu.Unlock()
			if err != nil && f.ctx.Err() == nil {
				return fmt.Errorf("%s: %w", one.name, err)
			}
		}
		return nil
	}
}

// sleep tells whether the run goes on.
func (d *drawn) sleep(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

// about is between a half and one and a half times a length.
func (d *drawn) about(t time.Duration) time.Duration {
	return time.Duration((.5 + d.rng.Float64()) * float64(t))
}

// proxies draws so many.
func (d *drawn) proxies(n int) []int {
	return slices.Sorted(slices.Values(d.rng.Perm(d.r.spec.Proxies)[:min(n, d.r.spec.Proxies)]))
}

// some are the names of up to a half of the proxies.
func (d *drawn) some() string {
	names := ""
	for _, no := range d.proxies(1 + d.rng.IntN(max(1, d.r.spec.Proxies/2))) {
		names += fmt.Sprintf(",proxy-%d", no)
	}
	return names[1:]
}

func (d *drawn) cut(way linkfault.Way, from string) error {
	return d.during(linkfault.Rule{From: from, To: "steward-*", Way: way, Trouble: linkfault.Trouble{Silent: true}})
}

func (d *drawn) during(r linkfault.Rule) error {
	end, err := d.r.paths.fabric.Apply(r)
	if err != nil {
		return err
	}
	d.sleep(d.about(2 * d.lease))
	return end()
}
