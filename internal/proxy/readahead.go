package proxy

import (
	"time"

	"lapisspread/internal/membudget"
)

const (
	// readAheadDelay is how long an upload waits for its first attempt before its body is read ahead. A client that leaves
	// within that time has left less than the delay before the attempt begins.
	readAheadDelay    = 50 * time.Millisecond
	readAheadInterval = 5 * time.Millisecond // between two looks for what has arrived
	// unseenLeaveLimit is how long an upload waits for its first attempt without memory to read ahead. After that, an
	// attempt could begin too late after a leave that can't be seen, and the request is rejected.
	unseenLeaveLimit   = 100 * time.Millisecond
	uploadChunkBytes   = 64 << 10 // size of the pieces in which memory is taken for what is read ahead
	chunkedReadDivisor = 8        // at least so many bytes arrive for each of a chunked body: a chunk of one byte has six
)

// readAhead is the part of an upload that follows the prefix and was read while no attempt had begun.
//
// The close of a client comes behind all that it has written. As long as that does not fit into the buffers of the two
// systems, the close has not arrived, and the client seems to be there. So while a request waits for a place or for a
// connection, what the client sends is read, as far as there is memory to spare.
type readAhead struct {
	chunks [][]byte // all but the last one are full
}

// from returns a part of the bytes from an offset on; none at their end.
func (a *readAhead) from(offset int64) []byte {
	i := int(offset / uploadChunkBytes)
	if i >= len(a.chunks) {
		return nil
	}
	chunk := a.chunks[i]
	return chunk[min(offset%uploadChunkBytes, int64(len(chunk))):]
}

// room returns the free space after the last byte, or nil if there is no memory to spare for more.
func (a *readAhead) room(memory *membudget.Account) []byte {
	if last := len(a.chunks) - 1; last >= 0 && len(a.chunks[last]) < uploadChunkBytes {
		return a.chunks[last][len(a.chunks[last]):uploadChunkBytes]
	}
	if !memory.TakeSpare(uploadChunkBytes) {
		return nil
	}
	a.chunks = append(a.chunks, make([]byte, 0, uploadChunkBytes))
	return a.chunks[len(a.chunks)-1][:uploadChunkBytes]
}

// grow adds n bytes that were read into room.
func (a *readAhead) grow(n int) {
	last := len(a.chunks) - 1
	a.chunks[last] = a.chunks[last][:len(a.chunks[last])+n]
}

// startReadAhead has the upload read ahead while no attempt sends it, until an attempt reads the remainder or the request
// ends.
func (u *upload) startReadAhead(memory *membudget.Account) {
	if u.arrival == nil {
		return
	}
	startedAt := time.Now()
	time.AfterFunc(readAheadDelay, func() {
		tick := time.NewTicker(readAheadInterval)
		defer tick.Stop()
		for u.readArrived(memory, startedAt) {
			<-tick.C
		}
	})
}

// readArrived reads what has arrived of the body, without waiting for more. It reports whether to look again. It fails the
// upload if there has been no memory for unseenLeaveLimit from startedAt on.
func (u *upload) readArrived(memory *membudget.Account, startedAt time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for !u.isConsumed() && u.checkReadable() == nil {
		if u.sending.Load() {
			return true
		}
		arrived := u.arrivedBytes()
		if arrived == 0 {
			return true
		}
		room := u.ahead.room(memory)
		if room == nil && time.Since(startedAt) < unseenLeaveLimit {
			return true
		}
		if room == nil {
			if u.Cut() {
				_ = u.fail(unavailable("too many bytes are in hand"))
			}
			return false
		}
		n, err := u.readRemainder(room[:min(int64(len(room)), arrived)])
		u.ahead.grow(n)
		if err != nil {
			return false
		}
	}
	return false
}

// arrivedBytes returns how many bytes of the body can be read without waiting, as far as that is known; 0 if the client has
// to send more first. The lock must be held.
func (u *upload) arrivedBytes() int64 {
	if u.arrival.hasWholeRequest() {
		return uploadChunkBytes
	}
	unread := u.arrival.unread()
	switch {
	case unread == 0:
		u.arrival.foundNothing()
		return 0
	case u.length < 0: // net/http reads chunks until the buffer is full
		return max(unread/chunkedReadDivisor, 1)
	}
	return unread
}
