// Package guard sees to it that nothing unsafe runs twice: it joins the ledger of effects with its store and with those who
// wait for a request that is in hand already. With a store the intent is on disk before a request begins, and its answer
// before anybody gets it.
package guard

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/store"
)

// Outcome says how a request has ended that Do has run.
type Outcome uint8

// The ends.
const (
	Answered Outcome = iota // its answer is known, and everyone who repeats it gets that
	NeverRan                // it has not run and will not: it may come again as new
	Unknown                 // nobody knows
)

// Work runs a request, once. Its answer goes to all who have asked.
type Work func() (answer []byte, end Outcome)

// Counts are what a Guard has done.
type Counts struct {
	Started, Joined, Replayed, MayHaveRun, Full, DiskErrors atomic.Int64
}

// Options are what a Guard is made of.
type Options struct {
	Ledger idempotency.Settings // Lost below 0 says that no process before could have known anything; else it is set to now
	Path   string               // of the store; empty is none
	Now    func() time.Duration
	Log    *slog.Logger
	// Wait bounds how long a write to disk may take; a disk that does not answer is one that fails.
	WriteTimeout time.Duration
}

// Guard is for any goroutine.
type Guard struct {
	Counts Counts

	options            Options
	mu                 sync.Mutex
	ledger             *idempotency.Ledger // nil until the store is read
	firstTransmissions []idempotency.Key   // that came before as no repeats, and were turned away
	store              *store.Store
	inFlight           map[idempotency.Key]*call
}

// call is a request in hand.
type call struct {
	done      chan struct{}
	answer    []byte
	end       Outcome
	unwritten bool // its intent is not on disk, so it was not begun
}

const defaultWait = 2 * time.Second

// New makes a guard. With a path nothing unsafe is taken until Open has read the store.
func New(o Options) (*Guard, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWait
	}
	if o.Ledger.LostAt >= 0 {
		o.Ledger.LostAt = o.Now() // clocks need not begin at 0
	}
	g := &Guard{options: o, inFlight: map[idempotency.Key]*call{}}
	rules, err := idempotency.New(o.Ledger)
	if err != nil {
		return nil, err
	}
	if o.Path == "" {
		g.ledger = rules
	}
	return g, nil
}

// openAgain is after what time a store that another process holds is tried again.
const openAgain = 100 * time.Millisecond

// Open reads the store, and waits for it while another process has it: in an upgrade the one before keeps it until it has
// answered all. What can't be read is an error, and then nothing unsafe is taken: nobody knows what has run.
func (g *Guard) Open(ctx context.Context) error {
	if g.options.Path == "" {
		return nil
	}
	for {
		disk, records, err := store.Open(g.options.Path, store.Options{Window: g.options.Ledger.Window, UncertainWindow: g.options.Ledger.UncertainWindow, FirstProcess: g.options.Ledger.LostAt < 0})
		if err == nil {
			s := g.options.Ledger
			s.LostAt = -1 // the disk has it all, unless it was lost
			if at := disk.LostAt(); !at.IsZero() {
				s.LostAt = max(0, g.options.Now()-time.Since(at))
				if g.options.Now()-s.LostAt < s.Window {
					g.options.Log.Warn("the ledger of effects lacks what was known before: repeats of what it does not know are answered as may have run", "since", at)
				}
			}
			rules, err := idempotency.New(s)
			if err == nil {
				err = rules.Restore(g.options.Now(), records)
			}
			if err != nil {
				return errors.Join(err, disk.Close())
			}
			g.mu.Lock()
			g.ledger, g.store = rules, disk
			for _, k := range g.firstTransmissions {
				rules.NoteFirstTransmission(k)
			}
			g.firstTransmissions = nil
			g.mu.Unlock()
			g.options.Log.Info("the ledger of effects is read", "entries", len(records))
			return nil
		}
		if !errors.Is(err, store.ErrLocked) {
			return err
		}
		select {
		case <-time.After(openAgain):
		case <-ctx.Done():
			return fmt.Errorf("the ledger of effects: %w", errors.Join(context.Cause(ctx), err))
		}
	}
}

// Close ends the store; what is in hand must have ended.
func (g *Guard) Close() error {
	g.mu.Lock()
	disk := g.store
	g.ledger, g.store = nil, nil
	if g.options.Path == "" {
		disk = nil
	}
	g.mu.Unlock()
	if disk == nil {
		return nil
	}
	return disk.Close()
}

