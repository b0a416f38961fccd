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

// End says how a request has ended that Do has run.
type End uint8

// The ends.
const (
	Answered  End = iota // its answer is known, and everyone who repeats it gets that
	NeverRan             // it has not run and will not: it may come again as new
	Uncertain            // nobody knows
)

// Work runs a request, once. Its answer goes to all who have asked.
type Work func() (answer []byte, end End)

// Counts are what a Guard has done.
type Counts struct {
	Begun, Joined, Repeated, Uncertain, Full, DiskErrors atomic.Int64
}

// Options are what a Guard is made of.
type Options struct {
	Ledger idempotency.Settings // Lost below 0 says that no process before could have known anything; else it is set to now
	Path   string               // of the store; empty is none
	Now    func() time.Duration
	Log    *slog.Logger
	// Wait bounds how long a write to disk may take; a disk that does not answer is one that fails.
	Wait time.Duration
}

// Guard is for any goroutine.
type Guard struct {
	Counts Counts

	o     Options
	mu    sync.Mutex
	rules *idempotency.Ledger // nil until the store is read
	early []idempotency.Key   // that came before as no repeats, and were turned away
	disk  *store.Store
	hands map[idempotency.Key]*hand
}

// hand is a request in hand.
type hand struct {
	done      chan struct{}
	answer    []byte
	end       End
	unwritten bool // its intent is not on disk, so it was not begun
}

const defaultWait = 2 * time.Second

// New makes a guard. With a path nothing unsafe is taken until Open has read the store.
func New(o Options) (*Guard, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Wait == 0 {
		o.Wait = defaultWait
	}
	if o.Ledger.Lost >= 0 {
		o.Ledger.Lost = o.Now() // clocks need not begin at 0
	}
	g := &Guard{o: o, hands: map[idempotency.Key]*hand{}}
	rules, err := idempotency.New(o.Ledger)
	if err != nil {
		return nil, err
	}
	if o.Path == "" {
		g.rules = rules
	}
	return g, nil
}

// openAgain is after what time a store that another process holds is tried again.
const openAgain = 100 * time.Millisecond

// Open reads the store, and waits for it while another process has it: in an upgrade the one before keeps it until it has
// answered all. What can't be read is an error, and then nothing unsafe is taken: nobody knows what has run.
func (g *Guard) Open(ctx context.Context) error {
	if g.o.Path == "" {
		return nil
	}
	for {
		disk, records, err := store.Open(g.o.Path, store.Options{Window: g.o.Ledger.Window, Uncertain: g.o.Ledger.Uncertain, First: g.o.Ledger.Lost < 0})
		if err == nil {
			s := g.o.Ledger
			s.Lost = -1 // the disk has it all, unless it was lost
			if at := disk.Lost(); !at.IsZero() {
				s.Lost = max(0, g.o.Now()-time.Since(at))
				if g.o.Now()-s.Lost < s.Window {
					g.o.Log.Warn("the ledger of effects lacks what was known before: repeats of what it does not know are answered as may have run", "since", at)
				}
			}
			rules, err := idempotency.New(s)
			if err == nil {
				err = rules.Restore(g.o.Now(), records)
			}
			if err != nil {
				return errors.Join(err, disk.Close())
			}
			g.mu.Lock()
			g.rules, g.disk = rules, disk
			for _, k := range g.early {
				rules.First(k)
			}
			g.early = nil
			g.mu.Unlock()
			g.o.Log.Info("the ledger of effects is read", "entries", len(records))
			return nil
		}
		if !errors.Is(err, store.ErrHeld) {
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
	disk := g.disk
	g.rules, g.disk = nil, nil
	if g.o.Path == "" {
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
func (g *Guard) Do(ctx context.Context, k idempotency.Key, repeat bool, work Work) (answer []byte, end End, v idempotency.Verdict) {
	g.mu.Lock()
	if g.rules == nil {
		if !repeat && len(g.early) < g.o.Ledger.Entries {
			g.early = append(g.early, k)
		}
		g.mu.Unlock()
		g.Counts.Full.Add(1)
		return nil, NeverRan, idempotency.Full
	}
	v, answer = g.rules.Come(g.o.Now(), k, repeat)
	h := g.hands[k]
	disk := g.disk
	if v == idempotency.Begin {
		h = &hand{done: make(chan struct{}), end: Uncertain}
		g.hands[k] = h
	}
	g.mu.Unlock()
	switch v {
	case idempotency.Begin:
		g.Counts.Begun.Add(1)
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
			return nil, Uncertain, idempotency.MayHaveRun
		}
	case idempotency.Answered:
		g.Counts.Repeated.Add(1)
	case idempotency.MayHaveRun:
		g.Counts.Uncertain.Add(1)
	default:
		g.Counts.Full.Add(1)
	}
	return answer, Uncertain, v
}

// run runs a request whose intent is on disk, and writes down how it ended. Its end is settled whatever work does.
func (g *Guard) run(ctx context.Context, k idempotency.Key, h *hand, disk *store.Store, work Work) {
	defer func() {
		g.mu.Lock()
		if g.rules != nil {
			switch h.end {
			case Answered:
				g.rules.End(g.o.Now(), k, h.answer)
			case NeverRan:
				g.rules.Drop(k)
			default:
				g.rules.Lose(g.o.Now(), k)
			}
		}
		delete(g.hands, k)
		g.mu.Unlock()
		close(h.done)
	}()
	if disk != nil {
		if err := g.write(ctx, func(ctx context.Context) error { return disk.Write(ctx, idempotency.Record{Key: k}) }); err != nil {
			g.o.Log.Error("an intent could not be written: the request is not begun", "err", err)
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
			return disk.Write(ctx, idempotency.Record{Key: k, Ended: true, Answer: answer})
		})
	case NeverRan:
		err = g.write(ctx, func(ctx context.Context) error { return disk.Drop(ctx, k) })
	default:
		err = g.write(ctx, func(ctx context.Context) error { return disk.Write(ctx, idempotency.Record{Key: k, Lost: true}) })
	}
	if err != nil { // the answer is true all the same; after a restart its request is one that may have run
		g.o.Log.Error("an end could not be written", "err", err)
	}
}

// write writes, and waits for that no longer than until ctx ends. The write itself goes on: an end that comes late to the disk
// is better than none.
func (g *Guard) write(ctx context.Context, what func(ctx context.Context) error) error {
	done := make(chan error, 1)
	go func() {
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.o.Wait)
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
	InHand     int   `json:"in_hand"`
	Begun      int64 `json:"begun"`
	Joined     int64 `json:"joined"`
	Repeated   int64 `json:"repeated"`
	Uncertain  int64 `json:"may_have_run"`
	Full       int64 `json:"full"`
	DiskErrors int64 `json:"disk_errors"`
	Flushes    int64 `json:"flushes"`
	FileBytes  int64 `json:"file_bytes"`
}

// Report tells how it stands.
func (g *Guard) Report() Report {
	g.mu.Lock()
	r := Report{Ready: g.rules != nil, Durable: g.o.Path != "", InHand: len(g.hands)}
	if g.rules != nil {
		r.Entries, r.Bytes = g.rules.Len()
	}
	disk := g.disk
	g.mu.Unlock()
	if disk != nil {
		r.Flushes = disk.Commits()
		r.FileBytes, _ = disk.Size() // 0 where it can't be told
	}
	c := &g.Counts
	r.Begun, r.Joined, r.Repeated, r.Uncertain, r.Full, r.DiskErrors = c.Begun.Load(), c.Joined.Load(), c.Repeated.Load(), c.Uncertain.Load(), c.Full.Load(), c.DiskErrors.Load()
	return r
}
