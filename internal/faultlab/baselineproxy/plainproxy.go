// Package baselineproxy is what a team would put in the proxy's place: net/http/httputil.ReverseProxy behind the
// platform's protocol, with a plain choice of the backend and plain retries. It also has, on purpose, one flaw each
// on which the judge is tried. It is for comparison only.
package baselineproxy

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/proxy"
)

// watchHold is how long a watch may be held. One from which nothing has come a second later is opened anew.
const watchHold = 2 * time.Second

// mostAttempts bounds the attempts for one request.
const mostAttempts = 3

// Proxy is a plain proxy.
type Proxy struct {
	policy  string
	cfg     proxy.Config
	unsafe  map[string]bool // by class
	forward *httputil.ReverseProxy
	net     *http.Transport

	mu       sync.Mutex
	backends map[string]*backend
	next     int
	count    map[string]int // of requests, for flaws that strike one in so many
	flooded  *backend
	deaf     atomic.Bool // requests are not read any more
	until    time.Time
}

type backend struct {
	id, addr, state string
	started         int64
	out             atomic.Int64
}

// New makes a plain proxy from the configuration that a proxy is told.
func New(policy string, cfg proxy.Config) *Proxy {
	p := &Proxy{policy: policy, cfg: cfg, unsafe: map[string]bool{}, backends: map[string]*backend{}, count: map[string]int{}}
	for _, c := range cfg.Decision.Classes {
		p.unsafe[c.Name] = c.Idempotency == 0
	}
	p.net = &http.Transport{DialContext: (&net.Dialer{Timeout: cfg.Decision.Capabilities.ConnectTimeout}).DialContext, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 30 * time.Second}
	p.forward = &httputil.ReverseProxy{Transport: p, Rewrite: func(r *httputil.ProxyRequest) { r.Out.URL.Scheme, r.Out.URL.Host = "http", "backend" },
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			var refusal *refusal
			if errors.As(err, &refusal) {
				w.Header().Set("Retry-After", "0.1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusBadGateway)
		}}
	return p
}

// refusal is the end of a request that never ran.
type refusal struct{ error }

// Run serves until ctx ends, and then answers what it has.
func (p *Proxy) Run(ctx context.Context) error {
	l, err := p.listen()
	if err != nil {
		return err
	}
	ready := make(chan struct{})
	go p.follow(ctx, ready)
	select {
	case <-ready:
	case <-ctx.Done():
		return l.Close()
	case <-time.After(5 * time.Second):
		l.Close()
		return errors.New("the register does not answer")
	}
	s := &http.Server{Handler: p, ReadHeaderTimeout: 3 * time.Second}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		switch p.policy {
		case "stops-reading":
			p.deaf.Store(true)
			select {} // until SIGKILL
		case "ends-at-once":
			return nil
		}
		s.SetKeepAlivesEnabled(false)
		time.Sleep(acceptOn)
		end, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return s.Shutdown(end)
	}
}

// acceptOn is how long after SIGTERM connections may still come.
const acceptOn = 500 * time.Millisecond

