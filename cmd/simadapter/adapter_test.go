package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"testing"

	"lapisspread/decision"
	"lapisspread/internal/wire"
)

// batch builds the frame of a batch. A string is encoded as its bytes, an int as one byte and other values as
// little-endian.
func batch(seq uint32, records uint32, body ...any) []byte {
	var b bytes.Buffer
	for _, f := range body {
		switch v := f.(type) {
		case int:
			b.WriteByte(byte(v))
		case string:
			b.WriteString(v)
		default:
			_ = binary.Write(&b, binary.LittleEndian, v) // writes to a bytes.Buffer do not fail
		}
	}
	var out bytes.Buffer
	for _, f := range []any{seq, float64(seq) * 100, uint32(b.Len()), records} {
		_ = binary.Write(&out, binary.LittleEndian, f)
	}
	return append(out.Bytes(), b.Bytes()...)
}

// settings are the minimum settings that an instance starts with.
const settings = "Caps.Probes=true\nServices.count=1\nServices.0.Aim=100\nServices.0.GiveUp=500\n"

// initRecord returns the fields of an init record, which starts an instance.
func initRecord(seed uint64) []any {
	return []any{1, seed, uint32(len(settings)), settings}
}

// run passes frames to serve and returns all replies and the error of serve.
func run(t *testing.T, frames ...[]byte) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return out.String(), err
}

func TestEndOfInputBetweenBatchesIsNoError(t *testing.T) {
	out, err := run(t, batch(1, 0))
	if err != nil || len(out) != 12 {
		t.Errorf("serve of one empty batch: reply of %d bytes, error %v, want 12 bytes and no error", len(out), err)
	}
}

func TestInstancesInAnyOrderAndNumber(t *testing.T) {
	first := append([]any{11, uint16(9)}, initRecord(1)...)
	second := append([]any{11, uint16(2)}, initRecord(1)...)
	startBatch := batch(1, 4, slices.Concat(first, second)...)
	restartBatch := batch(2, 4, slices.Concat([]any{11, uint16(9), 10}, initRecord(2), []any{6, uint32(77)})...)
	if out, err := run(t, startBatch, restartBatch); err != nil || len(out) < 24 {
		t.Errorf("serve of two batches for instances 9 and 2: replies of %d bytes, error %v, "+
			"want at least 24 bytes and no error", len(out), err)
	}
}

func TestErrorsAreOneLineAndRepliesAreWhole(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   string
		frames [][]byte
	}{
		{"event for an instance that was never started", "instance 5 was never initialised", [][]byte{
			batch(3, 2, 11, uint16(5), 6, uint32(1))}},
		{"event for an instance that was destroyed", "instance 5 was never initialised", [][]byte{
			batch(1, 3, append([]any{11, uint16(5)}, append(initRecord(1), 10)...)...),
			batch(2, 2, 11, uint16(5), 6, uint32(1))}},
		{"malformed settings line", "settings line 1", [][]byte{batch(1, 2, 11, uint16(5), 1, uint64(1), uint32(3), "abc")}},
		{"settings without classes", "Services: none given", [][]byte{
			batch(1, 2, 11, uint16(5), 1, uint64(1), uint32(3), "a=b")}},
		{"truncated batch", "truncated", [][]byte{batch(1, 0), batch(2, 2, 11, uint16(5), 6, uint32(1))[:25]}},
	} {
		out, err := run(t, c.frames...)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: serve error = %v, want one line containing %q", c.name, err, c.want)
		}
		for rest := []byte(out); len(rest) > 0; {
			size := 12 + int(binary.LittleEndian.Uint32(rest[8:]))
			if size > len(rest) {
				t.Errorf("%s: serve wrote %d bytes of a reply of %d bytes, want complete replies", c.name, len(rest), size)
				break
			}
			rest = rest[size:]
		}
	}
}

// A panic in the decision module becomes an error that names the instance, so that the adapter can report it in a reply
// and end without a stack trace.
func TestPanicIsAnErrorThatNamesTheInstance(t *testing.T) {
	a := &adapter{instances: map[uint16]*decision.Balancer{5: {}}} // not created by decision.New, so any request panics
	err := a.deliverRecovering(wire.Batch{}, &wire.Event{Code: wire.RequestArrived, Instance: 5})
	var failed *panicError
	if !errors.As(err, &failed) || failed.instance != 5 || !strings.Contains(err.Error(), "instance 5") {
		t.Errorf("deliverRecovering of a request that panics = %v, want a *panicError for instance 5", err)
	}
}
