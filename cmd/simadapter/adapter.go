package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/wire"
)

// inputBufferBytes is the size of the buffer for batches that are read.
const inputBufferBytes = 64 << 10

// adapter hosts instances of the decision module, by the simulator's number of each.
type adapter struct {
	instances map[uint16]*decision.Balancer
	reply     wire.Reply
}

// panicError is a panic in the decision module, which the protocol has a record for.
type panicError struct {
	instance uint16
	value    any
}

// Error implements error, on one line.
func (e *panicError) Error() string {
	return fmt.Sprintf("instance %d: the decision code failed: %v", e.instance, e.value)
}

// unknownInstanceError is an event for an instance that does not exist.
type unknownInstanceError struct{ instance uint16 }

// Error implements error, on one line.
func (e *unknownInstanceError) Error() string {
	return fmt.Sprintf("instance %d was never initialised", e.instance)
}

// serve answers each batch with a reply until the input ends. It blocks until then. A reply is written completely or
// not at all.
func serve(in io.Reader, out io.Writer) error {
	in = bufio.NewReaderSize(in, inputBufferBytes)
	a := &adapter{instances: map[uint16]*decision.Balancer{}}
	var buf []byte
	for {
		var batch wire.Batch
		var err error
		batch, buf, err = wire.ReadBatch(in, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.answer(batch, out); err != nil {
			return err
		}
	}
}

// answer handles a batch and writes its reply. After a panic in the decision module the reply holds nothing but the
// failure, and the panic is the error.
func (a *adapter) answer(batch wire.Batch, out io.Writer) error {
	a.reply.Reset(batch.Seq)
	handled := batch.Each(func(event *wire.Event) error { return a.deliverRecovering(batch, event) })
	var failure *panicError
	switch {
	case handled == nil:
	case errors.As(handled, &failure): // what the batch had decided so far is void
		a.reply.Reset(batch.Seq)
		wire.Actions{Reply: &a.reply, Instance: failure.instance}.ReportFailure(failure.Error())
	default:
		return handled
	}
	if _, err := out.Write(a.reply.Bytes()); err != nil {
		return fmt.Errorf("batch %d: writing the reply: %w", batch.Seq, err)
	}
	return handled
}

// deliverRecovering delivers an event and turns a panic into a *panicError.
func (a *adapter) deliverRecovering(batch wire.Batch, event *wire.Event) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &panicError{event.Instance, v}
		}
	}()
	return a.deliver(batch, event)
}

// deliver hands an event to its instance, whose actions go into the reply.
func (a *adapter) deliver(batch wire.Batch, event *wire.Event) error {
	now := batch.Now
	if event.Code == wire.Init {
		return a.start(now, event)
	}
	balancer := a.instances[event.Instance]
	if balancer == nil {
		return &unknownInstanceError{event.Instance}
	}
	switch event.Code {
	case wire.EndpointsChanged:
		balancer.UpdateEndpoints(now, event.Endpoints)
	case wire.RequestArrived:
		balancer.Request(now, event.Request)
	case wire.FirstByteReceived:
		balancer.FirstByte(now, event.FirstByte)
	case wire.AttemptEnded:
		balancer.Outcome(now, event.Outcome)
	case wire.ClientGone:
		balancer.ClientGone(now, event.RequestID)
	case wire.TimerFired:
		balancer.Timer(now, event.TimerToken)
	case wire.HealthChecked:
		balancer.HealthChecked(now, event.HealthCheck)
	case wire.PeerMessageReceived:
		balancer.PeerMessage(now, event.PeerMessage)
	case wire.Destroy:
		delete(a.instances, event.Instance)
	}
	return nil
}

// start makes an instance by its settings; one of the same number gives way.
func (a *adapter) start(now time.Duration, event *wire.Event) error {
	config, err := wire.ParseSettings(string(event.Settings))
	if err != nil {
		return err
	}
	host := wire.Actions{Reply: &a.reply, Instance: event.Instance}
	balancer, err := decision.New(config, event.Seed, host)
	if err != nil {
		return err
	}
	a.instances[event.Instance] = balancer
	balancer.Start(now)
	return nil
}
