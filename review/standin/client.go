package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id, class string
	sent      time.Time
	took      time.Duration
	status    int    // 0 if there was none
	body      string // of a 200
	err       error
}

// classShare is a class and its share of the requests.
type classShare struct {
	name    string
	share   float64
	method  string
	timeout int // ms
}

var mix = []classShare{
	{"driver-position", 0.38, http.MethodGet, 1000},
	{"ride-accept", 0.29, http.MethodPost, 750},
	{"trip-close", 0.20, http.MethodPost, 1000},
	{"driver-payout", 0.13, http.MethodPost, 2000},
}

// clients send requests to a proxy, each connection one at a time.
type clients struct {
	lab  *lab
	addr func() string
	path string
	http *http.Client

	mu      sync.Mutex
	answers []answer
	running sync.WaitGroup
}

func newClients(l *lab, addr func() string) *clients {
	d := &net.Dialer{Timeout: 2 * time.Second}
	return &clients{lab: l, addr: addr, path: "/api", http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 200, DisableCompression: true,
	}}}
}

func pick() classShare {
	x := rand.Float64()
	for _, c := range mix {
		if x < c.share {
			return c
		}
		x -= c.share
	}
	return mix[0]
}

// one sends one request and waits for its answer, up to a second past its time.
func (c *clients) one(class classShare) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	var body io.Reader
	if class.method == http.MethodPost {
		body = strings.NewReader("{\"trip\":\"" + id + "\"}")
	}
	q, err := http.NewRequest(class.method, "http://"+c.addr()+c.path, body)
	if err != nil {
		return
	}
	q.Header.Set("X-Request-ID", id)
	q.Header.Set("X-Priority-Class", class.name)
	q.Header.Set("X-Tenant-Id", "umurava-taxi")
	q.Header.Set("X-Timeout-Ms", fmt.Sprint(class.timeout))
	a := answer{id: id, class: class.name, sent: time.Now()}
	client := *c.http
	client.Timeout = time.Duration(class.timeout)*time.Millisecond + time.Second
	resp, err := client.Do(q)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			a.status, a.body = resp.StatusCode, string(text)
		}
	}
	a.err, a.took = err, time.Since(a.sent)
	c.lab.note("client: %s %s sent at %.3f s, answered %d after %.1f ms %s %v", class.name, id,
		a.sent.Sub(c.lab.began).Seconds(), a.status, float64(a.took.Microseconds())/1000, strings.TrimSpace(a.body), errText(err))
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// load sends requests at a mean rate for a time, at random moments.
func (c *clients) load(perSecond float64, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		class := pick()
		c.running.Go(func() { c.one(class) })
	}
}

// wait waits for all answers and returns them.
func (c *clients) wait() []answer {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}
