package decision_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
)

// policy is a Balancer whose events may be falsified.
type policy struct {
	*decision.Balancer
	rewriteList   func(decision.EndpointUpdate) []decision.EndpointUpdate // in place of each list
	ignoresDetach bool                                                    // operators' orders are lost
}

func (f *policy) UpdateEndpoints(now time.Duration, m decision.EndpointUpdate) {
	if f.rewriteList == nil {
		f.Balancer.UpdateEndpoints(now, m)
		return
	}
	for _, l := range f.rewriteList(m) {
		f.Balancer.UpdateEndpoints(now, l)
	}
}

func (f *policy) Detach(now time.Duration, id decision.BackendID) {
	if !f.ignoresDetach {
		f.Balancer.Detach(now, id)
	}
}

// interferingHost is a Host that may do something else than the policy asks for.
type interferingHost struct {
	decision.Host
	send   func(h decision.Host, id decision.RequestID, to decision.BackendID, until time.Duration)
	reject func(h decision.Host, id decision.RequestID)
}

func (h interferingHost) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	if h.send == nil {
		h.Host.Send(id, to, until)
		return
	}
	h.send(h.Host, id, to, until)
}

func (h interferingHost) Reject(id decision.RequestID, after time.Duration) {
	if h.reject == nil {
		h.Host.Reject(id, after)
		return
	}
	h.reject(h.Host, id)
}

// The model finds the rule that each flawed policy breaks.
func TestModelRejectsFlawedPolicies(t *testing.T) {
	entries := func(change func(*decision.Backend)) func(*policy, *interferingHost) {
		return func(f *policy, _ *interferingHost) {
			f.rewriteList = func(m decision.EndpointUpdate) []decision.EndpointUpdate {
				var all []decision.Backend
				for _, e := range m.Backends {
					change(&e)
					all = append(all, e)
				}
				m.Backends = all
				return []decision.EndpointUpdate{m}
			}
		}
	}
	for _, k := range []struct {
		name, rule string
		calm       bool
		cfg        func(*decision.Config)
		spoil      func(*policy, *interferingHost)
	}{
		{"answers twice", "rule 1", false, nil, func(_ *policy, h *interferingHost) {
			h.reject = func(h decision.Host, id decision.RequestID) { h.Reject(id, 0); h.Fail(id) }
		}},
		{"never rejects", "rule 1", false, nil, func(_ *policy, h *interferingHost) {
			h.reject = func(decision.Host, decision.RequestID) {}
		}},
		{"repeats what may not be", "rule 2", false, func(c *decision.Config) {
			for i := range c.Classes {
				c.Classes[i].Idempotency = decision.Idempotent
			}
		}, nil},
		{"leaves the group of a keyed request", "rule 2", false, func(c *decision.Config) {
			for i := range c.Classes {
				c.Classes[i].DeduplicationScope = decision.ScopeAll
			}
		}, nil},
		{"forgets the window", "rule 2", false, func(c *decision.Config) {
			for i := range c.Classes {
				c.Classes[i].DeduplicationWindow = time.Hour
			}
		}, nil},
		{"sends two at once", "rule 2", false, func(c *decision.Config) { c.Capabilities.HedgedRequests = true }, nil},
		{"sends on to what drains", "rule 3: send", false, nil,
			entries(func(e *decision.Backend) { e.State = decision.Ready })},
		{"sends to what is detached", "rule 3: send", false, nil,
			func(f *policy, _ *interferingHost) { f.ignoresDetach = true }},
		{"sends to what nobody listed", "listed", false, nil, entries(func(e *decision.Backend) { e.ID += 100 })},
		{"sends all to the one that started last", "rule 4", true, nil, func(f *policy, h *interferingHost) {
			last := decision.Backend{}
			f.rewriteList = func(m decision.EndpointUpdate) []decision.EndpointUpdate {
				for _, e := range m.Backends {
					if e.Started > last.Started {
						last = e
					}
				}
				return []decision.EndpointUpdate{m}
			}
			h.send = func(h decision.Host, id decision.RequestID, to decision.BackendID, until time.Duration) {
				if last.ID != 0 {
					to = last.ID
				}
				h.Send(id, to, until)
			}
		}},
		{"builds its checker anew with each list", "health", false, nil, func(f *policy, _ *interferingHost) {
			f.rewriteList = func(m decision.EndpointUpdate) []decision.EndpointUpdate {
				return []decision.EndpointUpdate{{Kind: decision.UpdateFull}, m}
			}
		}},
		{"keeps an answer back", "parked", false, nil, func(_ *policy, h *interferingHost) {
			h.reject = func(h decision.Host, id decision.RequestID) {
				x := h.(*proxy)
				if r := x.model.byID[id]; !r.StreamedBody {
					x.schedule(r.Deadline-x.now-10*milli, func() { x.model.now = x.now; x.Reject(id, 0) })
				} else {
					x.Reject(id, 0)
				}
			}
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			spoiled := func(cfg decision.Config, seed uint64, h decision.Host) (*policy, error) {
				f, spoilt := &policy{}, &interferingHost{Host: h}
				if k.spoil != nil {
					k.spoil(f, spoilt)
				}
				cfg.Classes = slices.Clone(cfg.Classes)
				if k.cfg != nil {
					k.cfg(&cfg)
				}
				b, err := decision.New(cfg, seed, spoilt)
				f.Balancer = b
				return f, err
			}
			found := ""
			for seed := uint64(0); seed < 40 && !strings.HasPrefix(found, k.rule); seed++ {
				broken, _, _, err := runHistory(seed, spoiled, runOptions{restartsOnly: k.calm,
					drainGraceOnly: strings.HasPrefix(k.rule, "rule 3")})
				if err != nil {
					t.Fatal(err)
				}
				if len(broken) > 0 {
					found = broken[0]
				}
			}
			if !strings.HasPrefix(found, k.rule) {
				t.Errorf("one that %s is not found to break %s: %q", k.name, k.rule, found)
			} else {
				t.Logf("one that %s: %s", k.name, found)
			}
		})
	}
}
