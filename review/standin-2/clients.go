//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request. status is 0 if it got no answer.
type answer struct {
	id, class string
	sentAt    time.Time
	took      time.Duration
	status    int
	body      string
	err       error
}

// clients send requests to proxies, as the protocol page has it.
type clients struct {
	world *world
	http  *http.Client
	last  atomic.Int64

	mu      sync.Mutex
	answers []answer
}

func newClients(w *world) *clients {
	return &clients{world: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}}
}

// class is a request class of the site.
type class struct {
	name   string
	method string
	giveUp time.Duration
}

var (
	driverPosition = class{"driver-position", http.MethodGet, time.Second}
	tripClose      = class{"trip-close", http.MethodPost, time.Second}
	driverPayout   = class{"driver-payout", http.MethodPost, 2 * time.Second}
)

// send sends one request and returns its answer.
func (c *clients) send(to string, k class) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x3b1f03aa5c000000+c.last.Add(1)), class: k.name, sentAt: time.Now()}
	body := io.Reader(nil)
	if k.method == http.MethodPost {
		body = strings.NewReader("a trip")
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.giveUp+5*time.Second) // the judge sees answers that come too late
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, k.method, "http://"+to+"/api", body)
	if err == nil {
		q.Header = http.Header{
			"X-Request-Id": {a.id}, "X-Priority-Class": {k.name}, "X-Tenant-Id": {"umurava-taxi"},
			"X-Timeout-Ms": {strconv.FormatInt(k.giveUp.Milliseconds(), 10)},
		}
		var resp *http.Response
		if resp, err = c.http.Do(q); err == nil {
			text, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			a.status, a.body, err = resp.StatusCode, string(text), readErr
		}
	}
	a.err = err
	a.took = time.Since(a.sentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// tally counts the answers by their status.
func (c *clients) tally() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, a := range c.answers {
		key := strconv.Itoa(a.status)
		if a.err != nil {
			key = "no whole answer"
		}
		counts[key]++
	}
	return counts
}