// Do runs work unless the request has come before, and gives its answer. Ctx ends when the client gives up: by then whoever waits
// for another's answer, or for the disk, has an end. With a verdict other than effects.Begin, Join and
// Answered there is none. End tells of Begin and Join how it went.
func (g *Guard) Do(ctx context.Context, k idempotency.Key, repeat bool, work Work) (answer []byte, end Outcome, v idempotency.Verdict) {
	g.mu.Lock()
	if g.ledger == nil {
		if !repeat && len(g.firstTransmissions) < g.options.Ledger.MaxEntries {
			g.firstTransmissions = append(g.firstTransmissions, k)
		}
		g.mu.Unlock()
		g.Counts.Full.Add(1)
		return nil, NeverRan, idempotency.Full
	}
	v, answer = g.ledger.Admit(g.options.Now(), k, repeat)
	h := g.inFlight[k]
	disk := g.store
	if v == idempotency.Begin {
		h = &call{done: make(chan struct{}), end: Unknown}
		g.inFlight[k] = h
	}
	g.mu.Unlock()
	switch v {
	case idempotency.Begin:
		g.Counts.Started.Add(1)
		g.run(ctx, k, h, disk, work)
		if h.unwritten {
			return nil, NeverRan, idempotency.Full
		}
		return h.answer, h.end, v
	case idempotency.Join:
		g.Counts.Joined.Add(1)
		select {
		case <-h.done:
			if h.unwritten {
				return nil, NeverRan, idempotency.Full
			}
			return h.answer, h.end, v
		case <-ctx.Done():
			return nil, Unknown, idempotency.MayHaveRun
		}
	case idempotency.Answered:
		g.Counts.Replayed.Add(1)
	case idempotency.MayHaveRun:
		g.Counts.MayHaveRun.Add(1)
	default:
		g.Counts.Full.Add(1)
	}
	return answer, Unknown, v
}

// run runs a request whose intent is on disk, and writes down how it ended. Its end is settled whatever work does.
func (g *Guard) run(ctx context.Context, k idempotency.Key, h *call, disk *store.Store, work Work) {
	defer func() {
		g.mu.Lock()
		if g.ledger != nil {
			switch h.end {
			case Answered:
				g.ledger.Complete(g.options.Now(), k, h.answer)
			case NeverRan:
				g.ledger.Cancel(k)
			default:
				g.ledger.MarkUncertain(g.options.Now(), k)
			}
		}
		delete(g.inFlight, k)
		g.mu.Unlock()
		close(h.done)
	}()
	if disk != nil {
		if err := g.write(ctx, func(ctx context.Context) error { return disk.Write(ctx, idempotency.Record{Key: k}) }); err != nil {
			g.options.Log.Error("an intent could not be written: the request is not begun", "err", err)
			h.end, h.unwritten = NeverRan, true
			return
		}
	}
	h.answer, h.end = work() // a panic leaves it uncertain
	if disk == nil {
		return
	}
	var err error
	switch h.end {
	case Answered:
		answer := h.answer
		err = g.write(ctx, func(ctx context.Context) error {
			return disk.Write(ctx, idempotency.Record{Key: k, Completed: true, Answer: answer})
		})
	case NeverRan:
		err = g.write(ctx, func(ctx context.Context) error { return disk.Delete(ctx, k) })
	default:
		err = g.write(ctx, func(ctx context.Context) error { return disk.Write(ctx, idempotency.Record{Key: k, Uncertain: true}) })
	}
	if err != nil { // the answer is true all the same; after a restart its request is one that may have run
		g.options.Log.Error("an end could not be written", "err", err)
	}
}

// write writes, and waits for that no longer than until ctx ends. The write itself goes on: an end that comes late to the disk
// is better than none.
func (g *Guard) write(ctx context.Context, what func(ctx context.Context) error) error {
	done := make(chan error, 1)
	go func() {
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.options.WriteTimeout)
		defer cancel()
		done <- what(inner)
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

// Report is how a guard stands.
type Report struct {
	Ready      bool  `json:"ready"` // unsafe requests are taken
	Durable    bool  `json:"durable"`
	Entries    int   `json:"entries"`
	Bytes      int   `json:"bytes"`
	InFlight   int   `json:"in_hand"`
	Started    int64 `json:"begun"`
	Joined     int64 `json:"joined"`
	Replayed   int64 `json:"repeated"`
	MayHaveRun int64 `json:"may_have_run"`
	Full       int64 `json:"full"`
	DiskErrors int64 `json:"disk_errors"`
	Flushes    int64 `json:"flushes"`
	FileBytes  int64 `json:"file_bytes"`
}

// Report tells how it stands.
func (g *Guard) Report() Report {
	g.mu.Lock()
	r := Report{Ready: g.ledger != nil, Durable: g.options.Path != "", InFlight: len(g.inFlight)}
	if g.ledger != nil {
		r.Entries, r.Bytes = g.ledger.Len()
	}
	disk := g.store
	g.mu.Unlock()
	if disk != nil {
		r.Flushes = disk.Commits()
		r.FileBytes, _ = disk.Size() // 0 where it can't be told
	}
	c := &g.Counts
	r.Started, r.Joined, r.Replayed, r.MayHaveRun, r.Full, r.DiskErrors = c.Started.Load(), c.Joined.Load(), c.Replayed.Load(), c.MayHaveRun.Load(), c.Full.Load(), c.DiskErrors.Load()
	return r
}
