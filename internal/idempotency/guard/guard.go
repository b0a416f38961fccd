// Package guard runs each request that must never run twice at most once. It joins an idempotency ledger, its store on
// disk and the callers that wait for a request in flight. With a store, the intent is on disk before a request begins,
// and its answer is on disk before anybody gets it.
//
// Create a Guard with New, call Open once, pass each request to Do, and Close the guard when all of them have ended.
package guard

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/store"
)

// Outcome says how a request ended that Do ran.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // it has an answer, and every further copy gets that
	NeverRan                // it has not run and will not: its next copy is new
	Unknown                 // it may have run
)

// Work runs a request. A Guard calls it once at most; its answer goes to all callers that sent the request.
type Work func() (answer []byte, outcome Outcome)

// defaultWriteTimeout is Options.WriteTimeout if that is 0.
const defaultWriteTimeout = 2 * time.Second

// Options configure a Guard.
type Options struct {
	// Ledger configures the ledger. A negative LostAt says that no earlier process had a ledger; any other value is
	// replaced by the time of New.
	Ledger idempotency.Settings
	// Path is the file of the store; empty keeps the ledger in memory only.
	Path string
	// Now is a monotonic clock.
	Now func() time.Duration
	// Log receives the log lines; nil discards them.
	Log *slog.Logger
	// WriteTimeout bounds each write to disk; a slower write counts as failed. 0 is defaultWriteTimeout, 2 s.
	WriteTimeout time.Duration
}

// Guard runs requests once at most. It is safe for concurrent use.
type Guard struct {
	// Counts are updated by Do.
	Counts Counts

	options Options

	mu     sync.Mutex
	ledger *idempotency.Ledger // nil until the store is read
	// firstTransmissions arrived without the T flag before the store was read, and were rejected.
	firstTransmissions []idempotency.Key
	store              *store.Store // nil without a path, and until it is read
	inFlight           map[idempotency.Key]*call
}

// call is a request in flight. Its fields are set before done is closed.
type call struct {
	done     chan struct{}
	answer   []byte
	outcome  Outcome
	rejected bool // its intent could not be written, so it did not begin
}

// New returns a guard. With a path, Do rejects all requests until Open has read the store. Its error names the
// invalid setting.
func New(o Options) (*Guard, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.Ledger.LostAt >= 0 {
		o.Ledger.LostAt = o.Now() // the clock need not begin at 0
	}
	g := &Guard{options: o, inFlight: map[idempotency.Key]*call{}}
	ledger, err := idempotency.New(o.Ledger)
	if err != nil {
		return nil, err
	}
	if o.Path == "" {
		g.ledger = ledger
	}
	return g, nil
}

// Do calls work unless the request was sent before, and returns the request's answer. retransmitted is the T flag.
//
// The verdict says what was done. With idempotency.Begin, work ran here; with Join it ran for another caller, whose
// end Do waits for; with both the outcome says how it ended. With Answered the answer is that of an earlier copy.
// With any other verdict there is no answer. The outcome has a meaning with Begin and Join only. Ctx ends when the
// client gives up: then Do no longer waits for another caller or for the disk, but still for work.
func (g *Guard) Do(
	ctx context.Context, key idempotency.Key, retransmitted bool, work Work,
) (answer []byte, outcome Outcome, verdict idempotency.Verdict) {
	a := g.admit(key, retransmitted)
	switch a.verdict {
	case idempotency.Begin:
		g.Counts.Started.Add(1)
		g.run(ctx, key, a.call, a.store, work)
		return a.call.result(a.verdict)
	case idempotency.Join:
		g.Counts.Joined.Add(1)
		return a.call.wait(ctx)
	case idempotency.Answered:
		g.Counts.Replayed.Add(1)
	case idempotency.MayHaveRun:
		g.Counts.MayHaveRun.Add(1)
	default:
		g.Counts.Full.Add(1)
	}
	return a.answer, a.outcome, a.verdict
}

