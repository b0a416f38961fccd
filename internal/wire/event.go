package wire

import (
	"fmt"

	"lapisspread/decision"
)

// EventCode is the record code of an event.
type EventCode uint8

// The event codes. Each comment starts with the name that the protocol gives to the record.
const (
	Init                EventCode = 1  // init: starts a new instance
	EndpointsChanged    EventCode = 2  // membership
	RequestArrived      EventCode = 3  // ask
	FirstByteReceived   EventCode = 4  // headers
	AttemptEnded        EventCode = 5  // returned
	ClientGone          EventCode = 6  // aborted
	TimerFired          EventCode = 7  // elapsed
	HealthChecked       EventCode = 8  // probed
	PeerMessageReceived EventCode = 9  // neighbour_says
	Destroy             EventCode = 10 // destroy: the instance was removed
	selectInstance      EventCode = 11 // to: the events after it are for this instance
)

// Event is one decoded event. Only the fields that belong to Code are valid; each comment names the event code of its
// field. Slices are valid until the next event is decoded.
type Event struct {
	Code        EventCode
	Instance    uint16
	Seed        uint64                     // Init
	Settings    []byte                     // Init: see ParseSettings
	RequestID   decision.RequestID         // ClientGone
	TimerToken  uint64                     // TimerFired
	Endpoints   decision.EndpointUpdate    // EndpointsChanged
	Request     decision.Request           // RequestArrived
	FirstByte   decision.FirstByte         // FirstByteReceived
	Outcome     decision.Outcome           // AttemptEnded
	HealthCheck decision.HealthCheckResult // HealthChecked
	PeerMessage decision.PeerMessage       // PeerMessageReceived
}

// The bits of a request's flags byte. Each comment is the name that the protocol gives to the bit.
const (
	expectedWorkValid = 1 << iota // hint_valid
	markedRetry                   // client_repeat
)

// endpointBytes is the encoded length of one endpoint of a list, in bytes.
const endpointBytes = 23

// resultByCode maps the protocol's result codes to results.
var resultByCode = [...]decision.Result{
	decision.Error,
	decision.OK,
	decision.Rejected,
	decision.Timeout,
	decision.ConnectFailed,
	decision.Reset,
	decision.Cancelled,
	decision.NotSent,
}

// stateByCode maps the protocol's availability codes to backend states.
var stateByCode = [...]decision.BackendState{decision.Removed, decision.Ready, decision.Draining}

// updateKindByCode maps the protocol's list modes to kinds of update.
var updateKindByCode = [...]decision.UpdateKind{
	decision.UpdateDelta,
	decision.UpdateFull,
	decision.UpdateCached,
	decision.UpdateFailed,
}

// event decodes the fields of the event whose code is set.
func (d *decoder) event(event *Event) {
	switch event.Code {
	case Init:
		event.Seed = d.uint64()
		event.Settings = d.bytes(int(d.uint32()))
	case EndpointsChanged:
		event.Endpoints = d.endpoints()
	case RequestArrived:
		event.Request = d.request()
	case FirstByteReceived:
		event.FirstByte = d.firstByte()
	case AttemptEnded:
		event.Outcome = d.outcome()
	case ClientGone:
		event.RequestID = decision.RequestID(d.uint32())
	case TimerFired:
		event.TimerToken = d.uint64()
	case HealthChecked:
		event.HealthCheck = d.healthCheck()
	case PeerMessageReceived:
		event.PeerMessage.From = int(d.uint16())
		event.PeerMessage.Body = d.bytes(int(d.uint16()))
	case Destroy:
	default:
		d.fail(ErrUnknownRecord)
	}
}

func (d *decoder) request() decision.Request {
	var r decision.Request
	r.ID = decision.RequestID(d.uint32())
	r.ExpectedWork = d.millis()
	r.Deadline = d.millis()
	flags := d.uint8()
	r.Class = int(d.uint8())
	r.Key = d.uint64()
	r.Tenant = int(d.uint32())
	if flags&expectedWorkValid == 0 || r.ExpectedWork < 0 {
		r.ExpectedWork = 0
	}
	r.MarkedRetry = flags&markedRetry != 0
	return r
}

func (d *decoder) firstByte() decision.FirstByte {
	var f decision.FirstByte
	f.ID = decision.RequestID(d.uint32())
	f.Attempt = int(d.uint8())
	f.Backend = decision.BackendID(d.uint32())
	f.Latency = d.millis()
	return f
}

func (d *decoder) outcome() decision.Outcome {
	var o decision.Outcome
	o.ID = decision.RequestID(d.uint32())
	o.Attempt = int(d.uint8())
	o.Backend = decision.BackendID(d.uint32())
	o.Result = d.result()
	o.Latency = d.millis()
	o.Final = d.uint8() != 0
	d.skipLoadReport()
	return o
}

func (d *decoder) healthCheck() decision.HealthCheckResult {
	var h decision.HealthCheckResult
	h.Backend = decision.BackendID(d.uint32())
	h.Result = d.result()
	h.Latency = d.millis()
	d.skipLoadReport()
	return h
}

func (d *decoder) result() decision.Result {
	code := d.uint8()
	if int(code) >= len(resultByCode) {
		d.fail(fmt.Errorf("unknown outcome %d", code))
		return decision.Error
	}
	return resultByCode[code]
}

// skipLoadReport skips the load figures that a backend reports (a count byte and that many float32 values), because no
// decision uses them.
func (d *decoder) skipLoadReport() {
	const numberBytes = 4
	d.bytes(numberBytes * int(d.uint8()))
}

func (d *decoder) endpoints() decision.EndpointUpdate {
	kind := d.uint8()
	version := d.uint32()
	count := int(d.uint32())
	if int(kind) >= len(updateKindByCode) {
		d.fail(fmt.Errorf("unknown list mode %d", kind))
	} else if count > (len(d.data)-d.pos)/endpointBytes {
		d.fail(ErrShortRecord)
	}
	if d.err != nil {
		return decision.EndpointUpdate{}
	}
	d.backends = d.backends[:0]
	for range count {
		backend, ok := d.backend()
		if !ok {
			break
		}
		d.backends = append(d.backends, backend)
	}
	return decision.EndpointUpdate{Kind: updateKindByCode[kind], Version: version, Backends: d.backends}
}

func (d *decoder) backend() (b decision.Backend, ok bool) {
	b.ID = decision.BackendID(d.uint32())
	b.Zone = int(d.uint16())
	b.Kind = int(d.uint16())
	b.Cell = int(d.uint16())
	state := d.uint8()
	b.Weight = float64(d.float32())
	b.Started = d.millis()
	if int(state) >= len(stateByCode) {
		d.fail(fmt.Errorf("backend %d: unknown availability %d", b.ID, state))
		return b, false
	}
	b.State = stateByCode[state]
	return b, true
}
