// Package loadgen drives an HTTP address in an open loop: requests leave at their times whatever has become of the
// earlier ones, and each is timed from when it should have left. So a server that stalls is charged with all that
// would have come meanwhile (no coordinated omission).
package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options say what is sent.
type Options struct {
	URL      string
	Method   string // GET if empty
	Header   http.Header
	Body     []byte
	Rate     float64 // a second, at the start
	RampTo   float64 // a second, at the end; the rate at the start if 0
	Duration time.Duration
	Timeout  time.Duration // of one request; 10 s if 0
	InFlight int           // at most; 10,000 if 0. What finds no place is not sent and counts as Shed
	Even     bool          // evenly spaced, in place of a Poisson process
	Seed     uint64
	Progress func(sent, ok, failed int, now time.Duration) // once a second; may be nil
}

// Result is what came of it. Latencies are of all answers, in microseconds.
type Result struct {
	Planned, Sent, OK, Failed, Shed int
	Statuses                        map[int]int
	Errors                          map[string]int // a few kinds, counted
	Latency                         *hdrhistogram.Histogram
	LateSend                        *hdrhistogram.Histogram // how late requests left, in microseconds
	Took                            time.Duration
}

// Quantile is a latency that so many of 100 answers stay under.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Limits of a run.
const (
	MostRate     = 200_000
	MostDuration = time.Hour
	mostKinds    = 20
)

func (o *Options) check() error {
	u, err := url.Parse(o.URL)
	switch {
	case err != nil:
		return fmt.Errorf("url: %w", err)
	case u.Scheme != "http" && u.Scheme != "https":
		return fmt.Errorf("url: %q: wanted http or https", o.URL)
	case !loopback(u.Hostname()):
		return fmt.Errorf("url: %s is not an address of this machine's loopback; only those are loaded", u.Hostname())
	case o.Rate <= 0 || o.Rate > MostRate || o.RampTo < 0 || o.RampTo > MostRate:
		return fmt.Errorf("rate: wanted above 0 and at most %d a second", MostRate)
	case o.Duration <= 0 || o.Duration > MostDuration:
		return fmt.Errorf("duration: wanted above 0 and at most %v", MostDuration)
	}
	return nil
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Run sends for the given time and waits for what is out. When ctx ends it stops sending; the result holds what
// was seen.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.Timeout == 0 {
		o.Timeout = 10 * time.Second
	}
	if o.InFlight == 0 {
		o.InFlight = 10_000
	}
	if o.Method == "" {
		o.Method = http.MethodGet
	}
	if o.RampTo == 0 {
		o.RampTo = o.Rate
	}
	transport := &http.Transport{MaxIdleConns: o.InFlight, MaxIdleConnsPerHost: o.InFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	s := &sender{o: &o, client: &http.Client{Transport: transport, Timeout: o.Timeout, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}, places: make(chan struct{}, o.InFlight), res: &Result{Statuses: map[int]int{}, Errors: map[string]int{},
		Latency:  hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3),
		LateSend: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 2)}}
	s.send(ctx)
	s.out.Wait()
	return s.res, nil
}

type sender struct {
	o      *Options
	client *http.Client
	places chan struct{}
	out    sync.WaitGroup

	mu  sync.Mutex
	res *Result
}

// send lets requests leave at their times.
func (s *sender) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.o.Seed, 1))
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	shown := time.Second
	for at := time.Duration(0); ; {
		part := float64(at) / float64(s.o.Duration)
		rate := s.o.Rate + (s.o.RampTo-s.o.Rate)*part
		gap := 1 / rate
		if !s.o.Even {
			gap *= rng.ExpFloat64()
		}
		at += time.Duration(gap * float64(time.Second))
		if at >= s.o.Duration {
			break
		}
		if wait := at - time.Since(start); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		s.res.Planned++
		due := start.Add(at)
		select {
		case s.places <- struct{}{}:
			s.out.Add(1)
			go s.one(due)
		default:
			s.mu.Lock()
			s.res.Shed++
			s.mu.Unlock()
		}
		if s.o.Progress != nil && at >= shown {
			shown += time.Second
			s.mu.Lock()
			sent, ok, failed := s.res.Sent, s.res.OK, s.res.Failed
			s.mu.Unlock()
			s.o.Progress(sent, ok, failed, at)
		}
	}
	s.res.Took = time.Since(start)
}

