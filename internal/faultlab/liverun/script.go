package liverun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/model"
)

// Fleet is a run as a script sees it.
type Fleet struct {
	r     *Run
	front *front
	ctx   context.Context
}

// Patience is how long a script waits for what must come at last. It says nothing of how long that should take.
const Patience = 2 * time.Minute

// playScript sends the load, and plays the script beside it if there is one.
func (r *Run) playScript(ctx context.Context, f *front) error {
	if r.opts.Script == nil {
		f.load(ctx)
		return nil
	}
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() {
		defer stop()
		ended <- r.opts.Script(&Fleet{r: r, front: f, ctx: loaded})
	}()
	f.load(loaded)
	stop()
	return <-ended
}

// Await waits until something has come about.
func (f *Fleet) Await(what string, is func() bool) error {
	for until := time.Now().Add(Patience); !is(); {
		select {
		case <-f.ctx.Done():
			return fmt.Errorf("the run ended before this: %s", what)
		case <-time.After(20 * time.Millisecond): // some looks ask processes, on a machine that has others to run
		}
		if time.Now().After(until) {
			return fmt.Errorf("not within %v: %s%s", Patience, what, f.stand())
		}
	}
	return nil
}

// Service waits until each of these proxies has served so many requests more.
func (f *Fleet) Service(n int64, proxies ...int) error {
	return f.rises("requests served", n, proxies, func(no int) (int64, error) { return f.front.served[no].Load(), nil })
}

// rises waits until what is counted of each of these proxies has risen by so many. A count that fails under way is taken again.
func (f *Fleet) rises(what string, by int64, proxies []int, count func(no int) (int64, error)) error {
	until := map[int]int64{}
	for _, no := range proxies {
		n, err := count(no)
		if err != nil {
			return err
		}
		until[no] = n + by
	}
	for _, no := range proxies {
		if err := f.Await(fmt.Sprintf("proxy %d: %d more %s", no, by, what), func() bool {
			n, err := count(no)
			return err == nil && n >= until[no]
		}); err != nil {
			return err
		}
	}
	return nil
}

// All are the numbers of all proxies.
func (f *Fleet) All() []int {
	all := make([]int, f.r.spec.Proxies)
	for i := range all {
		all[i] = i
	}
	return all
}

// Pace has only a share of the first tries come from the next one on; 1 is all.
func (f *Fleet) Pace(share float64) {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	f.r.gen.Pace(share)
}

// Kill ends the processes of proxies by SIGKILL, all in one moment.
func (f *Fleet) Kill(proxies ...int) {
	var all sync.WaitGroup
	for _, no := range proxies {
		all.Go(f.r.proxies[no].kill)
	}
	all.Wait()
}

// Start starts new processes of proxies that were killed, all in one moment, and waits until they serve. A process that does not
// come up is a problem of the run.
func (f *Fleet) Start(proxies ...int) {
	var all sync.WaitGroup
	for _, no := range proxies {
		all.Go(f.r.proxies[no].startAgain)
	}
	all.Wait()
}

// Restart ends the processes of proxies in order, all in one moment, and starts new ones in their places: see
// world.Spec.KillAfter.
func (f *Fleet) Restart(proxies ...int) {
	var all sync.WaitGroup
	for _, no := range proxies {
		all.Go(f.r.proxies[no].restart)
	}
	all.Wait()
}

// Do carries out steps of a time line now.
func (f *Fleet) Do(steps ...model.Step) {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	for _, s := range steps {
		f.r.apply(f.r.now(), s)
	}
	f.r.kick()
}

// Nodes does the same to each of the nodes.
func (f *Fleet) Nodes(op model.Op, nodes ...int) {
	for _, n := range nodes {
		f.Do(model.Step{Op: op, Node: n})
	}
}

// Stop takes the processor from proxies, GoOn gives it back.
func (f *Fleet) Stop(proxies ...int) { f.eachProxy(model.OpStopProxy, proxies) }

