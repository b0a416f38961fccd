package capacity

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/route"
)

// hollow is a proxy without listener, engine or backends: the control code alone. Nothing of what it takes up is shared with another.
type hollow struct {
	no    int
	name  string
	file  api.Config // its own: the state folder is
	flaw  string
	rate  float64 // requests a second that it counts
	bad   float64 // share of them
	has   map[string]bool
	paper bool // it only bears the rig's work, to calibrate

	policy, budget *meter

	mu       sync.Mutex // of what follows: the child's loops and its orders
	policies *client.PolicyClient
	link     *client.QuotaClient
	sights   []*client.ServiceQuotas
	end      func()
	counted  float64 // requests begun, in parts
	spoilt   float64
	drawn    float64

	now  atomic.Pointer[decides]
	last rollout.Version // that it was seen to have; of the watcher
	told time.Duration   // FlawLate: since when it has been told of something newer
}

// start begins the proxy, with what its folder keeps.
func (h *hollow) start() error {
	if err := os.MkdirAll(h.file.StateDir, 0o700); err != nil {
		return err
	}
	log := slog.New(slog.DiscardHandler)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policies = client.NewPolicyClient(client.Config{File: &h.file, ProxyName: h.name, Logger: log, Transport: h.policy.transport()}, h.install)
	h.link, h.sights = nil, nil
	if len(h.file.Quotas) > 0 {
		h.link = client.NewQuotaClient(client.Config{File: &h.file, ProxyName: h.name, Logger: log, Transport: h.budget.transport()})
		for _, b := range h.file.Quotas {
			sight, err := h.link.ForService(b.Filter.Service, nil, nil)
			if err != nil {
				return err
			}
			h.sights = append(h.sights, sight)
		}
	}
	h.now.Store(nil)
	if err := h.install(h.policies.Current()); err != nil && h.flaw == "" {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	if !h.paper {
		policies, link := h.policies, h.link
		running.Go(func() { policies.Restore(); policies.Run(ctx) })
		if link != nil {
			running.Go(func() { link.Run(ctx) })
		}
	}
	h.end = func() { cancel(); running.Wait() }
	return nil
}

// stop ends it, as the end of its process would.
func (h *hollow) stop() {
	h.mu.Lock()
	end := h.end
	h.mu.Unlock()
	if end != nil {
		end()
	}
}

// anew is another process in its place, with the state folder of the one before or without.
func (h *hollow) anew(empty bool) error {
	h.stop()
	if empty {
		if err := os.RemoveAll(h.file.StateDir); err != nil {
			return err
		}
	}
	return h.start()
}

// install takes a policy up, or changes nothing and says why.
func (h *hollow) install(t *client.InstalledPolicy) error {
	old := h.now.Load()
	first := t == nil || t.Policy == nil
	if !first {
		switch h.flaw {
		case FlawNothing:
			return errors.New("it takes nothing up")
		case FlawLies:
			if old != nil && old.routes != nil {
				return nil
			}
		case FlawLate:
			time.Sleep(LateBy)
		}
	}
	if t == nil {
		t = &client.InstalledPolicy{}
	}
	next, err := decideBy(old, t, h.has)
	if err != nil {
		return err
	}
	if h.flaw == FlawWrong && !first {
		if err := next.spoil(); err != nil {
			return err
		}
	}
	h.now.Store(next)
	return nil
}

// spoil has it decide each third route otherwise than its policy says.
func (d *decides) spoil() error {
	rules := d.taken.Policy.Rules()
	for i := range rules {
		if i%3 == 0 {
			rules[i].To = []route.Target{{Service: rules[(i+1)%len(rules)].To[0].Service + "-not", Weight: 1}}
		}
	}
	table, err := route.Compile(rules, "")
	routes := *d.routes
	routes.Table = table
	d.routes = &routes
	return err
}

// work counts requests and draws on budgets, as so long a time of traffic would.
func (h *hollow) work(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.policies == nil {
		return
	}
	taken := h.policies.Current()
	if h.paper { // of its own: what it counts nobody reports
		taken = h.now.Load().taken
	}
	h.counted += h.rate * d.Seconds()
	n := math.Floor(h.counted)
	h.counted -= n
	h.spoilt += n * h.bad
	for range int(n) {
		good := h.spoilt < 1
		if !good {
			h.spoilt--
		}
		taken.CountRequest(good)
	}
	if len(h.sights) == 0 {
		return
	}
	h.drawn += h.rate * d.Seconds() / 10 / float64(len(h.sights))
	draws := math.Floor(h.drawn)
	h.drawn -= draws
	for _, s := range h.sights {
		for range int(draws) {
			s.Acquire(0, 0, true)
		}
	}
}

// says is what it tells the stewards that it has.
func (h *hollow) says() rollout.Version {
	h.mu.Lock()
	p := h.policies
	h.mu.Unlock()
	if p == nil {
		return rollout.Version{}
	}
	return p.Current().Offer
}

// back tells what is wrong with what it says that it has, if it has gone back without an operator's word. The watcher calls it.
func (h *hollow) back() string {
	o := h.says()
	was := h.last
	h.last = o
	if o == was || o.NewerThan(was) {
		return ""
	}
	return fmt.Sprintf("from order %d, epoch %d back to order %d, epoch %d", was.Generation, was.Epoch, o.Generation, o.Epoch)
}

// decisions are how it decides some requests, with what it says that it has at that moment. One that is just taking something up is asked again.
func (h *hollow) decisions(some []route.Request) (rollout.Version, []string) {
	for try := 0; ; try++ {
		said, now := h.says(), h.now.Load()
		var all []string
		for i := range some {
			all = append(all, now.service(&some[i]))
		}
		steady := now == nil || now.taken.Offer == said
		if steady && h.says() == said && h.now.Load() == now || try >= 40 {
			return said, all
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func stateOf(dir, name string) string { return filepath.Join(dir, "state-"+name) }
