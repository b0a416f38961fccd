package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
)

// encode concatenates fields as little-endian bytes. An int is encoded as one byte.
func encode(fields ...any) []byte {
	var buf bytes.Buffer
	for _, f := range fields {
		switch v := f.(type) {
		case int:
			buf.WriteByte(byte(v))
		case string:
			buf.WriteString(v)
		case []byte:
			buf.Write(v)
		default:
			if err := binary.Write(&buf, binary.LittleEndian, v); err != nil {
				panic(err)
			}
		}
	}
	return buf.Bytes()
}

// batch builds the frame of a batch: a header followed by body.
func batch(seq uint32, clock float64, records uint32, body []byte) []byte {
	return encode(seq, clock, uint32(len(body)), records, body)
}

// decodeEvents decodes all events of one frame. The backend slices are copied because the decoder reuses them for the
// next event.
func decodeEvents(t testing.TB, data []byte) ([]Event, error) {
	t.Helper()
	b, _, err := ReadBatch(bytes.NewReader(data), nil)
	if err != nil {
		return nil, err
	}
	var out []Event
	err = b.Each(func(ev *Event) error {
		e := *ev
		e.Endpoints.Backends = append([]decision.Backend(nil), ev.Endpoints.Backends...)
		out = append(out, e)
		return nil
	})
	return out, err
}

const ms = time.Millisecond

