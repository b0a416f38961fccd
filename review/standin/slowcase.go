package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slowreader"] = slowReader }

const (
	longAnswer  = 24_000_000       // bytes
	poorRate    = 80_000           // bytes a second that a client reads while its line is poor
	goodRate    = 4_000_000        // and while it is good
	poorSpan    = 13 * time.Second // of the poor line, from the first byte of the answer on
	readPiece   = 8 << 10          // bytes of one read
	longTimeout = 1000             // ms, of the request
	longLimit   = 90 * time.Second
)

// longNode starts a dispatch node whose answers are long, and which gives them as fast as they are taken.
func longNode(l *lab, name string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			if q.URL.Path == "/ping" {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong")
				continue
			}
			id := q.Header.Get("X-Request-Id")
			l.note("node %s: runs %s, and gives its answer of %d bytes", name, id, longAnswer)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longAnswer)
			piece := make([]byte, 64<<10)
			for left := longAnswer; left > 0; {
				n, err := c.Write(piece[:min(left, len(piece))])
				left -= n
				if err != nil {
					l.note("node %s: the proxy ended the connection while the answer to %s was being given, %d bytes were left (%v)", name, id, left, err)
					return
				}
			}
			l.note("node %s: the answer to %s is given", name, id)
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), nil
}

// reading is what a client got.
type reading struct {
	status, bytes int
	whole         bool
	longestWait   time.Duration // for the next byte, once the answer had begun
	took          time.Duration // from the first byte to the end
	err           error
}

// readAnswer sends one request and reads its answer: for a span at the poor line's rate, then at the good one's.
func readAnswer(addr string, class classShare, id string, poor time.Duration) reading {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return reading{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(longLimit))
	fmt.Fprintf(c, "%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: umurava-taxi\r\nX-Timeout-Ms: %d\r\n", class.method, id, class.name, longTimeout)
	if class.method == http.MethodPost {
		fmt.Fprint(c, "Content-Length: 2\r\n\r\n{}")
	} else {
		fmt.Fprint(c, "\r\n")
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reading{err: err}
	}
	got := reading{status: resp.StatusCode}
	began := time.Now()
	piece := make([]byte, readPiece)
	last := 0
	for {
		rate := goodRate
		if time.Since(began) < poor {
			rate = poorRate
		}
		time.Sleep(time.Duration(float64(last) / float64(rate) * float64(time.Second)))
		asked := time.Now()
		n, err := resp.Body.Read(piece)
		last = n
		got.bytes += n
		got.longestWait = max(got.longestWait, time.Since(asked))
		if err != nil {
			got.whole = err == io.EOF && got.bytes == longAnswer
			got.err, got.took = err, time.Since(began)
			return got
		}
	}
}

func slowReader(l *lab) (bool, error) {
	var list []instance
	for i := range 3 {
		name := fmt.Sprintf("d-%d", i)
		addr, err := longNode(l, name)
		if err != nil {
			return false, err
		}
		list = append(list, instance{ID: name, Addr: addr, Zone: "nyarugenge", Kind: "std-1", State: "active", Weight: 1})
	}
	r, err := newRegister(list...)
	if err != nil {
		return false, err
	}
	p, err := l.startProxy(proxyOptions{name: "n1", discovery: r.addr, known: list})
	if err != nil {
		return false, err
	}
	if err := p.waitReady(); err != nil {
		return false, err
	}
	poor := time.Duration(0)
	if l.trouble {
		poor = poorSpan
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	cut, whole, other := 0, 0, 0
	for i := range 4 {
		running.Go(func() {
			class, id := mix[i], fmt.Sprintf("%s-%d", mix[i].name, time.Now().UnixNano())
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			l.note("client: %s sent; its line is poor for %v", id, poor)
			got := readAnswer(p.listen, class, id, poor)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.whole:
				whole++
			case got.status == http.StatusOK:
				cut++
			default:
				other++
			}
			l.say("client: %s: status %d, %d of %d bytes, whole: %v, in %.1f s; longest wait for a byte %v; end: %v", id, got.status,
				got.bytes, longAnswer, got.whole, got.took.Seconds(), got.longestWait.Round(time.Microsecond), got.err)
		})
	}
	running.Wait()
	if other > 0 {
		return false, errors.New("requests were not served: nothing to judge")
	}
	l.say("%d answers whole, %d cut off", whole, cut)
	return cut > 0, nil
}
