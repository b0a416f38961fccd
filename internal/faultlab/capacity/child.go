package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/route"
	"lapisspread/internal/supervisor"
)

// place is a child's beginning: its hollow proxies.
type place struct {
	Fleet    string // path of the fleet's file
	Dir      string // of state folders
	Services []string
	Proxies  []placed
	Paper    bool  // they take nothing up, and bear the rig's work alone
	Collect  int   // see Need
	Room     int64 // bytes that all of them may hold, with garbage; 0 is no bound
}

// placed is one hollow proxy.
type placed struct {
	No        int
	Name      string
	Flaw      string
	Rate, Bad float64
}

// order is what a child is told, a line of JSON each.
type order struct {
	ID      int
	Expect  *expect
	Sample  []route.Request
	Known   []string // hashes: of others the numbers are asked for
	Figures bool
	Collect bool // figures after a collection
	Anew    []string
	Empty   bool
	Cut     *bool
	End     bool
}

// expect is what a proxy shall decide by at last: each of some requests as one of the services listed for it.
type expect struct {
	ID       int
	Requests []route.Request
	Services [][]string
}

func (e *expect) met(service func(q *route.Request) string) bool {
	for i := range e.Requests {
		got, ok := service(&e.Requests[i]), false
		for _, want := range e.Services[i] {
			ok = ok || got == want
		}
		if !ok {
			return false
		}
	}
	return true
}

// event is what a child tells, a line of JSON each.
type event struct {
	Ready  bool     `json:",omitempty"`
	Seen   *seen    `json:",omitempty"`
	Broken *broken  `json:",omitempty"`
	ID     int      `json:",omitempty"` // of the order that it answers
	Sample []sample `json:",omitempty"`
	Fig    *figures `json:",omitempty"`
	Err    string   `json:",omitempty"`
}

// seen is that a proxy decides as expected.
type seen struct {
	ID    int
	Proxy string
	At    time.Duration // by the machine's clock
}

type broken struct{ Proxy, What string }

// sample is how a proxy decides.
type sample struct {
	Proxy    string
	Says     rollout.Version
	Services []string
	Numbers  map[string]uint64 // of the files that its policy says it comes of
}

// figures are a child's since its start.
type figures struct {
	Policy, Budget int64 // bytes, of all its proxies
	CPU            time.Duration
	Anon, Live     int64 // bytes: of memory that no file stands behind; of what is alive, with goroutines' stacks
	Troubles       map[string]int
	At             time.Duration
}

const (
	watchEvery = 20 * time.Millisecond
	workEvery  = 100 * time.Millisecond

	collectEvery = 500 * time.Millisecond
)

type child struct {
	place   place
	proxies []*hollow
	percent int // that the collector goes by; 0 is not set
	by      map[string]*hollow

	out   sync.Mutex
	write *json.Encoder

	mu      sync.Mutex
	pending map[*hollow][]*expect
	resting map[*hollow]bool // being begun anew
}

// Child runs hollow proxies as the process that has started this one says, until it ends or says so.
func Child(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 64<<20)
	if !lines.Scan() {
		return fmt.Errorf("nothing was said: %w", lines.Err())
	}
	c := &child{write: json.NewEncoder(out), by: map[string]*hollow{}, pending: map[*hollow][]*expect{}, resting: map[*hollow]bool{}}
	if err := json.Unmarshal(lines.Bytes(), &c.place); err != nil {
		return err
	}
	file, err := api.Load(c.place.Fleet)
	if err != nil {
		return err
	}
	for _, p := range c.place.Proxies {
		h := &hollow{no: p.No, name: p.Name, file: *file, flaw: p.Flaw, rate: p.Rate, bad: p.Bad, paper: c.place.Paper, policy: newMeter(), budget: newMeter(),
			has: map[string]bool{}}
		for _, s := range c.place.Services {
			h.has[s] = true
		}
		h.file.StateDir = stateOf(c.place.Dir, h.name)
		c.proxies, c.by[h.name] = append(c.proxies, h), h
		if err := h.start(); err != nil {
			return err
		}
	}
	over := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { c.every(over, watchEvery, func(time.Duration) { c.watch() }) })
	running.Go(func() { c.every(over, collectEvery, func(time.Duration) { c.collect() }) })
	running.Go(func() {
		c.every(over, workEvery, func(d time.Duration) {
			for _, h := range c.proxies {
				h.work(d)
			}
		})
	})
	c.tell(event{Ready: true})
	for lines.Scan() {
		var o order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return err
		}
		if o.End {
			break
		}
		c.do(&o)
	}
	close(over)
	running.Wait()
	var all sync.WaitGroup
	for _, h := range c.proxies {
		all.Go(h.stop)
	}
	all.Wait()
	return lines.Err()
}