// Each event record is decoded into the fields of its type. The cases have the protocol's names of the records.
func TestEventLayouts(t *testing.T) {
	row := encode(uint32(70), uint16(2), uint16(1), uint16(9), 1, float32(1.5), 8000.25)
	backend := decision.Backend{
		ID:      70,
		Zone:    2,
		Kind:    1,
		Cell:    9,
		State:   decision.Ready,
		Weight:  1.5,
		Started: 8000*ms + 250*time.Microsecond,
	}
	request := decision.Request{
		ID:           9,
		Class:        2,
		Tenant:       4,
		Key:          1 << 60,
		ExpectedWork: 12500 * time.Microsecond,
		Deadline:     900 * ms,
		MarkedRetry:  true,
	}
	for _, c := range []struct {
		name   string
		record []byte
		got    func(Event) any
		want   any
	}{
		{"init", encode(1, uint64(77), uint32(3), "a=b"), func(e Event) any { return string(e.Settings) }, "a=b"},
		{"membership", encode(2, 1, uint32(5), uint32(1), row), func(e Event) any { return e.Endpoints },
			decision.EndpointUpdate{Kind: decision.UpdateFull, Version: 5, Backends: []decision.Backend{backend}}},
		{"membership with a failed list", encode(2, 3, uint32(5), uint32(0)),
			func(e Event) any { return e.Endpoints.Kind }, decision.UpdateFailed},
		{"ask", encode(3, uint32(9), 12.5, 900.0, 3, 2, uint64(1<<60), uint32(4)),
			func(e Event) any { return e.Request }, request},
		{"ask without a valid hint", encode(3, uint32(9), 12.5, 900.0, 0, 2, uint64(0), uint32(0)),
			func(e Event) any { return e.Request.ExpectedWork }, time.Duration(0)},
		{"headers", encode(4, uint32(9), 1, uint32(70), 3.0), func(e Event) any { return e.FirstByte },
			decision.FirstByte{ID: 9, Attempt: 1, Backend: 70, Latency: 3 * ms}},
		{"returned", encode(5, uint32(9), 1, uint32(70), 4, 3.0, 1, 2, float32(1), float32(2)),
			func(e Event) any { return e.Outcome }, decision.Outcome{ID: 9, Attempt: 1, Backend: 70,
				Result: decision.ConnectFailed, Latency: 3 * ms, Final: true}},
		{"aborted", encode(6, uint32(9)), func(e Event) any { return e.RequestID }, decision.RequestID(9)},
		{"elapsed", encode(7, uint64(1)<<63), func(e Event) any { return e.TimerToken }, uint64(1) << 63},
		{"probed", encode(8, uint32(70), 1, 1.5, 0), func(e Event) any { return e.HealthCheck },
			decision.HealthCheckResult{Backend: 70, Result: decision.OK, Latency: 1500 * time.Microsecond}},
		{"neighbour_says", encode(9, uint16(2), uint16(2), "hi"),
			func(e Event) any { return string(e.PeerMessage.Body) }, "hi"},
		{"destroy", encode(10), func(e Event) any { return e.Code }, Destroy},
	} {
		events, err := decodeEvents(t, batch(1, 5, 2, encode(11, uint16(3), c.record)))
		if err != nil || len(events) != 1 || events[0].Instance != 3 {
			t.Errorf("%s record: decoded events %+v, error %v, want one event for instance 3", c.name, events, err)
			continue
		}
		if got := c.got(events[0]); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s record: decoded value = %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestResultCodes(t *testing.T) {
	want := []decision.Result{decision.Error, decision.OK, decision.Rejected, decision.Timeout, decision.ConnectFailed,
		decision.Reset, decision.Cancelled, decision.NotSent}
	for code, result := range want {
		events, err := decodeEvents(t, batch(1, 0, 2, encode(11, uint16(0), 8, uint32(1), code, 0.0, 0)))
		if err != nil || events[0].HealthCheck.Result != result {
			t.Errorf("health check with result code %d: decoded events %+v, error %v, want result %v",
				code, events, err, result)
		}
	}
}

func TestMalformedBatchErrorsSayWhere(t *testing.T) {
	good := encode(11, uint16(3), 7, uint64(1))
	for _, c := range []struct {
		name string
		data []byte
		want string
	}{
		{"truncated header", batch(1, 0, 0, nil)[:7], "header has 7 of 20"},
		{"truncated body", batch(1, 0, 2, good)[:25], "5 of 12 bytes"},
		{"bytes after the last record", batch(4, 0, 1, good), "batch 4, byte 3: wrong length"},
		{"record count larger than the body", batch(1, 0, 3, good), "record 2 at byte 12"},
		{"unknown record code", batch(1, 0, 2, encode(11, uint16(3), 99)), "record 1 at byte 3 (code 99): unknown"},
		{"event before any instance record", batch(1, 0, 1, encode(7, uint64(1))), "no instance"},
		{"unknown result code", batch(1, 0, 2, encode(11, uint16(0), 8, uint32(1), 8, 0.0, 0)), "unknown outcome 8"},
		{"unknown endpoint list mode", batch(1, 0, 2, encode(11, uint16(0), 2, 4, uint32(0), uint32(0))),
			"unknown list mode"},
		{"endpoint count larger than the body", batch(1, 0, 2, encode(11, uint16(0), 2, 1, uint32(0), uint32(1<<31))),
			"past the end"},
		{"settings length larger than the body", batch(1, 0, 2, encode(11, uint16(0), 1, uint64(0), uint32(1<<31))),
			"past the end"},
		{"clock is NaN", batch(1, math.NaN(), 0, nil), "clock"},
		{"latency out of range", batch(1, 0, 2, encode(11, uint16(0), 8, uint32(1), 1, 1e300, 0)), "out of range"},
	} {
		_, err := decodeEvents(t, c.data)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: decoding the batch: error %v, want one line containing %q", c.name, err, c.want)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("ReadBatch at the end of the input: error %v, want io.EOF", err)
	}
}

func TestBatchOfMegabytes(t *testing.T) {
	body := encode(11, uint16(0))
	timerFired := encode(7, uint64(5))
	const n = 400_000
	for range n {
		body = append(body, timerFired...)
	}
	events, err := decodeEvents(t, batch(1, 0, n+1, body))
	if err != nil || len(events) != n {
		t.Errorf("decoding a batch of %d bytes: %d events, error %v, want %d events", len(body), len(events), err, n)
	}
}

// Each action is encoded as the record of its type. The cases have the protocol's names of the records.
func TestActionLayouts(t *testing.T) {
	var r Reply
	for _, c := range []struct {
		name string
		call func(decision.Host)
		want []byte
	}{
		{"transmit", func(h decision.Host) { h.Send(9, 70, 1500*time.Microsecond) },
			encode(1, uint32(9), uint32(70), 1.5)},
		{"reject", func(h decision.Host) { h.Reject(9, 240*ms) }, encode(2, uint32(9), 240.0)},
		{"end_failed", func(h decision.Host) { h.Fail(9) }, encode(3, uint32(9))},
		{"abort_attempt", func(h decision.Host) { h.Cancel(9, 2) }, encode(4, uint32(9), 2)},
		{"notify_me", func(h decision.Host) { h.StartTimer(500*ms, 77) }, encode(5, 500.0, uint64(77))},
		{"sample", func(h decision.Host) { h.CheckHealth(70) }, encode(6, uint32(70))},
		{"release", func(h decision.Host) { h.ReleaseIdleConnections(70) }, encode(7, uint32(70))},
		{"signal", func(h decision.Host) { h.SendToPeer(decision.AllPeers, []byte("hi")) },
			encode(8, uint32(1<<32-1), uint16(2), "hi")},
		{"say_log", func(h decision.Host) { h.Log("x") }, encode(9, uint16(1), "x")},
		{"broken", func(h decision.Host) { h.(Actions).ReportFailure("x") }, encode(10, uint16(1), "x")},
		{"observe", func(h decision.Host) {
			h.WatchEndpoints(true)
			h.WatchEndpoints(false)
		}, encode(11, 1, 11, 0)},
		{"resolve", func(h decision.Host) { h.FetchEndpoints() }, encode(12)},
	} {
		r.Reset(6)
		c.call(Actions{Reply: &r, Instance: 3})
		got := r.Bytes()
		records := uint32(2)
		if c.name == "observe" {
			records = 3
		}
		body := encode(13, uint16(3), c.want)
		if want := encode(uint32(6), records, uint32(len(body)), body); !bytes.Equal(got, want) {
			t.Errorf("reply with action %s:\n got %x\nwant %x", c.name, got, want)
		}
	}
	r.Reset(7)
	if got := r.Bytes(); !bytes.Equal(got, encode(uint32(7), uint32(0), uint32(0))) {
		t.Errorf("reply without actions = %x, want a header with sequence number 7 and no records", got)
	}
	r.Reset(8)
	Actions{&r, 1}.FetchEndpoints()
	Actions{&r, 2}.FetchEndpoints()
	Actions{&r, 1}.FetchEndpoints()
	want := encode(13, uint16(1), 12, 13, uint16(2), 12, 13, uint16(1), 12)
	if got := r.Bytes()[12:]; !bytes.Equal(got, want) {
		t.Errorf("body of a reply with actions of instances 1, 2, 1 = %x, want %x", got, want)
	}
}

func FuzzBatches(f *testing.F) {
	f.Add(batch(1, 5, 2, encode(11, uint16(3), 7, uint64(1))))
	f.Add(batch(1, 5, 2, encode(11, uint16(3), 1, uint64(1), uint32(3), "a=b")))
	f.Add(batch(1, 5, 2, encode(11, uint16(0), 2, 1, uint32(0), uint32(1<<31))))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := decodeEvents(t, data)
		if err != nil && !errors.Is(err, io.EOF) && strings.Contains(err.Error(), "\n") {
			t.Errorf("error of a malformed batch has more than one line: %q", err)
		}
	})
}