// one sends a request that was due at a time.
func (s *sender) one(due time.Time) {
	defer func() { <-s.places; s.out.Done() }()
	late := time.Since(due)
	status, err := s.exchange()
	took := time.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.res.Sent++
	_ = s.res.LateSend.RecordValue(max(1, late.Microseconds()))
	_ = s.res.Latency.RecordValue(max(1, took.Microseconds()))
	if err != nil {
		s.res.Failed++
		kind := kindOf(err)
		if _, known := s.res.Errors[kind]; !known && len(s.res.Errors) >= mostKinds {
			kind = "other"
		}
		s.res.Errors[kind]++
		return
	}
	s.res.Statuses[status]++
	if status >= 200 && status < 300 {
		s.res.OK++
	} else {
		s.res.Failed++
	}
}

func kindOf(err error) string {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return "timed out"
	}
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err.Error()
		}
		err = next
	}
}

func (s *sender) exchange() (int, error) {
	req, err := http.NewRequest(s.o.Method, s.o.URL, bytes.NewReader(s.o.Body))
	if err != nil {
		return 0, err
	}
	for k, v := range s.o.Header {
		req.Header[k] = v
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Aim is what a rate must hold.
type Aim struct {
	P99    time.Duration
	Errors float64 // share that may fail
}

// Step is one rate that a search has tried.
type Step struct {
	Rate float64
	P99  time.Duration
	Held bool
	Why  string // it did not
}

// sendShare is the part of the asked rate that must have been sent for a step to count.
const sendShare = 0.97

// Search finds the highest rate that holds the aim, to one part in 20: it doubles from o.Rate until one does not
// hold, up to most, and halves the gap from there. Each step lasts o.Duration.
func Search(ctx context.Context, o Options, aim Aim, most float64, told func(Step)) (float64, []Step, error) {
	var steps []Step
	rate, err := search(o.Rate, most, func(rate float64) (bool, error) {
		run := o
		run.Rate, run.RampTo = rate, 0
		res, err := Run(ctx, run)
		if err != nil {
			return false, err
		}
		if err := ctx.Err(); err != nil {
			return false, err
		}
		st := Step{Rate: rate, P99: res.Quantile(99), Held: true}
		sent := float64(res.Sent) / res.Took.Seconds()
		switch {
		case sent < sendShare*rate:
			st.Held, st.Why = false, fmt.Sprintf("only %.0f a second could be sent", sent)
		case float64(res.Failed+res.Shed) > aim.Errors*float64(res.Planned):
			st.Held, st.Why = false, fmt.Sprintf("%d of %d failed", res.Failed+res.Shed, res.Planned)
		case st.P99 > aim.P99:
			st.Held, st.Why = false, fmt.Sprintf("p99 %v", st.P99)
		}
		steps = append(steps, st)
		if told != nil {
			told(st)
		}
		return st.Held, nil
	})
	return rate, steps, err
}

// search finds the highest rate that holds, from a first one up to most.
func search(first, most float64, try func(rate float64) (bool, error)) (float64, error) {
	low, high := 0.0, first
	for high <= most {
		held, err := try(high)
		if err != nil {
			return low, err
		}
		if !held {
			break
		}
		low, high = high, high*2
	}
	if low == 0 {
		return 0, nil
	}
	for high = min(high, most); high-low > low/20; {
		mid := (low + high) / 2
		held, err := try(mid)
		if err != nil {
			return low, err
		}
		if held {
			low = mid
		} else {
			high = mid
		}
	}
	return low, nil
}
