package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// agent pushes no news by its watch; a call for the list tells that its server drains, or what else is set.
type agent struct {
	nowhere
	fetch func(ctx context.Context) (EndpointList, error)
}

func (a agent) Fetch(ctx context.Context) (EndpointList, error) { return a.fetch(ctx) }

// serves counts what is sent, and serves it.
type serves struct {
	nowhere
	sent chan decision.BackendID
}

type serving struct {
	serves
	id decision.BackendID
}

func (s serves) Find(id decision.BackendID) Backend { return serving{s, id} }
func (s serving) Exchange(context.Context, Attempt) (decision.Result, any) {
	s.sent <- s.id
	return decision.OK, nil
}

// A process that stood still (SIGSTOP, no processor) has a request waiting for it, and beside it the news that its server drains.
// The news goes first. Where none is to be had, or the register must be asked and paid for, the request goes out all the same, and
// soon.
func TestNewsGoesBeforeWhatHasWaited(t *testing.T) {
	member := func(id string, s decision.BackendState) Endpoint {
		return Endpoint{ID: id, Addr: id + ":1", State: s, Weight: 1}
	}
	news := EndpointList{Version: 2, Full: true, Endpoints: []Endpoint{member("a", decision.Draining), member("b", decision.Ready)}}
	for name, c := range map[string]struct {
		stood     time.Duration
		onRequest bool
		fetch     func(ctx context.Context) (EndpointList, error)
		want      string
	}{
		"news":            {time.Second, false, func(context.Context) (EndpointList, error) { return news, nil }, "b"},
		"a silent agent":  {time.Second, false, func(ctx context.Context) (EndpointList, error) { <-ctx.Done(); return EndpointList{}, ctx.Err() }, "a"},
		"no agent":        {time.Second, false, func(context.Context) (EndpointList, error) { return EndpointList{}, errors.New("refused") }, "a"},
		"past news":       {time.Second, false, func(context.Context) (EndpointList, error) { l := news; l.Version = 0; return l, nil }, "a"},
		"asked for":       {time.Second, true, func(context.Context) (EndpointList, error) { t.Error("it is asked"); return news, nil }, "a"},
		"as long as ever": {20 * time.Millisecond, false, func(context.Context) (EndpointList, error) { t.Error("it is asked"); return news, nil }, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig()
				cfg.PolledDiscovery, cfg.Constraints.DrainGrace, cfg.Constraints.MaxListAge = c.onRequest, 250*time.Millisecond, time.Hour
				up := serves{sent: make(chan decision.BackendID, 8)}
				l, err := New(Options{Decision: cfg, Seed: 1, Upstream: up, Source: agent{fetch: c.fetch},
					InitialEndpoints: EndpointList{Version: 1, Full: true, Endpoints: []Endpoint{member("a", decision.Ready)}}})
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() { l.Run(ctx); close(ended) }()
				time.Sleep(time.Second)
				r := testRequest(l)
				stopped := make(chan struct{})
				l.Post(func() { close(stopped); time.Sleep(c.stood) })
				<-stopped
				l.Post(func() { l.Submit(r) })
				woken := time.Now().Add(c.stood)
				if a := <-r.Result(); a.Outcome != Served {
					t.Errorf("ended as %v", a.Outcome)
				}
				if to := <-up.sent; to != BackendID(c.want) {
					t.Errorf("sent to the wrong server, want %s", c.want)
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
