package listener

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"time"

	"lapisspread/internal/admission"
)

const (
	blocksFileMode = 0o600
	// temporarySuffix is appended to the path of the blocks file to name the new file that atomically replaces it.
	temporarySuffix = ".new"
)

// NotBlockedError is returned by ConnLimiter.Unblock for a prefix that is not blocked.
type NotBlockedError struct{ Prefix netip.Prefix }

// Error implements error.
func (e NotBlockedError) Error() string { return fmt.Sprintf("%v is not blocked", e.Prefix) }

// Block rejects new connections from an address or network for a duration. An admission.InvalidBlockError means that
// the block was not set. Any other error means that the block was set in this process but could not be persisted.
func (l *ConnLimiter) Block(p netip.Prefix, duration time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.rules.Block(l.now(), p, duration); err != nil {
		return err
	}
	l.blocks[p.Masked()] = time.Now().Add(duration)
	return l.saveBlocks()
}

// Unblock ends a block. It returns a NotBlockedError if p is not blocked. Any other error means that the block has
// ended in this process but the change could not be persisted.
func (l *ConnLimiter) Unblock(p netip.Prefix) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.rules.Unblock(p) {
		return NotBlockedError{Prefix: p}
	}
	delete(l.blocks, p.Masked())
	return l.saveBlocks()
}

// saveBlocks atomically replaces the persisted blocks, a JSON object of expiry times by prefix. The caller holds l.mu.
func (l *ConnLimiter) saveBlocks() error {
	if l.blocksPath == "" {
		return nil
	}
	expiries := map[string]time.Time{}
	for p, until := range l.blocks {
		if until.After(time.Now()) {
			expiries[p.String()] = until.Round(0)
		} else {
			delete(l.blocks, p)
		}
	}
	text, err := json.Marshal(expiries)
	if err == nil {
		err = os.WriteFile(l.blocksPath+temporarySuffix, text, blocksFileMode)
	}
	if err == nil {
		err = os.Rename(l.blocksPath+temporarySuffix, l.blocksPath)
	}
	if err != nil {
		return fmt.Errorf("the blocks: %w", err)
	}
	return nil
}

// Restore sets the blocks that an earlier process persisted, except those that have expired. A missing file is no
// error. An invalid block is skipped and reported in the error.
func (l *ConnLimiter) Restore() error {
	if l.blocksPath == "" {
		return nil
	}
	text, err := os.ReadFile(l.blocksPath)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("reading the persisted blocks: %w", err)
	}
	var expiries map[string]time.Time
	if err := json.Unmarshal(text, &expiries); err != nil {
		return fmt.Errorf("%s: %w", l.blocksPath, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for prefix, until := range expiries {
		errs = append(errs, l.restoreBlock(prefix, until))
	}
	return errors.Join(errs...)
}

// restoreBlock sets one persisted block, unless it has expired. The caller holds l.mu.
func (l *ConnLimiter) restoreBlock(prefix string, until time.Time) error {
	p, err := ParsePrefix(prefix)
	if err != nil {
		return err
	}
	remaining := time.Until(until)
	if remaining <= 0 {
		return nil
	}
	// If the wall clock was set back, the remaining time could otherwise exceed the maximum duration of a block.
	if err := l.rules.Block(l.now(), p, min(remaining, admission.MaxBlockDuration)); err != nil {
		return err
	}
	l.blocks[p] = until
	return nil
}
