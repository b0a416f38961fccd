package decision

import (
	"fmt"
	"testing"
	"time"
)

// The classes of testConfig, as indexes into Config.Classes.
const (
	idempotent = iota
	keyed
	notIdempotent
	keyedAnywhere
)

// recorder is a Host that records the actions that the Balancer requests.
type recorder struct {
	actions []action
}

// action is one call of a Host method. verb names the method; the other fields are its arguments.
type action struct {
	verb    string
	id      RequestID
	to      BackendID
	attempt int
	at      time.Duration // the argument until, retryAfter or d
	token   uint64
	text    string
}

// String describes the action for failure messages.
func (a action) String() string {
	switch a.verb {
	case "send":
		return fmt.Sprintf("send request %d to backend %d until %v", a.id, a.to, a.at)
	case "reject":
		return fmt.Sprintf("reject request %d with retry after %v", a.id, a.at)
	case "fail":
		return fmt.Sprintf("fail request %d", a.id)
	case "cancel":
		return fmt.Sprintf("cancel attempt %d of request %d", a.attempt, a.id)
	case "check", "release":
		return fmt.Sprintf("%s backend %d", a.verb, a.to)
	case "timer":
		return fmt.Sprintf("timer after %v with token %x", a.at, a.token)
	}
	return a.verb + " " + a.text
}

// resultName names a result for failure messages.
func resultName(r Result) string {
	return [...]string{OK: "OK", Error: "Error", Rejected: "Rejected", Timeout: "Timeout",
		ConnectFailed: "ConnectFailed", Reset: "Reset", Cancelled: "Cancelled", NotSent: "NotSent"}[r]
}

// className names a class of testConfig for failure messages.
func className(class int) string {
	return [...]string{idempotent: "idempotent", keyed: "keyed with zone scope", notIdempotent: "not idempotent",
		keyedAnywhere: "keyed with scope all"}[class]
}

func (h *recorder) add(a action) { h.actions = append(h.actions, a) }

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

// take returns the recorded actions with one of the verbs, in order, and clears the record.
func (h *recorder) take(verbs ...string) []action {
	var out []action
	for _, a := range h.actions {
		for _, v := range verbs {
			if a.verb == v {
				out = append(out, a)
			}
		}
	}
	h.actions = nil
	return out
}

const second, milli = time.Second, time.Millisecond

// testConfig returns a configuration with one class for each kind of idempotency and all capabilities enabled.
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

// list returns n ready backends with the IDs 1 to n, in two zones and three cells.
func list(n int) []Backend {
	var bs []Backend
	for i := range n {
		bs = append(bs, Backend{ID: BackendID(i + 1), Zone: i % 2, Cell: i % 3, State: Ready, Weight: 1})
	}
	return bs
}

// newBalancer returns a started Balancer with an endpoint list of n backends, and its Host with an empty record.
func newBalancer(t *testing.T, cfg Config, n int) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(second)
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 1, Backends: list(n)})
	h.take()
	return b, h
}

// manyConfig returns the configuration of a proxy that shares its backends with n-1 others.
func manyConfig(n int) Config {
	cfg := testConfig()
	cfg.Instances, cfg.Rank = n, 7
	return cfg
}

// openedRequest returns a Balancer with one request, ID 1, whose first attempt is in flight; to is its backend.
func openedRequest(t *testing.T, cfg Config, class, backends int) (b *Balancer, h *recorder, to BackendID) {
	t.Helper()
	b, h = newBalancer(t, cfg, backends)
	b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
	sends := h.take("send")
	if len(sends) != 1 {
		t.Fatalf("Request(class %d, %d backends) caused %d sends, want 1", class, backends, len(sends))
	}
	return b, h, sends[0].to
}

// fireTimersAndUpdateList fires every timer that may be running, reports an endpoint list of six backends and lets 5 s
// pass. Tests call it after request 1 has ended; attempts is the number of attempts that request may have had.
func fireTimersAndUpdateList(b *Balancer, from time.Duration, attempts int) {
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
