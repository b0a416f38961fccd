package engine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"lapisspread/decision"
)

// eventBuffer is the maximum number of posted events that wait before Post blocks.
const eventBuffer = 256

// Engine runs one service. Only the goroutine of Run may use its fields, except opts, clock, log, events, done and
// workers, which any goroutine may use.
type Engine struct {
	opts    Options
	clock   Clock
	log     *slog.Logger
	decider decider
	random  *rand.Rand

	events         chan func()
	done           chan struct{}   // closed when the loop has ended
	workers        sync.WaitGroup  // goroutines started by startWorker
	ctx            context.Context // context of the loop and of all workers
	deferred       []func()        // events to handle right after the current one
	lastStallCheck time.Duration   // when refreshAfterStall last ran

	timers        timerHeap
	timerSequence uint64
	pendingTokens map[uint64]int // number of pending timers of the decision module, by token

	requests      map[decision.RequestID]*Request
	lastRequestID decision.RequestID

	source          Source
	nextSource      Source // replaces source when switchTimer fires; nil if no switch is due
	switchTimer     *timer
	listVersion     uint32
	listKnown       bool // a full list came from source, or source is the first one
	stopWatch       context.CancelFunc
	watchGeneration int // number of the current watch; events of earlier watches are ignored
	zoneNumbers     map[string]int
	kindNumbers     map[string]int
	detached        map[string]bool // names of the backends that are detached in the decision module

	readinessChecks  []*readinessCheck
	currentReadiness *readinessCheck // set while CheckHealthNow starts the health checks of this readiness check
}

// New returns an engine, which does nothing until Run is called. The error is a *decision.SettingError that names the
// invalid setting in Options.Decision.
func New(opts Options) (*Engine, error) {
	opts.setDefaults()
	e := &Engine{
		opts:          opts,
		clock:         NewClock(),
		log:           opts.Log,
		random:        rand.New(rand.NewPCG(opts.Seed, 1)),
		events:        make(chan func(), eventBuffer),
		done:          make(chan struct{}),
		pendingTokens: map[uint64]int{},
		requests:      map[decision.RequestID]*Request{},
		source:        opts.Source,
		listKnown:     true,
		stopWatch:     func() {},
		zoneNumbers:   indexByName(opts.Zones),
		kindNumbers:   indexByName(opts.Kinds),
	}
	balancer, err := decision.New(opts.Decision, opts.Seed, host{e})
	if err != nil {
		return nil, err
	}
	e.decider = balancer
	return e, nil
}

// indexByName maps each name to its index in names.
func indexByName(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}

// Clock returns the clock that deadlines refer to. Any goroutine may call it.
func (e *Engine) Clock() Clock { return e.clock }

// Post queues an event for the loop, which handles events in the order in which they were posted. It blocks while
// eventBuffer events are queued, so the loop's own goroutine must not call it: that would be a deadlock. Once the loop
// has ended, events may be dropped silently.
func (e *Engine) Post(event func()) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// Snapshot returns what the decision module has learned, for the process that replaces this one. It blocks until the
// loop has handled the call; ok is false if the loop ends first. Any goroutine except the loop's own may call it: in
// the loop's goroutine the call would be a deadlock.
func (e *Engine) Snapshot() (snapshot decision.Snapshot, ok bool) {
	taken := make(chan decision.Snapshot, 1)
	e.Post(func() { taken <- e.decider.Snapshot(e.clock.Now()) })
	select {
	case snapshot = <-taken:
		return snapshot, true
	case <-e.done:
		return snapshot, false
	}
}