// collect has the collector come round as seldom as the room allows: the less is alive, the more garbage may stand.
func (c *child) collect() {
	if c.place.Room == 0 {
		return
	}
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	next := percentOf(float64(c.place.Room), float64(live[0].Value.Uint64()))
	next = max(next, c.place.Collect)
	if c.percent == 0 || next*10 < c.percent*9 || next*9 > c.percent*10 {
		debug.SetGCPercent(next)
		c.percent = next
	}
}

// percentOf is how much garbage may stand, in percent of what is alive. It is less than there is room for: memory comes in spans.
func percentOf(room, live float64) int {
	return int(min(100, max(leastCollect, 70*(room/max(.1, live)-1))))
}

// every does something until over closes. A process that was stopped does not make up for it: one time is a second at most.
func (c *child) every(over <-chan struct{}, d time.Duration, do func(since time.Duration)) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		now := time.Now()
		do(min(now.Sub(last), time.Second))
		last = now
	}
}

func (c *child) tell(e event) {
	c.out.Lock()
	defer c.out.Unlock()
	_ = c.write.Encode(e) // whoever listened is gone, and the end of orders says so
}

// watch looks how each proxy decides, and whether it has gone back.
func (c *child) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.proxies {
		if c.resting[h] {
			continue
		}
		if what := h.back(); what != "" {
			c.tell(event{Broken: &broken{h.name, what}})
		}
		waits := c.pending[h]
		if len(waits) == 0 {
			continue
		}
		now := h.now.Load()
		left := waits[:0]
		for _, e := range waits {
			if e.met(now.service) {
				c.tell(event{Seen: &seen{e.ID, h.name, supervisor.Boottime()}})
			} else {
				left = append(left, e)
			}
		}
		c.pending[h] = left
	}
}

func (c *child) do(o *order) {
	answer := event{ID: o.ID}
	switch {
	case o.Expect != nil:
		if c.place.Paper { // it looks once, for the rig's work
			for _, h := range c.proxies {
				o.Expect.met(h.now.Load().service)
			}
			return
		}
		c.mu.Lock()
		for _, h := range c.proxies {
			c.pending[h] = append(c.pending[h], o.Expect)
		}
		c.mu.Unlock()
		return
	case o.Sample != nil:
		answer.Sample = make([]sample, len(c.proxies))
		var all sync.WaitGroup
		for i, h := range c.proxies {
			all.Go(func() {
				s := sample{Proxy: h.name}
				s.Says, s.Services = h.decisions(o.Sample)
				if s.Says.Hash != "" && !slices.Contains(o.Known, s.Says.Hash) {
					s.Numbers = h.numbers()
				}
				answer.Sample[i] = s
			})
		}
		all.Wait()
	case o.Figures:
		f := c.figures(o.Collect)
		answer.Fig = &f
	case o.Cut != nil:
		for _, h := range c.proxies {
			h.policy.set(*o.Cut)
			h.budget.set(*o.Cut)
		}
	case len(o.Anew) > 0:
		var all sync.WaitGroup
		var mu sync.Mutex
		for _, name := range o.Anew {
			h := c.by[name]
			c.mu.Lock()
			c.resting[h] = true
			c.mu.Unlock()
			all.Go(func() {
				err := h.anew(o.Empty)
				c.mu.Lock()
				h.last = rollout.Version{} // another process: what it kept may be older
				delete(c.resting, h)
				c.mu.Unlock()
				if err != nil {
					mu.Lock()
					answer.Err = err.Error()
					mu.Unlock()
				}
			})
		}
		all.Wait()
	}
	c.tell(answer)
}

// numbers are of the files that the policy in force says it comes of, but for the first ones.
func (h *hollow) numbers() map[string]uint64 {
	now := h.now.Load()
	if now == nil || now.taken.Policy == nil {
		return nil
	}
	out := map[string]uint64{}
	for i := range now.taken.Policy.Routes {
		if from := &now.taken.Policy.Routes[i].Source; from.Number > 1 {
			out[from.Namespace] = from.Number
		}
	}
	return out
}

func (c *child) figures(collect bool) figures {
	f := figures{Troubles: map[string]int{}, At: supervisor.Boottime()}
	for _, h := range c.proxies {
		f.Policy += h.policy.bytes()
		f.Budget += h.budget.bytes()
		h.mu.Lock()
		for _, t := range h.policies.PolicyStatus().Faults {
			f.Troubles[t.Error] += int(t.Count)
		}
		h.mu.Unlock()
	}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		f.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	f.Anon = anon(os.Getpid())
	if collect {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		f.Live = int64(m.HeapAlloc + m.StackInuse)
	}
	return f
}

// anon is a process's memory that no file stands behind, in bytes; 0 if it has ended.
func anon(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "\nRssAnon:")
	var kb int64
	fmt.Sscan(rest, &kb)
	return kb << 10
}

// cpuOf is the processor time of a process, of the threads that it has; 0 if it has ended. Go lets none end but those that were locked.
func cpuOf(pid int) time.Duration {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	var sum int64
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has just ended
		}
		var ns int64
		fmt.Sscan(string(text), &ns)
		sum += ns
	}
	return time.Duration(sum)
}
