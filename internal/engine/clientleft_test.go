package engine

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// scriptedClient is a Client that has left once the test says so.
type scriptedClient struct{ left atomic.Bool }

func (c *scriptedClient) Left() bool { return c.left.Load() }

// leave makes the client of a request leave, without a call of ClientGone.
func leave(r *Request) { r.Client.(*scriptedClient).left.Store(true) }

// Guards against an attempt being begun whose client has left while the connection came up, where nothing but the client's
// connection shows that. The request ends, and no further attempt starts.
func TestAttemptIsNotSentForAClientThatLeft(t *testing.T) {
	idempotent := decision.Class{Idempotency: decision.Idempotent}
	for _, retry := range []bool{false, true} {
		runLateConnectionTest(t, idempotent, false, func(t *testing.T, _ *Engine, r *Request, dialed <-chan *dialedAttempt) {
			attempt := <-dialed
			if retry {
				if !attempt.connect(decision.Reset) {
					t.Fatal("first attempt was not sent")
				}
				attempt = <-dialed
			}
			leave(r)
			if attempt.connect(decision.OK) {
				t.Errorf("retry %v: the attempt was sent after its client had left", retry)
			}
			if result := <-r.Result(); !result.ClientGone || result.MayHaveRun != retry {
				t.Errorf("retry %v: result %+v, want ClientGone, and MayHaveRun only if there was an attempt before", retry, result)
			}
			synctest.Wait()
			select {
			case <-dialed:
				t.Errorf("retry %v: a further attempt was started after the client had left", retry)
			default:
			}
		})
	}
}

// An attempt tells what is left of its time when it asks, and not what was left at its start.
func TestTimeLeftOfAnAttempt(t *testing.T) {
	runLateConnectionTest(t, decision.Class{}, false, func(t *testing.T, _ *Engine, r *Request, dialed <-chan *dialedAttempt) {
		attempt := <-dialed
		atStart := attempt.attempt.TimeLeft()
		time.Sleep(time.Second)
		if later := attempt.attempt.TimeLeft(); atStart-later != time.Second {
			t.Errorf("TimeLeft() = %v at first and %v a second later, want a difference of a second", atStart, later)
		}
		attempt.connect(decision.OK)
		<-r.Result()
	})
}

// A request whose body is on its way ends if its client leaves, also while no attempt can be sent.
func TestUploadEndsWhenItsClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, stop := startDeafEngine(t)
		u := &scriptedUpload{clock: e.Clock(), writtenAt: time.Now().Add(time.Hour)}
		r := &Request{Class: 1, Timeout: time.Minute, Upload: u, Message: message{}, Client: &scriptedClient{}}
		r.Init()
		e.Post(func() { e.Submit(r) })
		synctest.Wait()
		leave(r)
		if result := <-r.Result(); !result.ClientGone {
			t.Errorf("result %+v, want ClientGone", result)
		}
		stop()
	})
}
