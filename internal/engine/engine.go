package engine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"lapisspread/decision"
)

// eventBuffer is how many posted events may wait before Post blocks.
const eventBuffer = 256

// Engine runs one service. Its fields belong to the goroutine of Run, but for opts, clock, log, events, done and
// workers, which any goroutine may use.
type Engine struct {
	opts    Options
	clock   Clock
	log     *slog.Logger
	decider decider
	random  *rand.Rand

	events   chan func()
	done     chan struct{}   // closed when the loop has ended
	workers  sync.WaitGroup  // goroutines started by startWorker
	ctx      context.Context // of the loop and of all workers
	deferred []func()        // events that follow the one being handled
	lastTurn time.Duration   // when the loop last came round

	timers        timerHeap
	timerSequence uint64
	pendingTokens map[uint64]int // timers that the decision module has set, by token

	requests      map[decision.RequestID]*Request
	lastRequestID decision.RequestID

	source          Source
	nextSource      Source // replaces source when switchTimer fires; nil if no switch is due
	switchTimer     *timer
	listVersion     uint32
	listKnown       bool // a full list came from source, or source is the first one
	stopWatch       context.CancelFunc
	watchGeneration int // counts watches, so that events of an earlier one are distinguished
	zoneNumbers     map[string]int
	kindNumbers     map[string]int
	detached        map[string]bool // names of the backends that the decision module has as detached

	readinessChecks  []*readinessCheck
	currentReadiness *readinessCheck // the one whose health checks the decision module is starting just now
}

// New makes an engine, which does nothing until Run. An error is a *decision.SettingError that names the setting of
// Options.Decision that makes no sense.
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

func indexByName(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}

// Clock is the clock that deadlines go by. Any goroutine may call it.
func (e *Engine) Clock() Clock { return e.clock }

// Post hands an event to the loop, which handles events in the order in which they were posted. It blocks while
// eventBuffer events wait, so the loop's own goroutine must not call it: it would wait for itself. Once the loop has
// ended, events may be dropped without notice.
func (e *Engine) Post(event func()) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// Snapshot returns what the decision module has learned, for the process that comes next; ok is false if the loop ends
// first. Any goroutine but the loop's own may call it, which would wait for itself; it blocks until the loop has
// come to it.
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
