//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = longBodyInADrain }

const (
	bodyBytes     = 100_000 // over 64 KiB, under 32 MB
	pieceBytes    = 3_200
	pieceEvery    = 50 * time.Millisecond // 64 kB a second
	uploads       = 8
	beforeTerm    = 100 * time.Millisecond // from the bodies' beginning to SIGTERM
	lateAfter     = 700 * time.Millisecond // of SIGTERM: what came later and is not answered by SIGKILL is lost
	killAfterTerm = 2700 * time.Millisecond
)

// upload is a request with a long body and what became of it.
type upload struct {
	id       string
	complete time.Time // when the last byte was written
	status   int       // 0 is no answer
	answered time.Time
	err      error
}

// sendSlowly sends one request with a long body, at 64 kB a second.
func sendSlowly(to string, number int, k class) (u upload) {
	u.id = fmt.Sprintf("5c1f03aa5c00%04x", number)
	conn, err := net.Dial("tcp", to)
	if err != nil {
		u.err = err
		return u
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: umurava-taxi\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n", k.method, u.id, k.name, k.giveUp.Milliseconds(), bodyBytes)
	if _, u.err = io.WriteString(conn, head); u.err != nil {
		return u
	}
	piece := make([]byte, pieceBytes)
	for left := bodyBytes; left > 0; left -= len(piece) {
		piece = piece[:min(left, pieceBytes)]
		if _, u.err = conn.Write(piece); u.err != nil {
			return u
		}
		if left > pieceBytes {
			time.Sleep(pieceEvery)
		}
	}
	u.complete = time.Now()
	_ = conn.SetReadDeadline(u.complete.Add(k.giveUp + 10*time.Second))
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

// longBodyInADrain: clients send long bodies while a planned restart begins. Half of the nodes hang, in both plays.
func longBodyInADrain(w *world) ([]string, error) {
	nodes, reg, err := newNodes(w, 4, "std-1")
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
	var all sync.WaitGroup
	done := make([]upload, uploads)
	for i := range uploads {
		all.Go(func() { done[i] = sendSlowly(p.listen, i, driverPayout) })
	}
	w.say("%d clients begin to send bodies of %d bytes at 64 kB a second", uploads, bodyBytes)
	time.Sleep(beforeTerm)
	for _, n := range nodes[:len(nodes)/2] {
		n.mu.Lock()
		n.deaf = true
		n.mu.Unlock()
		w.say("%s hangs", n.id)
	}
	term := time.Now()
	if w.trouble {
		w.say("a planned restart: SIGTERM")
		p.signal(syscall.SIGTERM)
		time.Sleep(killAfterTerm)
		w.say("SIGKILL; the process has ended by itself: %v", !p.running())
		p.kill()
	}
	all.Wait()
	lost := 0
	for _, u := range done {
		w.say("%s: complete %v after SIGTERM, status %d, %v after its last byte (%v)", u.id, u.complete.Sub(term).Round(time.Millisecond), u.status,
			u.answered.Sub(u.complete).Round(time.Millisecond), u.err)
		if u.err != nil && u.complete.Sub(term) > lateAfter {
			lost++
		}
	}
	if lost > 0 {
		return []string{fmt.Sprintf("%d of %d requests that came more than %v after SIGTERM had no answer at SIGKILL", lost, uploads, lateAfter)}, nil
	}
	return nil, nil
}
