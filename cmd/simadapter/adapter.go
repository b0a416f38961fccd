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

// inputBufferBytes is the size of the read buffer in front of the input, in bytes.
const inputBufferBytes = 64 << 10

// adapter runs instances of the decision module. The map's key is the number that the simulator gives to the instance.
type adapter struct {
	instances map[uint16]*decision.Balancer
	reply     wire.Reply
}

// panicError reports a panic in the decision module. The protocol has a record for it, see wire.Actions.ReportFailure.
type panicError struct {
	instance uint16
	value    any
}

// Error implements error. The text is one line.
func (e *panicError) Error() string {
	return fmt.Sprintf("instance %d: the decision code failed: %v", e.instance, e.value)
}

// unknownInstanceError reports an event for an instance that does not exist.
type unknownInstanceError struct{ instance uint16 }

// Error implements error. The text is one line.
func (e *unknownInstanceError) Error() string {
	return fmt.Sprintf("instance %d was never initialised", e.instance)
}

// serve answers each batch of in with a reply on out. It blocks until the first error or until the input ends, which is
// not an error between two batches. A reply is written with one call of out.Write, and only once its batch has been
// handled.
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

// answer handles a batch and writes its reply. After a panic in the decision module the reply contains only the failure
// record, and answer returns the *panicError.
func (a *adapter) answer(batch wire.Batch, out io.Writer) error {
	a.reply.Reset(batch.Seq)
	handleErr := batch.Each(func(event *wire.Event) error { return a.deliverRecovering(batch, event) })
	var failure *panicError
	switch {
	case handleErr == nil:
	case errors.As(handleErr, &failure): // the actions decided so far in this batch are discarded
		a.reply.Reset(batch.Seq)
		wire.Actions{Reply: &a.reply, Instance: failure.instance}.ReportFailure(failure.Error())
	default:
		return handleErr
	}
	if _, err := out.Write(a.reply.Bytes()); err != nil {
		return fmt.Errorf("batch %d: writing the reply: %w", batch.Seq, err)
	}
	return handleErr
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

// deliver passes an event to its instance, which writes its actions to the reply.
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

// start creates an instance from the settings of an init event and replaces any instance with the same number.
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
