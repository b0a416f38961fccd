package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/listener"
)

// mostNames bounds the names that a roster remembers; of those that it forgets the oldest go first.
const mostNames = 8192

// roster knows the names of all backends that were ever listed: only these can be taken out by hand. It is for
// any goroutine, so that whoever asks need not wait for the loop.
type roster struct {
	mu    sync.Mutex
	names map[string]bool
	order []string
	wake  chan struct{} // holds one: there are orders that the loop has not seen
}

func newRoster() *roster { return &roster{names: map[string]bool{}, wake: make(chan struct{}, 1)} }

func (r *roster) add(list List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range list.Endpoints {
		if r.names[m.ID] {
			continue
		}
		if len(r.order) >= mostNames {
			delete(r.names, r.order[0])
			r.order = r.order[1:]
		}
		r.names[m.ID] = true
		r.order = append(r.order, m.ID)
	}
}

func (r *roster) listed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[id]
}

func (r *roster) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// operator is the proxy as the console's calls see it. None of them waits for the loop.
type operator struct{ *Proxy }

func (o operator) Serving() bool            { return o.ready.Load() }
func (o operator) Counters() json.Marshaler { return o.services.figures() }
func (o operator) StartDraining()           { o.conns.setLameDuck(true) }
func (o operator) StopDraining()            { o.conns.setLameDuck(false) }
func (o operator) Detach(id string) error   { return o.order(id, true) }
func (o operator) Attach(id string) error   { return o.order(id, false) }

// ReloadRoutes reads the file of services anew. SIGHUP does too, and takes in the process's own settings besides.
func (o operator) ReloadRoutes() (string, error) {
	text, err := o.services.reread()
	if err != nil {
		if o.services.several() {
			o.own.ReloadsFailed.Add(1)
		}
		return "", err
	}
	o.own.ReloadsOK.Add(1)
	return text, nil
}

var errNoDoor = errors.New("admission is off: the proxy was started without --admission")

// doorReport is what ADMISSION shows.
type doorReport struct {
	admission.Report
	Short    int64            `json:"closed_without_descriptors"`
	Requests map[string]bound `json:"requests,omitempty"` // by service
}

type bound struct {
	Limit  int `json:"limit"`
	InHand int `json:"in_hand"`
}

// Admission is who holds places and why the last were refused.
func (o operator) Admission() (any, error) {
	if o.conns.door == nil {
		return nil, errNoDoor
	}
	r := doorReport{Report: o.conns.door.Report(), Short: o.conns.door.DescriptorShortages()}
	if now := o.services.now.Load(); now != nil {
		for name, svc := range now.byName {
			if svc.requests == nil {
				continue
			}
			if r.Requests == nil {
				r.Requests = map[string]bound{}
			}
			var b bound
			b.Limit, b.InHand = svc.requests.Limit()
			r.Requests[name] = b
		}
	}
	return r, nil
}

// Diameter is who our peers are, and what the ledger of effects holds.
func (o operator) Diameter() (any, error) {
	if o.diameter == nil {
		return nil, errors.New("no Diameter is spoken: the proxy was started without --diameter")
	}
	return o.diameter.report(), nil
}

// ListGuard is what is held in doubt, and how the calls for the list went.
func (o operator) ListGuard() (any, error) {
	if o.comeback == nil {
		return nil, errors.New("the rules of coming back are off: the proxy was started without --comeback")
	}
	r := struct {
		guardedsource.Report
		Memory *memoryReport `json:"memory,omitempty"`
	}{Report: o.comeback.Report()}
	if o.memory != nil {
		r.Memory = o.memory.told()
	}
	return r, nil
}

// QuotaLeases is what is granted to this proxy, and how the talk with the stewards goes.
func (o operator) QuotaLeases() (any, error) {
	link := o.fleet.Load()
	if link == nil {
		return nil, errors.New("no budgets of a fleet hold: the proxy was started without --fleet")
	}
	r := link.Status()
	if policies := o.policies.Load(); policies != nil {
		report := policies.PolicyStatus()
		r.Policy = &report
	}
	return r, nil
}

// Freshness is how old what this proxy holds of its registers may be.
func (o operator) Freshness() (any, error) {
	view := o.view.Load()
	if view == nil {
		return nil, errors.New("the view is not weighed: the proxy was started without --fleet, or the fleet's file has no table view")
	}
	return view.Report(), nil
}

// Block turns an address or a prefix away for a time.
func (o operator) Block(prefix string, span time.Duration) error {
	p, err := o.prefix(prefix)
	if err != nil {
		return err
	}
	return o.conns.door.Block(p, span)
}

// Unblock ends that.
func (o operator) Unblock(prefix string) error {
	p, err := o.prefix(prefix)
	if err != nil {
		return err
	}
	return o.conns.door.Unblock(p)
}

func (o operator) prefix(text string) (netip.Prefix, error) {
	if o.conns.door == nil {
		return netip.Prefix{}, errNoDoor
	}
	return listener.ParsePrefix(text)
}

// order writes down that a backend is out by hand, or no more, and has the loop look.
func (o operator) order(id string, out bool) error {
	known := o.services.listed(id)
	for _, name := range o.store.Detached() { // by the process before, which may have known it alone
		known = known || name == id
	}
	if !known {
		return fmt.Errorf("no backend %.64q was ever listed", id)
	}
	if err := o.store.SetDetached(id, out); err != nil { // it holds here all the same
		o.log.Error("an order that the next process will not know", "backend", id, "err", err)
	}
	o.services.wake()
	return nil
}