// admitResult is what the guard decided on a request that arrived.
type admitResult struct {
	verdict idempotency.Verdict
	answer  []byte       // with idempotency.Answered
	call    *call        // with idempotency.Begin and idempotency.Join
	store   *store.Store // nil without a path
	outcome Outcome      // with all other verdicts
}

// admit decides on a request. With idempotency.Begin its call is in flight, and the caller must pass it to run.
func (g *Guard) admit(key idempotency.Key, retransmitted bool) admitResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger == nil {
		if !retransmitted && len(g.firstTransmissions) < g.options.Ledger.MaxEntries {
			g.firstTransmissions = append(g.firstTransmissions, key)
		}
		return admitResult{verdict: idempotency.Full, outcome: NeverRan}
	}
	verdict, answer := g.ledger.Admit(g.options.Now(), key, retransmitted)
	c := g.inFlight[key]
	if verdict == idempotency.Begin {
		c = &call{done: make(chan struct{}), outcome: Unknown}
		g.inFlight[key] = c
	}
	return admitResult{verdict: verdict, answer: answer, call: c, store: g.store, outcome: Unknown}
}

// wait returns the result of a call that runs for another caller. If ctx ends first, the request may have run.
func (c *call) wait(ctx context.Context) ([]byte, Outcome, idempotency.Verdict) {
	select {
	case <-c.done:
		return c.result(idempotency.Join)
	case <-ctx.Done():
		return nil, Unknown, idempotency.MayHaveRun
	}
}

// result is what callers of a call that has ended get.
func (c *call) result(verdict idempotency.Verdict) ([]byte, Outcome, idempotency.Verdict) {
	if c.rejected {
		return nil, NeverRan, idempotency.Full
	}
	return c.answer, c.outcome, verdict
}

// run persists a request's intent, runs it, and persists how it ended. It ends the call whatever work does: after a
// panic its outcome is unknown.
func (g *Guard) run(ctx context.Context, key idempotency.Key, c *call, s *store.Store, work Work) {
	defer g.end(key, c)
	if s != nil {
		err := g.persist(ctx, func(ctx context.Context) error {
			return s.Write(ctx, idempotency.Record{Key: key})
		})
		if err != nil {
			g.options.Log.Error("an intent could not be written: the request is not begun", "err", err)
			c.outcome = NeverRan
			c.rejected = true
			return
		}
	}
	c.answer, c.outcome = work()
	if s == nil {
		return
	}
	// The write may go on after run has returned, so it gets copies.
	answer, outcome := c.answer, c.outcome
	err := g.persist(ctx, func(ctx context.Context) error {
		switch outcome {
		case Answered:
			return s.Write(ctx, idempotency.Record{Key: key, Completed: true, Answer: answer})
		case NeverRan:
			return s.Delete(ctx, key)
		default:
			return s.Write(ctx, idempotency.Record{Key: key, Uncertain: true})
		}
	})
	if err != nil { // the answer is valid; after a restart this request is one that may have run
		g.options.Log.Error("an end could not be written", "err", err)
	}
}

// end records a call's outcome in the ledger and wakes the callers that wait for it.
func (g *Guard) end(key idempotency.Key, c *call) {
	g.mu.Lock()
	if g.ledger != nil {
		switch c.outcome {
		case Answered:
			g.ledger.Complete(g.options.Now(), key, c.answer)
		case NeverRan:
			g.ledger.Cancel(key)
		default:
			g.ledger.MarkUncertain(g.options.Now(), key)
		}
	}
	delete(g.inFlight, key)
	g.mu.Unlock()
	close(c.done)
}

// persist calls write, and waits for it until ctx ends. The write itself goes on until WriteTimeout: an outcome that
// reaches the disk late is better than none.
func (g *Guard) persist(ctx context.Context, write func(ctx context.Context) error) error {
	done := make(chan error, 1)
	go func() {
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.options.WriteTimeout)
		defer cancel()
		done <- write(writeCtx)
	}()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		g.Counts.DiskErrors.Add(1)
	}
	return err
}
