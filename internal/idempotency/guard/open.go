package guard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/store"
)

// lockRetryInterval is the pause between attempts to open a store that another process has open.
const lockRetryInterval = 100 * time.Millisecond

// Open loads the store, after which Do runs requests. It must be called once. While another process has the store open, Open waits until ctx
// ends: during a hot restart the old process keeps the store open until all of its requests have ended. If the store
// cannot be loaded, Open returns an error, and Do continues to reject all requests, because it is not known which
// requests have run.
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
			return fmt.Errorf("opening the idempotency ledger: %w", errors.Join(context.Cause(ctx), err))
		}
	}
}

// restore builds the ledger from the records of the store. On an error it closes the store.
func (g *Guard) restore(s *store.Store, records []idempotency.Record) error {
	settings := g.options.Ledger
	settings.LostAt = -1 // the store has all entries, unless s.LostAt says otherwise
	if lostAt := s.LostAt(); !lostAt.IsZero() {
		settings.LostAt = max(0, g.options.Now()-time.Since(lostAt))
		if g.options.Now()-settings.LostAt < settings.Window {
			g.options.Log.Warn("idempotency ledger lacks entries of an earlier process: "+
				"for one window, clients that retransmit a request without an entry "+
				"get the error that its outcome is unknown", "since", lostAt)
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
	g.setLedger(ledger)
	g.store = s
	for _, key := range g.firstTransmissions {
		ledger.NoteFirstTransmission(key)
	}
	g.firstTransmissions = nil
	g.mu.Unlock()
	g.options.Log.Info("idempotency ledger loaded", "entries", len(records))
	return nil
}

// Close closes the store. All calls of Do must have returned; later calls reject their requests.
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
