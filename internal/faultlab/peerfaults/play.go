package peerfaults

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	answerGrace  = 500 * time.Millisecond // after a request's time, within which an answer is not lost
	leaveGrace   = 100 * time.Millisecond // after a client's leave, within which an attempt may begin
	timeoutSlack = 150 * time.Millisecond // by which a server may be told more time than the client has left
	badClientEnd = 3 * time.Second        // within which a client that stops in a request gets its error or close

	leaveAfter       = 90 * time.Millisecond  // from a request's last byte to the client's leave
	emptyBacklogAt   = 500 * time.Millisecond // from the request's first byte until the server accepts
	requestAfterTerm = 300 * time.Millisecond
	killAfterTerm    = 2700 * time.Millisecond // the longest deadline of the settings, 2 s, and 0.7 s
	watchAfterLeave  = 2 * time.Second         // how long the server waits for an attempt after the client's leave
)

// Result is the outcome of one case.
type Result struct {
	Case   Case     `json:"case"`
	Name   string   `json:"name"`
	Broken []string `json:"broken"` // the rules that were broken
	Seen   string   `json:"seen"`
}

// Play plays cases, some at the same time, and calls report after each. binary is the proxy's program.
func Play(ctx context.Context, binary string, cases []Case, parallel int, report func(Result)) error {
	var mu sync.Mutex
	var failed error
	next := make(chan Case)
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for c := range next {
				result, err := playOne(ctx, binary, c)
				mu.Lock()
				if err != nil && failed == nil {
					failed = fmt.Errorf("%s: %w", c, err)
				}
				if err == nil {
					report(result)
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range cases {
		if ctx.Err() != nil {
			break
		}
		next <- c
	}
	close(next)
	workers.Wait()
	return failed
}

// playOne plays one case around a proxy of its own.
func playOne(ctx context.Context, binary string, c Case) (Result, error) {
	stop := make(chan struct{})
	defer close(stop)
	s, err := newServer(c, stop)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = s.listener.Close() }()
	p, err := startProxy(ctx, binary, s.addr, c)
	if err != nil {
		return Result{}, err
	}
	defer p.end()
	if c.LateConnection {
		if err := s.fillBacklog(); err != nil {
			return Result{}, err
		}
	}
	conn, err := net.Dial("tcp4", p.listen)
	if err != nil {
		return Result{}, fmt.Errorf("the client: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if c.Draining {
		p.signal(syscall.SIGTERM)
		kill := time.AfterFunc(killAfterTerm, func() { p.signal(syscall.SIGKILL) })
		defer kill.Stop()
		time.Sleep(requestAfterTerm)
	}
	if c.LateConnection {
		time.AfterFunc(emptyBacklogAt, s.serve)
	}
	record := send(conn, c, stop)
	if !record.left.IsZero() {
		time.Sleep(watchAfterLeave)
	}
	return s.judge(record), nil
}

// judge holds what was seen against the rules.
func (s *server) judge(r clientRecord) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := Result{Case: s.testCase, Name: s.testCase.String(), Seen: s.describe(r)}
	if s.isUnanswered(r) {
		result.Broken = append(result.Broken, "no byte of an answer in time")
	}
	result.Broken = append(result.Broken, s.judgeAttempts(r)...)
	if r.status == 200 && r.bodyErr == nil && r.body != s.wholeBody() {
		result.Broken = append(result.Broken, "a part of an answer looks like the whole")
	}
	if s.mustComplete() && (r.status != 200 || r.bodyErr != nil) {
		result.Broken = append(result.Broken, "an answer was cut off while its server was writing it")
	}
	if s.testCase.Peer == Client && s.testCase.Fault == Silent && s.testCase.Point != Whole && s.isHeld(r) {
		result.Broken = append(result.Broken, "a client that stopped got neither an error nor a close in time")
	}
	return result
}

// judgeAttempts holds what the server has seen against the rules. The lock must be held.
func (s *server) judgeAttempts(r clientRecord) []string {
	var broken []string
	for _, a := range s.begun {
		if late := a.at.Sub(r.left); !r.left.IsZero() && late > leaveGrace {
			broken = append(broken, fmt.Sprintf("begun %v after the client had left", late.Round(time.Millisecond)))
		}
		if r.whole.IsZero() {
			continue
		}
		if excess := a.timeout - s.testCase.timeout() + a.at.Sub(r.whole); excess > timeoutSlack {
			broken = append(broken, fmt.Sprintf("the server was told %v more than the client has left", excess.Round(time.Millisecond)))
		}
	}
	return broken
}

// isUnanswered reports whether a whole request of a client that stayed has no answer in time.
func (s *server) isUnanswered(r clientRecord) bool {
	if r.whole.IsZero() || !r.left.IsZero() {
		return false
	}
	return r.firstByte.IsZero() || r.firstByte.After(r.whole.Add(s.testCase.timeout()+answerGrace))
}

// isHeld reports whether a client that stopped in a request was left waiting.
func (s *server) isHeld(r clientRecord) bool {
	end := r.firstByte
	if end.IsZero() {
		end = r.closed
	}
	return end.IsZero() || end.After(r.stopped.Add(badClientEnd+answerGrace))
}

// mustComplete reports whether the case's answer must reach the client to its end: the server goes on writing, within
// the request's time or after the first bytes were passed on.
func (s *server) mustComplete() bool {
	c := s.testCase
	return c.Peer == Server && c.Fault == Dribbles && !c.Draining && c.Framing != ShortLength &&
		c.Point != BeforeReading && c.Point != WhileReading
}

// wholeBody returns the body of a complete answer. Without a length, it is what was written before the server's close.
func (s *server) wholeBody() string {
	c := s.testCase
	if c.Peer == Server && c.Framing == Unframed && c.Fault == Closes {
		return s.answer.body[:max(0, s.answer.points[c.Point]-s.answer.points[AfterHead])]
	}
	return s.answer.body
}

// describe tells what was seen, in one line.
func (s *server) describe(r clientRecord) string {
	start := r.whole
	if start.IsZero() {
		start = r.stopped
	}
	var parts []string
	switch {
	case !r.firstByte.IsZero() && !start.IsZero():
		parts = append(parts, fmt.Sprintf("status %d after %.3f s, %d bytes in %.3f s", r.status, r.firstByte.Sub(start).Seconds(), len(r.body),
			r.closed.Sub(start).Seconds()))
	case !r.firstByte.IsZero():
		parts = append(parts, fmt.Sprintf("status %d, %d bytes", r.status, len(r.body)))
	case !r.closed.IsZero() && !start.IsZero():
		parts = append(parts, fmt.Sprintf("closed after %.3f s", r.closed.Sub(start).Seconds()))
	case r.left.IsZero():
		parts = append(parts, "nothing")
	}
	if r.bodyErr != nil {
		parts = append(parts, "incomplete")
	}
	for _, a := range s.begun {
		if !r.left.IsZero() {
			parts = append(parts, fmt.Sprintf("begun %.3f s after the leave", a.at.Sub(r.left).Seconds()))
		}
	}
	if !r.left.IsZero() && len(s.begun) == 0 {
		parts = append(parts, "never begun")
	}
	return strings.Join(parts, ", ")
}
