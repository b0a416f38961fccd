package wire

import (
	"encoding/binary"
	"math"
	"time"

	"lapisspread/decision"
)

// The record codes of the actions. Each comment starts with the name that the protocol gives to the record.
const (
	actionSend               = 1  // transmit
	actionReject             = 2  // reject
	actionFail               = 3  // end_failed
	actionCancel             = 4  // abort_attempt
	actionStartTimer         = 5  // notify_me
	actionCheckHealth        = 6  // sample
	actionReleaseConnections = 7  // release
	actionSendToPeer         = 8  // signal
	actionLog                = 9  // say_log
	actionReportFailure      = 10 // broken
	actionWatchEndpoints     = 11 // observe
	actionFetchEndpoints     = 12 // resolve
	actionSelectInstance     = 13 // on_behalf: the actions after it are of this instance
)

const (
	// noInstance is the value of Reply.instance before the first instance record.
	noInstance = -1
	// replyHeaderBytes is the length of a reply's header, in bytes.
	replyHeaderBytes = 12
	// replyRecordsOffset and replyLengthOffset are the offsets in the header, in bytes, of the number of records and of
	// the body's length.
	replyRecordsOffset = 4
	replyLengthOffset  = 8
	// maxTextBytes is the maximum length of a log line or of a failure's reason. Longer texts are truncated.
	maxTextBytes = 1<<16 - 1
	// maxPeerMessageBytes is the maximum length of a message to a peer. Longer messages are truncated.
	maxPeerMessageBytes = 256
)

// Reply collects the actions that answer one batch. Its zero value is ready for Reset.
type Reply struct {
	buf      []byte
	records  uint32
	instance int // named by the last instance record; noInstance before the first one
}

// Reset starts a new, empty reply to the batch with sequence number seq.
func (r *Reply) Reset(seq uint32) {
	r.buf = binary.LittleEndian.AppendUint32(r.buf[:0], seq)
	r.buf = append(r.buf, make([]byte, replyHeaderBytes-len(r.buf))...)
	r.records = 0
	r.instance = noInstance
}

// Bytes returns the encoded reply with its header. The slice is valid until the next action or Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[replyRecordsOffset:], r.records)
	binary.LittleEndian.PutUint32(r.buf[replyLengthOffset:], uint32(len(r.buf)-replyHeaderBytes))
	return r.buf
}

// Actions writes one instance's actions into a reply; it is that instance's decision.Host.
type Actions struct {
	Reply    *Reply
	Instance uint16
}

var _ decision.Host = Actions{}

// begin writes the code of a record. Before it, it writes an instance record if the last record belonged to another
// instance.
func (a Actions) begin(code byte) {
	r := a.Reply
	if r.instance != int(a.Instance) {
		r.instance = int(a.Instance)
		r.buf = append(r.buf, actionSelectInstance)
		r.buf = binary.LittleEndian.AppendUint16(r.buf, a.Instance)
		r.records++
	}
	r.buf = append(r.buf, code)
	r.records++
}

func (a Actions) uint8(v uint8)   { a.Reply.buf = append(a.Reply.buf, v) }
func (a Actions) uint32(v uint32) { a.Reply.buf = binary.LittleEndian.AppendUint32(a.Reply.buf, v) }
func (a Actions) uint64(v uint64) { a.Reply.buf = binary.LittleEndian.AppendUint64(a.Reply.buf, v) }

func (a Actions) millis(d time.Duration) {
	a.uint64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

// bytes writes the length of b as a uint16 and then b, truncated to limit bytes.
func (a Actions) bytes(b []byte, limit int) {
	b = b[:min(len(b), limit)]
	a.Reply.buf = binary.LittleEndian.AppendUint16(a.Reply.buf, uint16(len(b)))
	a.Reply.buf = append(a.Reply.buf, b...)
}

// Send implements decision.Host.
func (a Actions) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	a.begin(actionSend)
	a.uint32(uint32(id))
	a.uint32(uint32(to))
	a.millis(until)
}

// Reject implements decision.Host.
func (a Actions) Reject(id decision.RequestID, retryAfter time.Duration) {
	a.begin(actionReject)
	a.uint32(uint32(id))
	a.millis(retryAfter)
}

// Fail implements decision.Host.
func (a Actions) Fail(id decision.RequestID) {
	a.begin(actionFail)
	a.uint32(uint32(id))
}

// Cancel implements decision.Host.
func (a Actions) Cancel(id decision.RequestID, attempt int) {
	a.begin(actionCancel)
	a.uint32(uint32(id))
	a.uint8(uint8(attempt))
}

// CheckHealth implements decision.Host.
func (a Actions) CheckHealth(id decision.BackendID) {
	a.begin(actionCheckHealth)
	a.uint32(uint32(id))
}

// ReleaseIdleConnections implements decision.Host.
func (a Actions) ReleaseIdleConnections(id decision.BackendID) {
	a.begin(actionReleaseConnections)
	a.uint32(uint32(id))
}

// WatchEndpoints implements decision.Host.
func (a Actions) WatchEndpoints(on bool) {
	a.begin(actionWatchEndpoints)
	if on {
		a.uint8(1)
	} else {
		a.uint8(0)
	}
}

// FetchEndpoints implements decision.Host.
func (a Actions) FetchEndpoints() { a.begin(actionFetchEndpoints) }

// SendToPeer implements decision.Host.
func (a Actions) SendToPeer(peer uint32, body []byte) {
	a.begin(actionSendToPeer)
	a.uint32(peer)
	a.bytes(body, maxPeerMessageBytes)
}

// StartTimer implements decision.Host.
func (a Actions) StartTimer(delay time.Duration, token uint64) {
	a.begin(actionStartTimer)
	a.millis(delay)
	a.uint64(token)
}

// Log implements decision.Host.
func (a Actions) Log(line string) {
	a.begin(actionLog)
	a.bytes([]byte(line), maxTextBytes)
}

// ReportFailure writes a record that reports a failure of the decision module, with its reason.
func (a Actions) ReportFailure(reason string) {
	a.begin(actionReportFailure)
	a.bytes([]byte(reason), maxTextBytes)
}
