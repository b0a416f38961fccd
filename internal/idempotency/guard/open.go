package guard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/store"
)

const (
	// lockRetryInterval is the pause between attempts to open a store that another process has open.
	lockRetryInterval = 100 * time.Millisecond
	// systemRetryInterval is the pause between attempts to open a store after the system has failed.
	systemRetryInterval = 250 * time.Millisecond
)

// storeOpener is the type of store.Open.
type storeOpener func(path string, o store.Options) (*store.Store, []idempotency.Record, error)

// transientErrors are errors of the system that pass while the file stays as it is. bbolt gives some of them as text only.
var transientErrors = []syscall.Errno{
	syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM,
}

// isTransient reports whether opening the store may succeed later.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(cause syscall.Errno) bool {
		return errors.Is(err, cause) || strings.Contains(err.Error(), cause.Error())
	})
}

// Open loads the store, after which Do runs requests. It must be called once. While another process has the store open,
// Open waits until ctx ends: during a hot restart the old process keeps the store open until all of its requests have
// ended. It also tries again, until ctx ends, after an error of the system that may pass, such as a full disk. If the
// store cannot be loaded, Open returns an error, and Do continues to reject all requests, because it is not known which
// requests have run.
func (g *Guard) Open(ctx context.Context) error {
	if g.options.Path == "" {
		return nil
	}
	settings := &g.options.Ledger
	logged := false
	for {
		s, records, err := g.openStore(g.options.Path, store.Options{
			Window:          settings.Window,
			UncertainWindow: settings.UncertainWindow,
			FirstProcess:    settings.LostAt < 0,
			Uptime:          g.options.Uptime,
		})
		if err == nil {
			return g.restore(s, records)
		}
		interval := lockRetryInterval
		if !errors.Is(err, store.ErrLocked) {
			if !isTransient(err) {
				return err
			}
			interval = systemRetryInterval
			if !logged {
				g.options.Log.Error("idempotency ledger can't be opened yet, trying again", "err", err)
				logged = true
			}
		}
		select {
		case <-time.After(interval):
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
		settings.LostAt = max(0, g.options.Now()-s.Now().Sub(lostAt))
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
