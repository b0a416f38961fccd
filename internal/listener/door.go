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

// evictTries bounds the search for a place.
const evictTries = 8

// Door is the connections that a process holds for its clients. It is for any goroutine.
type Door struct {
	now  func() time.Duration // a clock that only goes forward: a step of the machine's moves nothing
	path string               // of the blocks; empty keeps them in this process alone

	mu     sync.Mutex
	rules  *admission.Door
	conns  map[admission.ID]Conn
	asked  map[admission.ID]bool      // are being closed to make room
	blocks map[netip.Prefix]time.Time // until when, by the machine's clock: for the next process
	file   *File
	room   Room
	halved bool
	seed   uint64

	short atomic.Int64 // connections closed for want of descriptors
}

// New makes a door for a process with so much room for clients. Blocks are kept at path: see Restore.
func New(f *File, room Room, seed uint64, now func() time.Duration, path string) (*Door, error) {
	s, err := f.Settings(room, seed)
	if err != nil {
		return nil, err
	}
	rules, err := admission.New(s)
	if err != nil {
		return nil, err
	}
	return &Door{now: now, path: path, rules: rules, conns: map[admission.ID]Conn{}, asked: map[admission.ID]bool{}, blocks: map[netip.Prefix]time.Time{}, file: f, room: room, seed: seed}, nil
}

// Change takes in other settings. Whom it holds it holds on to; a bad change changes nothing.
func (d *Door) Change(f *File) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.change(f, d.halved)
}

// Halve has it keep to half of the room, or to all of it again: for as long as two processes share the limits.
func (d *Door) Halve(half bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.change(d.file, half)
}

// change brings the rules to a file. The lock is held.
func (d *Door) change(f *File, half bool) error {
	room := d.room
	if half {
		room.Places, room.Bytes = max(1, room.Places/2), room.Bytes/2
	}
	s, err := f.Settings(room, d.seed)
	if err != nil {
		return err
	}
	if err := d.rules.Change(d.now(), s); err != nil {
		return err
	}
	d.file, d.halved = f, half
	return nil
}

// Arrive decides on a connection that has been accepted. Where it is taken it is named by the number, until Gone; else
// the reason is told, and it is for the caller to close.
func (d *Door) Arrive(from net.Addr, c Conn) (admission.ID, admission.Reason) {
	a := addrOf(from)
	for try := range evictTries + 1 {
		d.mu.Lock()
		now := d.now()
		v := d.rules.Arrive(now, a, try > 0)
		if v.Taken != 0 {
			d.conns[v.Taken] = c
		}
		if v.Closes == 0 {
			d.mu.Unlock()
			return v.Taken, v.Why
		}
		victim := d.conns[v.Closes]
		d.asked[v.Closes] = true
		d.mu.Unlock()
		if victim != nil && victim.Evict() {
			d.Gone(v.Closes)
			continue
		}
		d.mu.Lock()
		delete(d.asked, v.Closes)
		d.rules.Spare(now, v.Closes)
		d.mu.Unlock()
	}
	return 0, admission.Full
}

func addrOf(from net.Addr) netip.Addr {
	if t, ok := from.(*net.TCPAddr); ok {
		a, _ := netip.AddrFromSlice(t.IP)
		return a.Unmap()
	}
	return netip.Addr{}
}

// Begin notes the first byte of a request.
func (d *Door) Begin(id admission.ID) { d.tell(func(now time.Duration) { d.rules.Begin(now, id) }) }

// Request notes a request's whole head: its connection is kept until Answered.
func (d *Door) Request(id admission.ID) { d.tell(func(now time.Duration) { d.rules.Request(now, id) }) }

// Hold counts bytes of a request's body until Answered or Gone, or tells that the address may hold no more.
func (d *Door) Hold(id admission.ID, bytes int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.Hold(d.now(), id, bytes)
}

// Short is how many connections were closed for want of descriptors.
func (d *Door) Short() int64 { return d.short.Load() }

// Answered notes a request's end, and whether it was served.
func (d *Door) Answered(id admission.ID, served bool) {
	d.tell(func(now time.Duration) { d.rules.Answered(now, id, served) })
}

// Gone notes that a connection is closed.
func (d *Door) Gone(id admission.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules.Gone(d.now(), id, d.asked[id])
	delete(d.conns, id)
	delete(d.asked, id)
}

func (d *Door) tell(what func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	what(d.now())
}

// Report is how the door stands.
func (d *Door) Report() admission.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.Report(d.now())
}

// Block turns an address or a net away for a time. The block holds in this process also where an error says that it could
// not be written down.
func (d *Door) Block(p netip.Prefix, span time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.rules.Block(d.now(), p, span); err != nil {
		return err
	}
	d.blocks[p.Masked()] = time.Now().Add(span)
	return d.save()
}

// Unblock ends a block. An error says that there was none, or that it could not be written down.
func (d *Door) Unblock(p netip.Prefix) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.rules.Unblock(p) {
		return fmt.Errorf("%v is not blocked", p)
	}
	delete(d.blocks, p.Masked())
	return d.save()
}

// save writes the blocks that hold, whole or not at all. The lock is held.
func (d *Door) save() error {
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
func (d *Door) Restore() error {
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
		p, err := Prefix(name)
		if span := time.Until(until); err == nil && span > 0 {
			// Danger: the machine's clock may have stepped; no block lasts past the longest.
			if err = d.rules.Block(d.now(), p, min(span, admission.LongestBlock)); err == nil {
				d.blocks[p] = until
			}
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
