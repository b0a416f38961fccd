package baseline

import (
	"slices"
	"time"

	"lapisspread/decision"
)

// Flaw is one way to break one rule.
type Flaw struct {
	Name  string
	Rule  string // the one that it breaks, as the judge names it
	About string
}

// Flaws are all flaws on which the judge is tried.
var Flaws = []Flaw{
	{"repeats-payout", "duplicate", "sends one unsafe request in 40 to two nodes"},
	{"calls-harmless", "duplicate", "refuses one unsafe request in 40 after it was sent"},
	{"answers-late", "lost", "answers one request in 200 more than half a second after its deadline"},
	{"drops", "lost", "answers one request in 300 not at all"},
	{"forges", "lost", "serves one request in 100 what no node made"},
	{"sends-to-drained", "drain", "goes on sending to nodes that drain"},
	{"floods-cold", "cold", "sends all to a node that has just started"},
	{"keeps-silent-watch", "drain", "never opens a watch anew that has fallen silent"},
	{"ends-at-once", "lost", "ends at SIGTERM with all that it has in hand"},
	{"hangs-up", "lost", "closes one new connection in 50 with no answer"},
	{"stops-reading", "lost", "takes no more requests at SIGTERM, on connections that it leaves open"},
}

// Wire is what is wrong around a policy, in the network code, which is the driver's to carry out.
type Wire struct {
	KeepsSilentWatch bool // a watch that has fallen silent is never opened anew
	EndsAtOnce       bool // at SIGTERM, with all that is in hand
	StopsReading     bool // what comes after SIGTERM is not taken, and its connection stays open
}

// WireOf tells what is wrong around a policy.
func WireOf(p Policy) Wire {
	if f, ok := p.(*flawed); ok {
		return Wire{KeepsSilentWatch: f.flaw == "keeps-silent-watch", EndsAtOnce: f.flaw == "ends-at-once", StopsReading: f.flaw == "stops-reading"}
	}
	return Wire{}
}

// lateBy is how long after the deadline the late one answers: later than what only earns nothing.
const lateBy = 620 * time.Millisecond

// floodFor is how long a started node is flooded.
const floodFor = 3 * time.Second

func (f Flaw) factory() Factory {
	return func(cfg decision.Config, seed uint64, host decision.Host) (Policy, error) {
		w := &flawed{flaw: f.Name, cfg: cfg, host: host, own: map[decision.RequestID]decision.Request{}}
		inner, err := decision.New(cfg, seed, host)
		if err != nil {
			return nil, err
		}
		w.Policy = inner
		return w, nil
	}
}

// flawed lets the module decide, but for some requests that it treats itself, wrongly.
type flawed struct {
	Policy
	flaw   string
	cfg    decision.Config
	host   decision.Host
	now    time.Duration
	n      int
	ready  []decision.BackendID
	own    map[decision.RequestID]decision.Request
	target decision.BackendID
	until  time.Duration
	last   map[decision.BackendID]time.Duration
}

// ownToken marks timers of the flawed part; the module's own have their purpose there.
const ownToken = 0xf1

func (w *flawed) UpdateEndpoints(now time.Duration, m decision.EndpointUpdate) {
	m.Backends = slices.Clone(m.Backends)
	for i := range m.Backends {
		b := &m.Backends[i]
		if w.flaw == "sends-to-drained" && b.State == decision.Draining {
			b.State = decision.Ready
		}
		if w.flaw == "floods-cold" && b.State == decision.Ready && b.Started > 0 {
			if w.last == nil {
				w.last = map[decision.BackendID]time.Duration{}
			}
			if b.Started > w.last[b.ID] {
				w.last[b.ID] = b.Started
				w.target, w.until = b.ID, now+floodFor
			}
			b.Started = 0
		}
		w.ready = slices.DeleteFunc(w.ready, func(id decision.BackendID) bool { return id == b.ID })
		if b.State == decision.Ready {
			w.ready = append(w.ready, b.ID)
		}
	}
	w.Policy.UpdateEndpoints(now, m)
}

func (w *flawed) Request(now time.Duration, q decision.Request) {
	w.now = now
	unsafe := w.cfg.Classes[q.Class].Idempotency == decision.NotIdempotent
	every := func(n int) bool {
		w.n++
		return w.n%n == 0
	}
	switch {
	case w.flaw == "repeats-payout" && unsafe && len(w.ready) > 1 && every(40):
		w.own[q.ID] = q
		i := w.n / 40
		w.host.Send(q.ID, w.ready[i%len(w.ready)], 0)
		w.host.Send(q.ID, w.ready[(i+1)%len(w.ready)], 0)
	case w.flaw == "calls-harmless" && unsafe && len(w.ready) > 0 && every(40):
		w.own[q.ID] = q
		w.host.Send(q.ID, w.ready[w.n/40%len(w.ready)], 0)
		w.host.StartTimer(4*time.Millisecond, ownToken<<56|uint64(q.ID))
	case w.flaw == "answers-late" && every(200):
		w.own[q.ID] = q
		w.host.StartTimer(q.Deadline-now+lateBy, ownToken<<56|uint64(q.ID))
	case w.flaw == "drops" && every(300):
		w.own[q.ID] = q
	case w.flaw == "forges" && every(100):
		if f, ok := w.host.(Forger); ok {
			f.Forge(q.ID)
		}
	case w.flaw == "hangs-up" && every(50):
		if h, ok := w.host.(Hanger); ok {
			h.HangUp(q.ID)
		}
	case w.flaw == "floods-cold" && now < w.until && slices.Contains(w.ready, w.target):
		w.own[q.ID] = q
		w.host.Send(q.ID, w.target, 0)
	default:
		w.Policy.Request(now, q)
	}
}

func (w *flawed) Outcome(now time.Duration, o decision.Outcome) {
	q, own := w.own[o.ID]
	if !own {
		w.Policy.Outcome(now, o)
		return
	}
	switch w.flaw {
	case "repeats-payout", "calls-harmless":
		if o.Final {
			delete(w.own, o.ID)
		} else if o.Attempt == 1 || w.flaw == "calls-harmless" {
			delete(w.own, o.ID)
			w.host.Fail(o.ID)
		}
	case "floods-cold":
		delete(w.own, o.ID)
		if o.Final {
			return
		}
		if o.Result.NeverRan() || w.cfg.Classes[q.Class].Idempotency == decision.Idempotent {
			w.host.Reject(o.ID, 0)
		} else {
			w.host.Fail(o.ID)
		}
	}
}

func (w *flawed) ClientGone(now time.Duration, id decision.RequestID) {
	if _, own := w.own[id]; !own {
		w.Policy.ClientGone(now, id)
	} else if w.flaw != "answers-late" {
		delete(w.own, id)
	}
}

func (w *flawed) Timer(now time.Duration, token uint64) {
	if token>>56 != ownToken {
		w.Policy.Timer(now, token)
		return
	}
	id := decision.RequestID(token)
	if _, own := w.own[id]; !own {
		return
	}
	delete(w.own, id)
	if w.flaw == "calls-harmless" {
		w.host.Reject(id, 0)
	} else {
		w.host.Fail(id)
	}
}
