package decision

import (
	"fmt"
	"testing"
	"time"
)

const (
	idempotent = iota
	keyed
	notIdempotent
	keyedAnywhere
)

// recorder is a Host that keeps what it was asked for.
type recorder struct {
	acts []action
}

type action struct {
	verb    string
	id      RequestID
	to      BackendID
	attempt int
	at      time.Duration // until, retryAfter or d
	token   uint64
	text    string
}

func (h *recorder) add(a action) { h.acts = append(h.acts, a) }

func (h *recorder) Send(id RequestID, to BackendID, until time.Duration) {
	h.add(action{verb: "send", id: id, to: to, at: until})
}

func (h *recorder) Reject(id RequestID, d time.Duration) {
	h.add(action{verb: "reject", id: id, at: d})
}

func (h *recorder) Fail(id RequestID) { h.add(action{verb: "fail", id: id}) }

func (h *recorder) Cancel(id RequestID, n int) { h.add(action{verb: "cancel", id: id, attempt: n}) }

func (h *recorder) CheckHealth(b BackendID) { h.add(action{verb: "check", to: b}) }

func (h *recorder) ReleaseIdleConnections(b BackendID) { h.add(action{verb: "release", to: b}) }

func (h *recorder) WatchEndpoints(bool) { h.add(action{verb: "watch"}) }

func (h *recorder) FetchEndpoints() { h.add(action{verb: "fetch"}) }

func (h *recorder) SendToPeer(peer uint32, body []byte) {
	h.add(action{verb: "peer", text: fmt.Sprintf("%d %x", peer, body)})
}

func (h *recorder) StartTimer(d time.Duration, token uint64) {
	h.add(action{verb: "timer", at: d, token: token})
}

func (h *recorder) Log(line string) { h.add(action{verb: "log", text: line}) }

// take gives the actions of the verbs since the last call of it, and forgets all.
func (h *recorder) take(verbs ...string) []action {
	var out []action
	for _, a := range h.acts {
		for _, v := range verbs {
			if a.verb == v {
				out = append(out, a)
			}
		}
	}
	h.acts = nil
	return out
}

const second, milli = time.Second, time.Millisecond

// testConfig has one class of each idempotency; all capabilities are granted.
func testConfig() Config {
	return Config{Instances: 2, Tick: 5 * milli, OverQuotaWeight: 1,
		Classes: []Class{
			{Name: "safe", LatencyObjective: second, ClientTimeout: 3 * second, Idempotency: Idempotent,
				PriorityWeight: 1},
			{Name: "keyed", LatencyObjective: second, ClientTimeout: 3 * second, Idempotency: IdempotentByKey,
				DeduplicationScope: ScopeZone, DeduplicationWindow: second, PriorityWeight: 1},
			{Name: "unsafe", LatencyObjective: second, ClientTimeout: 3 * second, Idempotency: NotIdempotent,
				PriorityWeight: 1},
			{Name: "anywhere", LatencyObjective: second, ClientTimeout: 3 * second, Idempotency: IdempotentByKey,
				DeduplicationScope: ScopeAll, DeduplicationWindow: 2 * second, PriorityWeight: 1},
		},
		ObjectiveWeights: ObjectiveWeights{Overall: 1},
		Constraints: Constraints{AnswerSlack: 20 * milli, MaxListAge: 10 * second, WarmUp: 20 * second,
			DrainGrace: 250 * milli, OverloadWindow: 2 * second, OverloadFactor: 2.5, InitialCapacity: 0.2},
		Capabilities: Capabilities{Cancel: true, PeerMessages: true, HealthChecks: true, RetryAfter: true,
			HedgedRequests:        true,
			ConnectionIdleTimeout: 15 * second, ConnectTimeout: 250 * milli, MaxRetryAfter: 2 * second,
			MaxAttempts: 4, StreamsPerConnection: 1},
	}
}

func list(n int) []Backend {
	var bs []Backend
	for i := range n {
		bs = append(bs, Backend{ID: BackendID(i + 1), Zone: i % 2, Cell: i % 3, State: Ready, Weight: 1})
	}
	return bs
}

func newBalancer(t *testing.T, cfg Config, n int) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(second)
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 1, Backends: list(n)})
	h.take()
	return b, h
}

// manyConfig is the configuration of one of n proxies, each with little traffic.
func manyConfig(n int) Config {
	cfg := testConfig()
	cfg.Instances, cfg.Rank = n, 7
	return cfg
}

// openedRequest gives a Balancer with one request whose first attempt is in flight at the backend.
func openedRequest(t *testing.T, cfg Config, class, backends int) (*Balancer, *recorder, BackendID) {
	t.Helper()
	b, h := newBalancer(t, cfg, backends)
	b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
	sends := h.take("send")
	if len(sends) != 1 {
		t.Fatalf("%d sends at first", len(sends))
	}
	return b, h, sends[0].to
}

// fireEverything fires all timers that may run, sends a list and lets time go by, after a request has ended.
func fireEverything(b *Balancer, from time.Duration, attempts int) {
	for n := range attempts {
		b.Timer(from, attemptToken(1, n))
	}
	b.UpdateEndpoints(from, EndpointUpdate{Kind: UpdateFull, Backends: list(6)})
	for at := from; at < from+5*second; at += 50 * milli {
		b.Timer(at, dispatchToken)
		b.Timer(at, sweepToken)
		for n := range attempts {
			b.Timer(at, attemptToken(1, n))
		}
	}
}
