package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// fetchOnlySource delivers nothing by its watch; fetch is what its Fetch does.
type fetchOnlySource struct {
	stuckUpstream
	fetch func(ctx context.Context) (EndpointList, error)
}

func (s fetchOnlySource) Fetch(ctx context.Context) (EndpointList, error) { return s.fetch(ctx) }

// servingUpstream serves each attempt and records the backend that it was made at.
type servingUpstream struct {
	stuckUpstream
	sent chan decision.BackendID
}

type servingBackend struct {
	servingUpstream
	id decision.BackendID
}

func (u servingUpstream) Find(id decision.BackendID) Backend { return servingBackend{u, id} }
func (b servingBackend) Exchange(context.Context, Attempt) (decision.Result, any) {
	b.sent <- b.id
	return decision.OK, nil
}

// A process that stood still (SIGSTOP, no processor) has a request waiting, and beside it the change that its backend
// drains. The change goes first. Where no list is to be had, or discovery is polled, the request is sent all the same,
// and soon.
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
		stall  time.Duration
		polled bool
		fetch  func(ctx context.Context) (EndpointList, error)
		want   string
	}{
		"a change": {time.Second, false, func(context.Context) (EndpointList, error) {
			return drained, nil
		}, "b"},
		"a silent source": {time.Second, false, func(ctx context.Context) (EndpointList, error) {
			<-ctx.Done()
			return EndpointList{}, ctx.Err()
		}, "a"},
		"no source": {time.Second, false, func(context.Context) (EndpointList, error) {
			return EndpointList{}, errors.New("refused")
		}, "a"},
		"an older list": {time.Second, false, func(context.Context) (EndpointList, error) {
			older := drained
			older.Version = 0
			return older, nil
		}, "a"},
		"polled discovery": {time.Second, true, func(context.Context) (EndpointList, error) {
			t.Error("the list is fetched")
			return drained, nil
		}, "a"},
		"no stall": {20 * time.Millisecond, false, func(context.Context) (EndpointList, error) {
			t.Error("the list is fetched")
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
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					e.Run(ctx)
					close(ended)
				}()
				time.Sleep(time.Second)
				r := testRequest(e)
				stopped := make(chan struct{})
				e.Post(func() {
					close(stopped)
					time.Sleep(c.stall)
				})
				<-stopped
				e.Post(func() { e.Submit(r) })
				woken := time.Now().Add(c.stall)
				if a := <-r.Result(); a.Outcome != Served {
					t.Errorf("ended as %v", a.Outcome)
				}
				if to := <-up.sent; to != BackendID(c.want) {
					t.Errorf("sent to the wrong backend, want %s", c.want)
				}
				if late := time.Since(woken); late > cfg.Constraints.DrainGrace/2 {
					t.Errorf("held up for %v", late)
				}
				cancel()
				<-ended
			})
		})
	}
}