// GoOn gives proxies their processor back.
func (f *Fleet) GoOn(proxies ...int) { f.eachProxy(model.OpGoOnProxy, proxies) }

func (f *Fleet) eachProxy(op model.Op, proxies []int) {
	for _, no := range proxies {
		f.Do(model.Step{Op: op, Node: no})
	}
}

// Spoil has something befall the state folders of proxies: see world.StateTroubles.
func (f *Fleet) Spoil(do string, proxies ...int) {
	for _, no := range proxies {
		f.Do(model.Step{Op: model.OpState, Node: no, Do: do})
	}
}

// Fabric is the links, where the run has them.
func (f *Fleet) Fabric() (*linkfault.Fabric, error) {
	if f.r.paths == nil {
		return nil, errors.New("the run has no fabric: see Options.Fabric")
	}
	return f.r.paths.fabric, nil
}

// Lose has the register lose its store as far as some proxies see it: a share of the list is left, under new numbers. Found
// brings back the whole list, under further numbers.
func (f *Fleet) Lose(share float64, proxies ...int) {
	for _, no := range proxies {
		f.r.agents[no].lose(true, share)
	}
}

// Found ends that.
func (f *Fleet) Found(proxies ...int) {
	for _, no := range proxies {
		f.r.agents[no].lose(false, 1)
	}
}

// Whole waits until each of these proxies has served so many requests one after the other, and none otherwise between them.
func (f *Fleet) Whole(n int64, proxies ...int) error {
	for _, no := range proxies {
		f.front.inRow[no].Store(0)
	}
	for _, no := range proxies {
		if err := f.Await(fmt.Sprintf("proxy %d: %d requests served in a row", no, n), func() bool { return f.front.inRow[no].Load() >= n }); err != nil {
			return err
		}
	}
	return nil
}

// Uses waits until each of these nodes has got requests, and each proxy has sent some there: a proxy with little traffic uses three of a zone.
func (f *Fleet) Uses(nodes ...int) error {
	return f.Await(fmt.Sprintf("nodes %v get requests, and all proxies send there", nodes), func() bool {
		f.r.mu.Lock()
		defer f.r.mu.Unlock()
		sends := func(to []int, n int) bool { return to[n] > 0 }
		return !slices.ContainsFunc(nodes, func(n int) bool {
			return !slices.ContainsFunc(f.r.sentTo, func(to []int) bool { return sends(to, n) })
		}) && !slices.ContainsFunc(f.r.sentTo, func(to []int) bool {
			return !slices.ContainsFunc(nodes, func(n int) bool { return sends(to, n) })
		})
	})
}

// Silence has the open watches of proxies fall silent: nothing more comes on them, and nothing ends them. A new call works. It
// waits until each has a watch open.
func (f *Fleet) Silence(proxies ...int) error {
	for _, no := range proxies {
		if err := f.Await(fmt.Sprintf("proxy %d: an open watch", no), func() bool {
			f.r.mu.Lock()
			defer f.r.mu.Unlock()
			return f.r.agents[no].silence(f.r.now())
		}); err != nil {
			return err
		}
	}
	return nil
}

// Gone waits until the register has heard of the end of these nodes.
func (f *Fleet) Gone(nodes ...int) error {
	return f.Await(fmt.Sprintf("the register's news that nodes %v are gone", nodes), func() bool {
		return !slices.ContainsFunc(f.r.agents, func(a *agent) bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return slices.ContainsFunc(nodes, func(n int) bool { return a.rows[n].listing != model.Left })
		})
	})
}

// Remember has proxies start with the list as it is now, whatever comes of it, for the rest of the run.
func (f *Fleet) Remember() {
	var lists []catalog
	for _, a := range f.r.agents {
		c, _ := a.catalog(0, true)
		lists = append(lists, c)
	}
	f.r.remembered.Store(&lists)
}

