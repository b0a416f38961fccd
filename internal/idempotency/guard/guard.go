// Package guard runs requests that must never run twice at most once. It combines an idempotency ledger with its store
// on disk, and lets further copies of a request in flight wait for its answer. With a store, the intent of a request is
// written to disk before the request runs, and its answer before a caller gets it.
//
// Create a Guard with New, call Open once, pass each request to Do, and call Close when all calls of Do have returned.
package guard

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/store"
)

// Outcome is the result of running a request.
type Outcome uint8

// Outcomes that Work returns.
const (
	Answered Outcome = iota // the request has an answer, which every further copy gets
	NeverRan                // the request has not run and will not run; its next copy is new
	Unknown                 // the request may have run
)

// Work runs a request. A Guard calls it at most once; all callers that pass the request get its answer.
type Work func() (answer []byte, outcome Outcome)

// defaultWriteTimeout is used if Options.WriteTimeout is 0.
const defaultWriteTimeout = 2 * time.Second

// Options configure a Guard.
type Options struct {
	// Ledger configures the ledger. A negative LostAt means that no earlier process had a ledger; any other value is
	// replaced by the time at which New is called.
	Ledger idempotency.Settings
	// Path is the path of the store's file; with an empty path the ledger is kept only in memory.
	Path string
	// Now returns the time of a monotonic clock.
	Now func() time.Duration
	// Uptime is that of store.Options; nil means the system's.
	Uptime func() store.Uptime
	// Log receives the log lines; nil discards them.
	Log *slog.Logger
	// WriteTimeout is the maximum duration of a write to disk; a slower write counts as failed. 0 means 2 s.
	WriteTimeout time.Duration
}

// Guard runs requests at most once. It is safe for concurrent use.
type Guard struct {
	// Counts holds the number of events of each kind. Do updates it.
	Counts Counts

	options   Options
	openStore storeOpener

	mu     sync.Mutex
	ledger *idempotency.Ledger // nil until the store is loaded, and after Close
	loaded chan struct{}       // closed once ledger is set
	// firstTransmissions are the requests that arrived without the T flag before the store was loaded, and were
	// therefore rejected.
	firstTransmissions []idempotency.Key
	store              *store.Store // nil without a path, until it is loaded, and after Close
	inFlight           map[idempotency.Key]*call
}

// call is a request in flight. Its other fields are set before done is closed.
type call struct {
	done     chan struct{}
	answer   []byte
	outcome  Outcome
	rejected bool // the intent could not be written, so work was not called
}

// New returns a guard. With a path, no request runs until Open has loaded the store. The error names each
// invalid setting.
func New(o Options) (*Guard, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.Ledger.LostAt >= 0 {
		o.Ledger.LostAt = o.Now() // the clock need not start at 0
	}
	g := &Guard{options: o, openStore: store.Open, loaded: make(chan struct{}), inFlight: map[idempotency.Key]*call{}}
	ledger, err := idempotency.New(o.Ledger)
	if err != nil {
		return nil, err
	}
	if o.Path == "" {
		g.setLedger(ledger)
	}
	return g, nil
}

// setLedger makes a ledger the one that decides. The lock must be held if other goroutines use the guard.
func (g *Guard) setLedger(l *idempotency.Ledger) {
	g.ledger = l
	close(g.loaded)
}

// MayReject reports whether a copy of a request may be rejected, without Do, as one that has not run. retransmitted is
// its T flag.
func (g *Guard) MayReject(key idempotency.Key, retransmitted bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger == nil {
		return !retransmitted
	}
	return g.ledger.MayReject(g.options.Now(), key, retransmitted)
}

// Do calls work unless a copy of the request arrived before, and returns the answer. retransmitted is the T flag of the
// request.
//
// With the verdict idempotency.Begin, Do called work; with Join, Do waited until another caller had run the same
// request. With both, the answer and the outcome are the results of work; with other verdicts the outcome has no
// meaning. With Answered, the answer is that of an earlier copy. With the remaining verdicts there is no answer.
//
// Before the store is loaded, Do rejects new requests, and waits for the store with a retransmission: an earlier copy of
// it may have run, so that it can't be rejected as one that has not.
//
// ctx should end when the client gives up. Do then stops waiting for another caller, the store or the disk, but not for
// work.
func (g *Guard) Do(
	ctx context.Context, key idempotency.Key, retransmitted bool, work Work,
) (answer []byte, outcome Outcome, verdict idempotency.Verdict) {
	if retransmitted {
		select {
		case <-g.loaded:
		case <-ctx.Done():
		}
	}
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

// admitResult is the decision of Guard.admit on a request.
type admitResult struct {
	verdict idempotency.Verdict
	answer  []byte       // with idempotency.Answered
	call    *call        // with idempotency.Begin and idempotency.Join
	store   *store.Store // nil without a path
	outcome Outcome      // with all other verdicts; callers of Do ignore it
}

// admit decides on a request. With idempotency.Begin, the caller must pass the call to run.
func (g *Guard) admit(key idempotency.Key, retransmitted bool) admitResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger == nil {
		if retransmitted {
			return admitResult{verdict: idempotency.MayHaveRun, outcome: Unknown}
		}
		if len(g.firstTransmissions) < g.options.Ledger.MaxEntries {
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

// wait waits for a call that another caller runs, and returns its result. If ctx ends first, the verdict is
// idempotency.MayHaveRun.
func (c *call) wait(ctx context.Context) ([]byte, Outcome, idempotency.Verdict) {
	select {
	case <-c.done:
		return c.result(idempotency.Join)
	case <-ctx.Done():
		return nil, Unknown, idempotency.MayHaveRun
	}
}

// result returns the results of Do for a call that has ended.
func (c *call) result(verdict idempotency.Verdict) ([]byte, Outcome, idempotency.Verdict) {
	if c.rejected {
		return nil, NeverRan, idempotency.Full
	}
	return c.answer, c.outcome, verdict
}

// run persists the intent of a request, calls work, and persists the outcome. It ends the call even if work panics; the
// outcome is then unknown.
func (g *Guard) run(ctx context.Context, key idempotency.Key, c *call, s *store.Store, work Work) {
	defer g.finish(key, c)
	if s != nil {
		err := g.persist(ctx, func(ctx context.Context) error {
			return s.Write(ctx, idempotency.Record{Key: key})
		})
		if err != nil {
			// The request is rejected, because without its intent on disk it could run again after a restart.
			g.options.Log.Error("request rejected: its intent could not be written to the idempotency store",
				"err", err)
			c.outcome = NeverRan
			c.rejected = true
			return
		}
	}
	c.answer, c.outcome = work()
	if s == nil {
		return
	}
	// The write may continue after run has returned, so it gets copies.
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
	if err != nil {
		// The answer is valid, but if the outcome is not on disk, it is unknown after a restart.
		g.options.Log.Error("outcome of a request could not be written to the idempotency store: "+
			"after a restart, a client that sends it again may get the error that its outcome is unknown", "err", err)
	}
}

// finish records the outcome of a call in the ledger, and wakes the callers that wait for it.
func (g *Guard) finish(key idempotency.Key, c *call) {
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

// persist calls write and waits for it until ctx ends. After that the write continues, at most until WriteTimeout,
// because an outcome that reaches the disk late is better than none.
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
