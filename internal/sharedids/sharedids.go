// Package sharedids lets the processes of one proxy know each other's request IDs. During a hot restart two processes
// accept clients, and a request that one of them has must not run at the other one as well.
//
// The processes map the same file of a fixed size. An ID is a claim in it until it is released or its time is over, so
// that nothing is left of a process that was killed.
package sharedids

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	slots     = 8192 // a power of 2
	probes    = 8    // slots in which an ID may stand, from the one of its hash on
	slotBytes = 8
	fileBytes = slots * slotBytes
	fileMode  = 0o600

	// A slot holds the upper bits of the hash and the end of the claim in seconds, modulo its range. 0 is no claim.
	secondsBits = 24
	secondsMask = 1<<secondsBits - 1
)

// Table is a set of claims on request IDs, which are given by their hashes. It is safe for concurrent use, also by several
// processes. A nil Table grants all claims and remembers none.
type Table struct {
	data  []byte
	words []uint64 // data as slots

	openedAt time.Time
	uptime   time.Duration // the system's monotonic clock at openedAt, which all processes read alike
}

// Open maps the file at path, and creates it if there is none. The space is allocated, so that no later write can fail.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("shared request IDs: %w", err)
	}
	defer func() { _ = file.Close() }() // the mapping stays
	descriptor := int(file.Fd())
	if err := unix.Fallocate(descriptor, 0, 0, fileBytes); err != nil {
		return nil, fmt.Errorf("shared request IDs: allocating %s: %w", path, err)
	}
	data, err := unix.Mmap(descriptor, 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("shared request IDs: mapping %s: %w", path, err)
	}
	var uptime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &uptime); err != nil {
		return nil, errors.Join(fmt.Errorf("shared request IDs: reading the clock: %w", err), unix.Munmap(data))
	}
	// A mapping begins at a page's start, so the words are aligned.
	words := unsafe.Slice((*uint64)(unsafe.Pointer(&data[0])), slots)
	return &Table{data: data, words: words, openedAt: time.Now(), uptime: time.Duration(uptime.Nano())}, nil
}

// seconds returns what the system's monotonic clock shows at a time. The wall clock may be stepped.
func (t *Table) seconds(at time.Time) uint64 {
	return uint64((t.uptime + at.Sub(t.openedAt)) / time.Second)
}

// Close unmaps the file. Claims stay. The table must not be used any more.
func (t *Table) Close() error {
	if t == nil {
		return nil
	}
	if err := unix.Munmap(t.data); err != nil {
		return fmt.Errorf("shared request IDs: unmapping: %w", err)
	}
	return nil
}

// Claim claims an ID until a time, and reports whether it did: false means that the ID is claimed already. If there is no
// slot for it, the claim is granted and not remembered.
func (t *Table) Claim(hash uint64, until time.Time) bool {
	if t == nil {
		return true
	}
	for {
		slot, taken := t.find(hash)
		if taken {
			return false
		}
		if slot == nil {
			return true
		}
		old := atomic.LoadUint64(slot)
		if t.isLive(old) || !atomic.CompareAndSwapUint64(slot, old, t.word(hash, until)) {
			continue // another process was faster
		}
		// Another process may have claimed the ID in a slot that was in use when this one passed it: the first slot counts.
		if first, _ := t.find(hash); first != slot {
			atomic.StoreUint64(slot, 0)
			return false
		}
		return true
	}
}

// Extend makes a claim of this process last until another time.
func (t *Table) Extend(hash uint64, until time.Time) {
	if t != nil {
		t.replace(hash, t.word(hash, until))
	}
}

// Release ends a claim of this process.
func (t *Table) Release(hash uint64) { t.replace(hash, 0) }

func (t *Table) replace(hash, with uint64) {
	if t == nil {
		return
	}
	if slot, taken := t.find(hash); taken {
		atomic.StoreUint64(slot, with)
	}
}

// find returns the slot of the claim on an ID (true), or the first free slot for one, or nil if there is none.
func (t *Table) find(hash uint64) (slot *uint64, taken bool) {
	for i := range uint64(probes) {
		candidate := &t.words[(hash+i)%slots]
		current := atomic.LoadUint64(candidate)
		switch {
		case !t.isLive(current):
			if slot == nil {
				slot = candidate
			}
		case current>>secondsBits == hash>>secondsBits:
			return candidate, true
		}
	}
	return slot, false
}

// word returns the content of a slot.
func (t *Table) word(hash uint64, until time.Time) uint64 {
	// A second more, since the claim must not end early.
	return hash&^uint64(secondsMask) | (t.seconds(until)+1)&secondsMask
}

// isLive reports whether a slot holds a claim whose time is not over.
func (t *Table) isLive(word uint64) bool {
	if word == 0 {
		return false
	}
	left := (word - t.seconds(time.Now())) & secondsMask
	return left != 0 && left <= secondsMask/2
}