func (p *Proxy) listen() (net.Listener, error) {
	if p.cfg.PassedSocket == "" {
		return net.Listen("tcp", p.cfg.Listen)
	}
	fd, err := strconv.Atoi(p.cfg.PassedSocket)
	if err != nil {
		return nil, fmt.Errorf("the passed socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "socket")
	defer f.Close()
	return net.FileListener(f)
}

// follow keeps the list of backends. It closes ready once there is a first one.
func (p *Proxy) follow(ctx context.Context, ready chan struct{}) {
	client := &http.Client{Timeout: watchHold + time.Second}
	if p.policy == "keeps-silent-watch" {
		client.Timeout = 0
	}
	from := -1
	for first := true; ctx.Err() == nil; {
		target := "http://" + p.cfg.Discovery + "/catalog/members"
		if from >= 0 {
			target += fmt.Sprintf("?from=%d&hold_ms=%d", from, watchHold.Milliseconds())
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return
		}
		var list struct {
			Generation int
			Reset      bool
			Instances  []struct {
				ID        string `json:"instanceId"`
				Addr      string `json:"hostPort"`
				Lifecycle string `json:"lifecycle"`
				Started   int64  `json:"startedAtMs"`
			}
		}
		resp, err := client.Do(req)
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&list)
			resp.Body.Close()
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		from = list.Generation
		p.mu.Lock()
		if list.Reset {
			clear(p.backends)
		}
		for _, e := range list.Instances {
			b := p.backends[e.ID]
			if b == nil {
				b = &backend{id: e.ID}
				p.backends[e.ID] = b
			}
			if e.Started > b.started && p.policy == "floods-cold" {
				p.flooded, p.until = b, time.Now().Add(3*time.Second)
			}
			b.addr, b.state, b.started = e.Addr, e.Lifecycle, e.Started
			if p.policy == "sends-to-drained" && b.state == "leaving" {
				b.state = "active"
			}
		}
		p.mu.Unlock()
		if first {
			first = false
			close(ready)
		}
	}
}

// every tells whether this is the n-th, 2n-th, ... of what it is asked for.
func (p *Proxy) every(what string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[what]++
	return p.count[what]%n == 0
}

func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.deaf.Load() {
		select {}
	}
	if r.URL.Path == "/_health" {
		return
	}
	ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	class := r.Header.Get("X-Priority-Class")
	if _, known := p.unsafe[class]; !known || err != nil || ms <= 0 || r.Header.Get("X-Request-ID") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	patience := time.Duration(ms) * time.Millisecond
	unsafe := p.unsafe[class]
	switch {
	case p.policy == "answers-late" && p.every("late", 50):
		time.Sleep(patience + 650*time.Millisecond)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case p.policy == "drops" && p.every("drop", 300):
		<-r.Context().Done()
		return
	case p.policy == "hangs-up":
		w.Header().Set("Connection", "close") // so that each comes on a new one
		if p.every("hang up", 50) {
			panic(http.ErrAbortHandler)
		}
	case p.policy == "forges" && p.every("forge", 50):
		fmt.Fprintf(w, "faultlab %s 0 0 %s\n", r.Header.Get("X-Request-ID"), "00112233445566778899aabb")
		return
	case p.policy == "calls-harmless" && unsafe && p.every("harmless", 40):
		ctx, cancel := context.WithTimeout(r.Context(), 5*time.Millisecond)
		defer cancel()
		if resp, err := p.RoundTrip(r.WithContext(ctx)); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// A little before the client's time is over, so that its answer is in time.
	ctx, cancel := context.WithTimeout(r.Context(), patience-time.Millisecond)
	defer cancel()
	p.forward.ServeHTTP(w, r.WithContext(ctx))
}

// RoundTrip takes a request to a backend, and to another where the first surely has not run it or where it is safe.
func (p *Proxy) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(io.LimitReader(orEmpty(r.Body), 1<<16))
	if err != nil {
		return nil, fmt.Errorf("reading the request: %w", err)
	}
	unsafe := p.unsafe[r.Header.Get("X-Priority-Class")]
	var tried []*backend
	for {
		b := p.pick(tried)
		if b == nil {
			return nil, &refusal{errors.New("no backend is left")}
		}
		tried = append(tried, b)
		if p.policy == "repeats-payout" && unsafe && len(tried) == 1 && p.every("repeat", 40) {
			if other := p.pick(tried); other != nil {
				go func() {
					if resp, _, err := p.send(r, other, body); err == nil {
						io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
					}
				}()
			}
		}
		resp, neverRan, err := p.send(r, b, body)
		if err == nil && resp.StatusCode == http.StatusOK {
			return resp, nil
		}
		again := p.policy != "reverse-proxy" && len(tried) < mostAttempts && r.Context().Err() == nil && (neverRan || !unsafe)
		if !again {
			switch {
			case neverRan && p.policy != "reverse-proxy":
				discard(resp)
				return nil, &refusal{errors.New("turned away")}
			case err == nil && resp.StatusCode == http.StatusServiceUnavailable && !neverRan:
				discard(resp)
				return nil, errors.New("it may have run")
			}
			return resp, err
		}
		discard(resp)
	}
}

func discard(resp *http.Response) {
	if resp != nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func orEmpty(r io.Reader) io.Reader {
	if r == nil {
		return http.NoBody
	}
	return r
}

// send carries out one attempt, and tells whether it surely never ran.
func (p *Proxy) send(r *http.Request, b *backend, body []byte) (resp *http.Response, neverRan bool, err error) {
	out := r.Clone(r.Context())
	out.URL = &url.URL{Scheme: "http", Host: b.addr, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out.Body, out.GetBody, out.RequestURI = nil, nil, ""
	out.ContentLength = int64(len(body))
	if len(body) > 0 {
		out.Body = io.NopCloser(&once{body})
	}
	b.out.Add(1)
	defer b.out.Add(-1)
	resp, err = p.net.RoundTrip(out)
	if err != nil {
		var op *net.OpError
		return nil, errors.As(err, &op) && op.Op == "dial", err
	}
	return resp, resp.Header.Get("X-Not-Processed") == "1", nil
}

// once reads a body a single time: net/http then sends it no second time by itself.
type once struct{ rest []byte }

func (o *once) Read(p []byte) (int, error) {
	if len(o.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, o.rest)
	o.rest = o.rest[n:]
	return n, nil
}

// pick chooses a backend that was not tried.
func (p *Proxy) pick(tried []*backend) *backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flooded != nil && time.Now().Before(p.until) && p.flooded.state == "active" && len(tried) == 0 {
		return p.flooded
	}
	var pool []*backend
	for _, b := range p.backends {
		if b.state == "active" && !slices.Contains(tried, b) {
			pool = append(pool, b)
		}
	}
	if len(pool) == 0 {
		return nil
	}
	slices.SortFunc(pool, func(a, b *backend) int { return cmp.Compare(a.id, b.id) })
	switch p.policy {
	case "random":
		return pool[rand.IntN(len(pool))]
	case "least-connections":
		first := rand.IntN(len(pool))
		best := pool[first]
		for i := range pool {
			if b := pool[(first+i)%len(pool)]; b.out.Load() < best.out.Load() {
				best = b
			}
		}
		return best
	default:
		p.next++
		return pool[p.next%len(pool)]
	}
}
