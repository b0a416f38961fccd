// Package listener stands between listeners and front ends: it asks package admission who is taken, closes whom that names,
// and keeps the blocks by hand. All front ends of a process share one Door.
package listener

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/admission"
)

// Conn is a connection as the door closes it.
type Conn interface {
	// Evict closes the connection for one that comes, unless a request of it is in hand or something stands to be read on
	// it; it tells whether it did. The door holds no lock as it asks.
	Evict() bool
}

// maxEvictions bounds the search for a place.
const maxEvictions = 8

// ConnLimiter is the connections that a process holds for its clients. It is for any goroutine.
type ConnLimiter struct {
	now  func() time.Duration // a clock that only goes forward: a step of the machine's moves nothing
	path string               // of the blocks; empty keeps them in this process alone

	mu       sync.Mutex
	rules    *admission.ConnLimiter
	conns    map[admission.ID]Conn
	evicting map[admission.ID]bool      // are being closed to make room
	blocks   map[netip.Prefix]time.Time // until when, by the machine's clock: for the next process
	file     *File
	capacity Capacity
	halved   bool
	seed     uint64

	descriptorShortages atomic.Int64 // connections closed for want of descriptors
}

// New makes a door for a process with so much room for clients. Blocks are kept at path: see Restore.
func New(f *File, room Capacity, seed uint64, now func() time.Duration, path string) (*ConnLimiter, error) {
	s, err := f.Settings(room, seed)
	if err != nil {
		return nil, err
	}
	rules, err := admission.New(s)
	if err != nil {
		return nil, err
	}
	return &ConnLimiter{now: now, path: path, rules: rules, conns: map[admission.ID]Conn{}, evicting: map[admission.ID]bool{}, blocks: map[netip.Prefix]time.Time{}, file: f, capacity: room, seed: seed}, nil
}

// Reconfigure takes in other settings. Whom it holds it holds on to; a bad change changes nothing.
func (d *ConnLimiter) Reconfigure(f *File) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reconfigure(f, d.halved)
}

// UseHalf has it keep to half of the room, or to all of it again: for as long as two processes share the limits.
func (d *ConnLimiter) UseHalf(half bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reconfigure(d.file, half)
}

// reconfigure brings the rules to a file. The lock is held.
func (d *ConnLimiter) reconfigure(f *File, half bool) error {
	room := d.capacity
	if half {
		room.Conns, room.BodyBytes = max(1, room.Conns/2), room.BodyBytes/2
	}
	s, err := f.Settings(room, d.seed)
	if err != nil {
		return err
	}
	if err := d.rules.Reconfigure(d.now(), s); err != nil {
		return err
	}
	d.file, d.halved = f, half
	return nil
}

// Arrive decides on a connection that has been accepted. Where it is taken it is named by the number, until Gone; else
// the reason is told, and it is for the caller to close.
func (d *ConnLimiter) Arrive(from net.Addr, c Conn) (admission.ID, admission.Reason) {
	a := addrOf(from)
	for try := range maxEvictions + 1 {
		d.mu.Lock()
		now := d.now()
		v := d.rules.Arrive(now, a, try > 0)
		if v.Admitted != 0 {
			d.conns[v.Admitted] = c
		}
		if v.Evict == 0 {
			d.mu.Unlock()
			return v.Admitted, v.Reason
		}
		victim := d.conns[v.Evict]
		d.evicting[v.Evict] = true
		d.mu.Unlock()
		if victim != nil && victim.Evict() {
			d.Remove(v.Evict)
			continue
		}
		d.mu.Lock()
		delete(d.evicting, v.Evict)
		d.rules.EvictionRefused(now, v.Evict)
		d.mu.Unlock()
	}
	return 0, admission.NoCapacity
}

func addrOf(from net.Addr) netip.Addr {
	if t, ok := from.(*net.TCPAddr); ok {
		a, _ := netip.AddrFromSlice(t.IP)
		return a.Unmap()
	}
	return netip.Addr{}
}

// RequestStarted notes the first byte of a request.
func (d *ConnLimiter) RequestStarted(id admission.ID) {
	d.locked(func(now time.Duration) { d.rules.RequestStarted(now, id) })
}

// RequestReceived notes a request's whole head: its connection is kept until Answered.
func (d *ConnLimiter) RequestReceived(id admission.ID) {
	d.locked(func(now time.Duration) { d.rules.RequestReceived(now, id) })
}

// AcquireBody counts bytes of a request's body until Answered or Gone, or tells that the address may hold no more.
func (d *ConnLimiter) AcquireBody(id admission.ID, bytes int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.AcquireBody(d.now(), id, bytes)
}

// DescriptorShortages is how many connections were closed for want of descriptors.
func (d *ConnLimiter) DescriptorShortages() int64 { return d.descriptorShortages.Load() }

// RequestDone notes a request's end, and whether it was served.
func (d *ConnLimiter) RequestDone(id admission.ID, served bool) {
	d.locked(func(now time.Duration) { d.rules.RequestDone(now, id, served) })
}

// Remove notes that a connection is closed.
func (d *ConnLimiter) Remove(id admission.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules.Remove(d.now(), id, d.evicting[id])
	delete(d.conns, id)
	delete(d.evicting, id)
}

func (d *ConnLimiter) locked(what func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	what(d.now())
}

// Report is how the door stands.
func (d *ConnLimiter) Report() admission.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.Report(d.now())
}

// Block turns an address or a net away for a time. The block holds in this process also where an error says that it could
// not be written down.
func (d *ConnLimiter) Block(p netip.Prefix, span time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.rules.Block(d.now(), p, span); err != nil {
		return err
	}
	d.blocks[p.Masked()] = time.Now().Add(span)
	return d.save()
}

// Unblock ends a block. An error says that there was none, or that it could not be written down.
func (d *ConnLimiter) Unblock(p netip.Prefix) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.rules.Unblock(p) {
		return fmt.Errorf("%v is not blocked", p)
	}
	delete(d.blocks, p.Masked())
	return d.save()
}

// save writes the blocks that hold, whole or not at all. The lock is held.
func (d *ConnLimiter) save() error {
	if d.path == "" {
		return nil
	}
	out := map[string]time.Time{}
	for p, until := range d.blocks {
		if until.After(time.Now()) {
			out[p.String()] = until.Round(0)
		} else {
			delete(d.blocks, p)
		}
	}
	text, err := json.Marshal(out)
	if err != nil {
		return fmt.Errorf("the blocks: %w", err)
	}
	if err := os.WriteFile(d.path+".new", text, 0o600); err != nil {
		return fmt.Errorf("the blocks: %w", err)
	}
	if err := os.Rename(d.path+".new", d.path); err != nil {
		return fmt.Errorf("the blocks: %w", err)
	}
	return nil
}

// Restore takes in the blocks that a process before has left; those that have run out meanwhile are dropped.
func (d *ConnLimiter) Restore() error {
	if d.path == "" {
		return nil
	}
	text, err := os.ReadFile(d.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("the blocks: %w", err)
	}
	var left map[string]time.Time
	if err := json.Unmarshal(text, &left); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs []error
	for name, until := range left {
		p, err := ParsePrefix(name)
		if span := time.Until(until); err == nil && span > 0 {
			// Danger: the machine's clock may have stepped; no block lasts past the longest.
			if err = d.rules.Block(d.now(), p, min(span, admission.MaxBlockDuration)); err == nil {
				d.blocks[p] = until
			}
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