// decodeHex decodes the notation of the examples on the protocol page: hex digits, separated by spaces, and after three
// spaces the name of the record, which is ignored.
func decodeHex(t *testing.T, lines ...string) []byte {
	t.Helper()
	var out []byte
	for _, l := range lines {
		l, _, _ = strings.Cut(l, "   ")
		b, err := hex.DecodeString(strings.ReplaceAll(l, " ", ""))
		if err != nil {
			t.Fatalf("decoding the hex digits %q: %v", l, err)
		}
		out = append(out, b...)
	}
	return out
}

// The examples on the protocol page are decoded to the values that the page gives for them.
func TestProtocolPageExamples(t *testing.T) {
	events, err := decodeEvents(t, decodeHex(t, "0c000000", "00000000206ec040", "37000000", "05000000", "0b 0300   to",
		"03 c4913a5d 0000000000002840 0000000020e6c040 01 00 640ad2557c3bf091 00000000   ask",
		"07 4d00000000000000   elapsed", "0b 0500   to", "06 192b6f0e   aborted"))
	if err != nil || len(events) != 3 {
		t.Fatalf("decoding the example batch: %d events, error %v, want 3 events", len(events), err)
	}
	request := decision.Request{ID: 0x5d3a91c4, ExpectedWork: 12 * ms, Deadline: 8652250 * time.Microsecond,
		Key: 0x91f03b7c55d20a64}
	if events[0].Instance != 3 || events[0].Request != request || events[1].TimerToken != 77 || events[2].Instance != 5 {
		t.Errorf("events of the example batch = %+v, want request %+v of instance 3, timer token 77, "+
			"and an event of instance 5", events, request)
	}
	var r Reply
	r.Reset(12)
	Actions{&r, 3}.Send(0x5d3a91c4, 0x03124a07, 8492250*time.Microsecond)
	Actions{&r, 3}.StartTimer(500*ms, 77)
	Actions{&r, 5}.Log("two servers know")
	if got := r.Bytes(); got[4] != 5 {
		t.Errorf("reply with three actions of two instances has %d records, want 5", got[4])
	}
	for _, c := range []struct {
		record string
		match  func(Event) bool // whether the event has the values of the example
	}{
		{"02 02 29000000 02000000 074a1203 0000 0000 0000 01 0000803f 0000000000000000 " +
			"f211902c 0100 0000 0000 01 0000c03f 0000000000d4b740   membership", func(e Event) bool {
			l := e.Endpoints
			return l.Kind == decision.UpdateCached && l.Version == 41 && len(l.Backends) == 2 &&
				l.Backends[1].Zone == 1 && l.Backends[1].Weight == 1.5 && l.Backends[1].Started == 6100*ms
		}},
		{"04 c4913a5d 00 074a1203 0000000000802240   headers", func(e Event) bool {
			return e.FirstByte.Latency == 9250*time.Microsecond
		}},
		{"05 c4913a5d 00 074a1203 01 0000000000803240 01 00   returned", func(e Event) bool {
			return e.Outcome.Result == decision.OK && e.Outcome.Final && e.Outcome.Latency == 18500*time.Microsecond
		}},
		{"08 f211902c 01 666666666666f63f 03 0000e0400000404052b81e3f   probed", func(e Event) bool {
			return e.HealthCheck.Latency == 1400*time.Microsecond && e.HealthCheck.Result == decision.OK
		}},
		{"09 0200 0400 68692037   neighbour_says", func(e Event) bool {
			return e.PeerMessage.From == 2 && string(e.PeerMessage.Body) == "hi 7"
		}},
		{"0a   destroy", func(e Event) bool { return e.Code == Destroy }},
	} {
		events, err := decodeEvents(t, batch(1, 5, 2, decodeHex(t, "0b 0300", c.record)))
		if err != nil || len(events) != 1 || !c.match(events[0]) {
			t.Errorf("decoding example record %q = %+v, error %v, want the values on the protocol page", c.record, events, err)
		}
	}
}
