package decision_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
)

// policy is a Balancer whose events may be altered before they reach it.
type policy struct {
	*decision.Balancer
	rewriteList   func(decision.EndpointUpdate) []decision.EndpointUpdate // returns the updates that replace one
	ignoresDetach bool                                                    // Detach does nothing
}

func (p *policy) UpdateEndpoints(now time.Duration, update decision.EndpointUpdate) {
	if p.rewriteList == nil {
		p.Balancer.UpdateEndpoints(now, update)
		return
	}
	for _, l := range p.rewriteList(update) {
		p.Balancer.UpdateEndpoints(now, l)
	}
}

func (p *policy) Detach(now time.Duration, id decision.BackendID) {
	if !p.ignoresDetach {
		p.Balancer.Detach(now, id)
	}
}

// interferingHost is a Host whose send and reject, if set, replace the actions that the policy requests.
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

// The model detects the rule that each flawed policy violates.
func TestModelRejectsFlawedPolicies(t *testing.T) {
	changeEntries := func(change func(*decision.Backend)) func(*policy, *interferingHost) {
		return func(p *policy, _ *interferingHost) {
			p.rewriteList = func(update decision.EndpointUpdate) []decision.EndpointUpdate {
				var changed []decision.Backend
				for _, e := range update.Backends {
					change(&e)
					changed = append(changed, e)
				}
				update.Backends = changed
				return []decision.EndpointUpdate{update}
			}
		}
	}
	for _, k := range []struct {
		name, violation string // the violation starts with this text
		restartsOnly    bool
		changeConfig    func(*decision.Config)
		addFlaw         func(*policy, *interferingHost)
	}{
		{"answers twice", ruleFinalAnswer, false, nil, func(_ *policy, h *interferingHost) {
			h.reject = func(h decision.Host, id decision.RequestID) { h.Reject(id, 0); h.Fail(id) }
		}},
		{"never rejects", ruleFinalAnswer, false, nil, func(_ *policy, h *interferingHost) {
			h.reject = func(decision.Host, decision.RequestID) {}
		}},
		{"retries requests that are not idempotent", ruleIdempotency, false, func(c *decision.Config) {
			for i := range c.Classes {
				c.Classes[i].Idempotency = decision.Idempotent
			}
		}, nil},
		{"retries outside the deduplication scope", ruleIdempotency, false, func(c *decision.Config) {
			for i := range c.Classes {
				c.Classes[i].DeduplicationScope = decision.ScopeAll
			}
		}, nil},
		{"retries after the deduplication window", ruleIdempotency, false, func(c *decision.Config) {
			for i := range c.Classes {
				c.Classes[i].DeduplicationWindow = time.Hour
			}
		}, nil},
		{"hedges although that is not allowed", ruleIdempotency, false,
			func(c *decision.Config) { c.Capabilities.HedgedRequests = true }, nil},
		{"sends to draining backends", ruleDrain + ": send", false, nil,
			changeEntries(func(e *decision.Backend) { e.State = decision.Ready })},
		{"sends to detached backends", ruleDrain + ": send", false, nil,
			func(p *policy, _ *interferingHost) { p.ignoresDetach = true }},
		{"sends to unlisted backends", ruleInvalidAction, false, nil,
			changeEntries(func(e *decision.Backend) { e.ID += 100 })},
		{"sends everything to the backend that started last", ruleSlowStart, true, nil, func(p *policy,
			h *interferingHost) {
			last := decision.Backend{}
			p.rewriteList = func(update decision.EndpointUpdate) []decision.EndpointUpdate {
				for _, e := range update.Backends {
					if e.Started > last.Started {
						last = e
					}
				}
				return []decision.EndpointUpdate{update}
			}
			h.send = func(h decision.Host, id decision.RequestID, to decision.BackendID, until time.Duration) {
				if last.ID != 0 {
					to = last.ID
				}
				h.Send(id, to, until)
			}
		}},
		{"forgets all backends before each endpoint update", ruleHealth, false, nil, func(p *policy,
			_ *interferingHost) {
			p.rewriteList = func(update decision.EndpointUpdate) []decision.EndpointUpdate {
				return []decision.EndpointUpdate{{Kind: decision.UpdateFull}, update}
			}
		}},
		{"delays rejections until shortly before the deadline", ruleUnanswered, false, nil, func(_ *policy,
			h *interferingHost) {
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
			newFlawedPolicy := func(cfg decision.Config, seed uint64, h decision.Host) (*policy, error) {
				p, interfering := &policy{}, &interferingHost{Host: h}
				if k.addFlaw != nil {
					k.addFlaw(p, interfering)
				}
				cfg.Classes = slices.Clone(cfg.Classes)
				if k.changeConfig != nil {
					k.changeConfig(&cfg)
				}
				b, err := decision.New(cfg, seed, interfering)
				p.Balancer = b
				return p, err
			}
			found := ""
			for seed := uint64(0); seed < 40 && !strings.HasPrefix(found, k.violation); seed++ {
				violations, _, _, err := runHistory(seed, newFlawedPolicy, runOptions{restartsOnly: k.restartsOnly,
					drainGraceOnly: strings.HasPrefix(k.violation, ruleDrain)})
				if err != nil {
					t.Fatalf("runHistory(seed %d): %v", seed, err)
				}
				if len(violations) > 0 {
					found = violations[0]
				}
			}
			if !strings.HasPrefix(found, k.violation) {
				t.Errorf("a policy that %s: last violation in 40 runs = %q, want one that starts with %q", k.name,
					found, k.violation)
			} else {
				t.Logf("a policy that %s: %s", k.name, found)
			}
		})
	}
}
