package wire

import (
	"encoding/binary"
	"math"
	"time"

	"lapisspread/decision"
)

// The actions' record codes.
const (
	transmit     = 1
	reject       = 2
	endFailed    = 3
	abortAttempt = 4
	notifyMe     = 5
	sample       = 6
	release      = 7
	signal       = 8
	sayLog       = 9
	broken       = 10
	observe      = 11
	resolve      = 12
	onBehalf     = 13
)

const (
	maxText    = 1<<16 - 1
	maxMessage = 256
)

// Reply gathers the actions that answer one batch.
type Reply struct {
	buf     []byte
	records uint32
	current int // instance of the last onBehalf; -1 is none
}

// Reset begins the reply to a batch.
func (r *Reply) Reset(seq uint32) {
	r.buf = binary.LittleEndian.AppendUint32(r.buf[:0], seq)
	r.buf = append(r.buf, make([]byte, replyHeader-4)...)
	r.records, r.current = 0, -1
}

// Bytes is the whole frame.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], r.records)
	binary.LittleEndian.PutUint32(r.buf[8:], uint32(len(r.buf)-replyHeader))
	return r.buf
}

// Actions writes one instance's actions; it is that instance's decision.Host.
type Actions struct {
	Reply    *Reply
	Instance uint16
}

func (a Actions) record(code byte) {
	if r := a.Reply; r.current != int(a.Instance) {
		r.current = int(a.Instance)
		r.buf = binary.LittleEndian.AppendUint16(append(r.buf, onBehalf), a.Instance)
		r.records++
	}
	a.Reply.buf = append(a.Reply.buf, code)
	a.Reply.records++
}

func (a Actions) u32(v uint32) { a.Reply.buf = binary.LittleEndian.AppendUint32(a.Reply.buf, v) }
func (a Actions) u64(v uint64) { a.Reply.buf = binary.LittleEndian.AppendUint64(a.Reply.buf, v) }

func (a Actions) millis(d time.Duration) {
	a.u64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

func (a Actions) bytes(b []byte, most int) {
	b = b[:min(len(b), most)]
	a.Reply.buf = binary.LittleEndian.AppendUint16(a.Reply.buf, uint16(len(b)))
	a.Reply.buf = append(a.Reply.buf, b...)
}

// Send implements decision.Host.
func (a Actions) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	a.record(transmit)
	a.u32(uint32(id))
	a.u32(uint32(to))
	a.millis(until)
}

// Reject implements decision.Host.
func (a Actions) Reject(id decision.RequestID, retryAfter time.Duration) {
	a.record(reject)
	a.u32(uint32(id))
	a.millis(retryAfter)
}

// Fail implements decision.Host.
func (a Actions) Fail(id decision.RequestID) {
	a.record(endFailed)
	a.u32(uint32(id))
}

// Cancel implements decision.Host.
func (a Actions) Cancel(id decision.RequestID, attempt int) {
	a.record(abortAttempt)
	a.u32(uint32(id))
	a.Reply.buf = append(a.Reply.buf, byte(attempt))
}

// CheckHealth implements decision.Host.
func (a Actions) CheckHealth(b decision.BackendID) {
	a.record(sample)
	a.u32(uint32(b))
}

// ReleaseIdleConnections implements decision.Host.
func (a Actions) ReleaseIdleConnections(b decision.BackendID) {
	a.record(release)
	a.u32(uint32(b))
}

// WatchEndpoints implements decision.Host.
func (a Actions) WatchEndpoints(on bool) {
	a.record(observe)
	var v byte
	if on {
		v = 1
	}
	a.Reply.buf = append(a.Reply.buf, v)
}

// FetchEndpoints implements decision.Host.
func (a Actions) FetchEndpoints() { a.record(resolve) }

// SendToPeer implements decision.Host.
func (a Actions) SendToPeer(peer uint32, body []byte) {
	a.record(signal)
	a.u32(peer)
	a.bytes(body, maxMessage)
}

// StartTimer implements decision.Host.
func (a Actions) StartTimer(d time.Duration, token uint64) {
	a.record(notifyMe)
	a.millis(d)
	a.u64(token)
}

// Log implements decision.Host.
func (a Actions) Log(line string) {
	a.record(sayLog)
	a.bytes([]byte(line), maxText)
}

// ReportFailure reports that the decision code has failed.
func (a Actions) ReportFailure(reason string) {
	a.record(broken)
	a.bytes([]byte(reason), maxText)
}
