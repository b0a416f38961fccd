//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["10"] = longBodyToAHungNode }

const (
	hang       = 12 * time.Second // between 9.7 and 24 s
	longAskers = 24               // clients that send a long body each
	askEvery   = 2 * time.Millisecond
	graceTime  = 500 * time.Millisecond // after the request's time, within which an answer is not lost
)

// sendLong sends one trip-close with a body of so many bytes, as fast as it is taken, and waits for its answer.
func sendLong(to string, number, bytes int) (u upload) {
	u.id = fmt.Sprintf("5c1f03aa5c01%04x", number)
	conn, err := net.Dial("tcp", to)
	if err != nil {
		u.err = err
		return u
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: umurava-taxi\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		tripClose.method, u.id, tripClose.name, tripClose.giveUp.Milliseconds(), bytes)
	if _, u.err = io.WriteString(conn, head); u.err != nil {
		return u
	}
	_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	if _, u.err = conn.Write(make([]byte, bytes)); u.err != nil {
		return u
	}
	u.complete = time.Now()
	_ = conn.SetReadDeadline(u.complete.Add(20 * time.Second)) // the judge sees answers that come too late
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	u.answered = time.Now()
	if err != nil {
		u.err = err
		return u
	}
	_, u.err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	u.status = resp.StatusCode
	return u
}

// longBodyToAHungNode: one of six nodes hangs while clients send long bodies.
func longBodyToAHungNode(w *world) ([]string, error) {
	nodes, reg, err := newNodes(w, 6, "std-1")
	if err != nil {
		return nil, err
	}
	serveUsually(nodes)
	p, err := w.newProxy(0, 1, reg, nil)
	if err != nil {
		return nil, err
	}
	if err := p.run(""); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.say("%s hangs for %v", nodes[0].id, hang)
		nodes[0].hang(hang)
	}
	var all sync.WaitGroup
	done := make([]upload, longAskers)
	for i := range longAskers {
		all.Go(func() { done[i] = sendLong(p.listen, i, bodySize(i)) })
		time.Sleep(askEvery)
	}
	all.Wait()
	late := 0
	for i, u := range done {
		after := u.answered.Sub(u.complete)
		w.say("%s: %d bytes, last byte written: %v, status %d, %v after its last byte (%v)", u.id, bodySize(i), !u.complete.IsZero(), u.status,
			after.Round(time.Millisecond), u.err)
		if !u.complete.IsZero() && after > tripClose.giveUp+graceTime {
			late++
		}
	}
	if late > 0 {
		return []string{fmt.Sprintf("%d of %d requests had no answer within %v and %v after their last byte", late, longAskers, tripClose.giveUp, graceTime)}, nil
	}
	return nil, nil
}

// bodySize is the length of the body of a client: 2 to 9 MB.
func bodySize(client int) int { return (2 + client%8) * 1_000_000 }
