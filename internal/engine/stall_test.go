package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// fetchOnlySource is a source whose watch never delivers a list and whose Fetch calls fetch.
type fetchOnlySource struct {
	stuckUpstream
	fetch func(ctx context.Context) (EndpointList, error)
}

func (s fetchOnlySource) Fetch(ctx context.Context) (EndpointList, error) { return s.fetch(ctx) }

// servingUpstream serves each attempt and records the backend that the attempt was sent to.
type servingUpstream struct {
	stuckUpstream
	sent chan decision.BackendID
}

// servingBackend is one backend of a servingUpstream.
type servingBackend struct {
	servingUpstream
	id decision.BackendID
}

func (u servingUpstream) Find(id decision.BackendID) Backend { return servingBackend{u, id} }
func (b servingBackend) Exchange(context.Context, Attempt) (decision.Result, any) {
	b.sent <- b.id
	return decision.OK, nil
}

// After the event loop has stalled (SIGSTOP, no CPU time), a request and a list that drains its backend have both
// arrived. The list must be applied before the request is sent. If no list can be fetched, or discovery is polled, the
// request is still sent, without a long delay.
func TestEndpointsGoBeforeRequestsAfterStall(t *testing.T) {
	endpoint := func(id string, s decision.BackendState) Endpoint {
		return Endpoint{ID: id, Addr: id + ":1", State: s, Weight: 1}
	}
	initial := EndpointList{Version: 1, Full: true, Endpoints: []Endpoint{endpoint("a", decision.Ready)}}
	drained := EndpointList{Version: 2, Full: true, Endpoints: []Endpoint{
		endpoint("a", decision.Draining),
		endpoint("b", decision.Ready),
	}}
	for name, c := range map[string]struct {
		stall  time.Duration                                   // how long the loop is blocked
		polled bool                                            // whether discovery is polled
		fetch  func(ctx context.Context) (EndpointList, error) // the source's Fetch
		want   string                                          // backend that must get the request
	}{
		"list drains the backend": {time.Second, false, func(context.Context) (EndpointList, error) {
			return drained, nil
		}, "b"},
		"source does not respond": {time.Second, false, func(ctx context.Context) (EndpointList, error) {
			<-ctx.Done()
			return EndpointList{}, ctx.Err()
		}, "a"},
		"source fails": {time.Second, false, func(context.Context) (EndpointList, error) {
			return EndpointList{}, errors.New("refused")
		}, "a"},
		"fetched list is older": {time.Second, false, func(context.Context) (EndpointList, error) {
			older := drained
			older.Version = 0
			return older, nil
		}, "a"},
		"polled discovery": {time.Second, true, func(context.Context) (EndpointList, error) {
			t.Error("the list was fetched, want no fetch with polled discovery")
			return drained, nil
		}, "a"},
		"stall too short": {20 * time.Millisecond, false, func(context.Context) (EndpointList, error) {
			t.Error("the list was fetched, want no fetch after a stall of 20 ms")
			return drained, nil
		}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig()
				cfg.PolledDiscovery = c.polled
				cfg.Constraints.DrainGrace = 250 * time.Millisecond
				cfg.Constraints.MaxListAge = time.Hour
				up := servingUpstream{sent: make(chan decision.BackendID, 8)}
				e, err := New(Options{
					Decision:         cfg,
					Seed:             1,
					InitialEndpoints: initial,
					Upstream:         up,
					Source:           fetchOnlySource{fetch: c.fetch},
				})
				if err != nil {
					t.Fatalf("New failed: %v", err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					e.Run(ctx)
					close(ended)
				}()
				time.Sleep(time.Second)
				r := testRequest(e)
				stallStarted := make(chan struct{})
				e.Post(func() {
					close(stallStarted)
					time.Sleep(c.stall)
				})
				<-stallStarted
				e.Post(func() { e.Submit(r) })
				stallEnd := time.Now().Add(c.stall)
				if got := <-r.Result(); got.Outcome != Served {
					t.Errorf("outcome of the request after the stall = %v, want %v", got.Outcome, Served)
				}
				if to := <-up.sent; to != BackendID(c.want) {
					t.Errorf("request sent to backend ID %d, want %d (%s)", to, BackendID(c.want), c.want)
				}
				if delay := time.Since(stallEnd); delay > cfg.Constraints.DrainGrace/2 {
					t.Errorf("request ended %v after the stall, want at most %v", delay, cfg.Constraints.DrainGrace/2)
				}
				cancel()
				<-ended
			})
		})
	}
}
