package guard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/store"
)

// lockRetryInterval is the pause before a store that another process has open is tried again.
const lockRetryInterval = 100 * time.Millisecond

// Open reads the store, after which Do runs requests. It waits for the store, until ctx ends, while another process
// has it open: during a hot restart the old process keeps it until all its requests have ended. If the store cannot
// be read, Open returns an error and Do goes on rejecting all requests, because nobody knows what has run.
func (g *Guard) Open(ctx context.Context) error {
	if g.options.Path == "" {
		return nil
	}
	settings := &g.options.Ledger
	for {
		s, records, err := store.Open(g.options.Path, store.Options{
			Window:          settings.Window,
			UncertainWindow: settings.UncertainWindow,
			FirstProcess:    settings.LostAt < 0,
		})
		if err == nil {
			return g.restore(s, records)
		}
		if !errors.Is(err, store.ErrLocked) {
			return err
		}
		select {
		case <-time.After(lockRetryInterval):
		case <-ctx.Done():
			return fmt.Errorf("the ledger of effects: %w", errors.Join(context.Cause(ctx), err))
		}
	}
}

// restore builds the ledger from what the store holds. On an error it closes the store.
func (g *Guard) restore(s *store.Store, records []idempotency.Record) error {
	settings := g.options.Ledger
	settings.LostAt = -1 // the store has all entries, unless it was lost
	if lostAt := s.LostAt(); !lostAt.IsZero() {
		settings.LostAt = max(0, g.options.Now()-time.Since(lostAt))
		if g.options.Now()-settings.LostAt < settings.Window {
			g.options.Log.Warn("the ledger of effects lacks what was known before: "+
				"repeats of what it does not know are answered as may have run", "since", lostAt)
		}
	}
	ledger, err := idempotency.New(settings)
	if err == nil {
		err = ledger.Restore(g.options.Now(), records)
	}
	if err != nil {
		return errors.Join(err, s.Close())
	}
	g.mu.Lock()
	g.ledger = ledger
	g.store = s
	for _, key := range g.firstTransmissions {
		ledger.NoteFirstTransmission(key)
	}
	g.firstTransmissions = nil
	g.mu.Unlock()
	g.options.Log.Info("the ledger of effects is read", "entries", len(records))
	return nil
}

// Close closes the store. All requests must have ended; later ones are rejected.
func (g *Guard) Close() error {
	g.mu.Lock()
	s := g.store
	g.ledger = nil
	g.store = nil
	g.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}