// Told waits until all proxies have been told of the last start of a node.
func (f *Fleet) Told(nodes ...int) error {
	return f.Await("the register's news", func() bool {
		f.r.mu.Lock()
		defer f.r.mu.Unlock()
		return !slices.ContainsFunc(nodes, func(n int) bool {
			w := f.r.fleet.Nodes[n]
			return slices.ContainsFunc(f.r.proxies, func(c *child) bool { return !f.r.ledger.ToldOfStart(c.no, n, w.StartedAt) })
		})
	})
}

// memory is what COMEBACK tells of what a proxy remembers.
type memory struct {
	Recalled string
	Written  int64
}

func (f *Fleet) memory(no int) (m memory, err error) {
	text, err := call(f.r.proxies[no].newest().console, "COMEBACK")
	if err != nil {
		return m, fmt.Errorf("proxy %d: its console: %w", no, err)
	}
	var told struct{ Memory *memory }
	head, _, _ := strings.Cut(text, "\n")
	if err := json.Unmarshal([]byte(head), &told); err != nil || told.Memory == nil {
		return m, fmt.Errorf("proxy %d: COMEBACK tells %q, and nothing of a memory", no, text)
	}
	return *told.Memory, nil
}

// Recalled tells what a proxy that remembers says of what the one before it had left: "yes", "none" or why not.
func (f *Fleet) Recalled(no int) (string, error) {
	m, err := f.memory(no)
	if _, why, more := strings.Cut(m.Recalled, ".memory: "); more { // paths differ from run to run
		return why, err
	}
	return m.Recalled, err
}

// Learned waits until proxies have written down all that they know by now.
func (f *Fleet) Learned(proxies ...int) error {
	return f.rises("memories written", 2, proxies, func(no int) (int64, error) { // one may be on its way
		m, err := f.memory(no)
		return m.Written, err
	})
}

// View is what VIEW tells of a proxy: the levels of all routes, and how many attempts that must never run twice it has kept back.
func (f *Fleet) View(no int) (levels []string, kept int64, err error) {
	text, err := call(f.r.proxies[no].newest().console, "VIEW")
	if err != nil {
		return nil, 0, fmt.Errorf("proxy %d: its console: %w", no, err)
	}
	var told struct {
		Registers []struct{ Routes []struct{ Level string } }
		Forbidden map[string]int64 `json:"attempts_forbidden"`
	}
	head, _, _ := strings.Cut(text, "\n")
	if err := json.Unmarshal([]byte(head), &told); err != nil {
		return nil, 0, fmt.Errorf("proxy %d: VIEW tells %q", no, text)
	}
	for _, r := range told.Registers {
		for _, route := range r.Routes {
			levels = append(levels, route.Level)
		}
	}
	return levels, told.Forbidden["once"], nil
}

// Levels waits until all routes of all proxies are at one of these levels.
func (f *Fleet) Levels(levels ...string) error {
	var failed error
	err := f.Await(fmt.Sprintf("all routes are %v", levels), func() bool {
		for _, no := range f.All() {
			now, _, err := f.View(no)
			if failed = err; err != nil || len(now) == 0 || slices.ContainsFunc(now, func(l string) bool { return !slices.Contains(levels, l) }) {
				return false
			}
		}
		return true
	})
	return errors.Join(err, failed)
}

// Unproved is how many requests that must never run twice, and that clients have sent after a time of the run, have come from proxies to
// nodes whose process had not answered them since Doubt, neither a probe nor a request.
func (f *Fleet) Unproved(after time.Duration) int {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	n := 0
	for _, sent := range f.r.unproved {
		if sent > after {
			n++
		}
	}
	return n
}

// Now is the run's clock.
func (f *Fleet) Now() time.Duration { return f.r.now() }

// Doubt has no node count as one that has answered.
func (f *Fleet) Doubt() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	for _, nodes := range f.r.proved {
		clear(nodes)
	}
}
