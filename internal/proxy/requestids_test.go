package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a request running twice: the client of a request that must not run twice leaves while it is at a
// backend, and the same X-Request-ID comes again on another connection. It is rejected; a new ID is served.
func TestAbandonedRequestDoesNotRunAgain(t *testing.T) {
	received, release := make(chan bool, 8), make(chan bool)
	var runs atomic.Int32
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			if runs.Add(1) == 1 {
				received <- true
				<-release
			}
			writeText(c, served)
		}
	})
	defer close(release)
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	send := func(id string) net.Conn {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatalf("connecting to the proxy: %v", err)
		}
		_, _ = fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Priority-Class: hand-in\r\n"+
			"X-Timeout-Ms: 19000\r\nContent-Length: 4\r\n\r\nwork", id)
		return c
	}
	first := send("left")
	within(t, received, "the backend got no request")
	_ = first.Close()
	p.waitForInFlight(t, 0)
	for id, want := range map[string]int{"left": http.StatusConflict, "another": http.StatusOK} {
		c := send(id)
		_ = c.SetReadDeadline(time.Now().Add(patience))
		mustRespond(t, want)(readFinalResponse(bufio.NewReader(c)))
		_ = c.Close()
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("the backend ran %d requests, want 2: one of each ID", n)
	}
}

// A client that leaves before its request was sent to a backend may send the same ID again.
func TestAbandonedRequestThatNeverRanMayComeAgain(t *testing.T) {
	catalog := newCatalog(t)
	p := startProxy(t, listText(1, true), catalog, nil)
	send := func() net.Conn {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatalf("connecting to the proxy: %v", err)
		}
		_, _ = io.WriteString(c, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: queued\r\nX-Priority-Class: hand-in\r\n"+
			"X-Timeout-Ms: 19000\r\nContent-Length: 4\r\n\r\nwork")
		return c
	}
	first := send()
	p.waitForInFlight(t, 1)
	_ = first.Close()
	p.waitForInFlight(t, 0)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			writeText(c, served)
		}
	})
	catalog.lists <- listText(2, true, memberText("a", addr, "active"))
	eventually(t, "the ID of a request that never ran was not accepted again", func() bool {
		c := send()
		defer func() { _ = c.Close() }()
		_ = c.SetReadDeadline(time.Now().Add(patience))
		resp, _, err := readFinalResponse(bufio.NewReader(c))
		return err == nil && resp.StatusCode == http.StatusOK
	})
}

// The IDs of abandoned requests are bounded in number and in time.
func TestAbandonedIDsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := newRequestIDs()
		abandon := func(id string) {
			if err := ids.begin(id); err != nil {
				t.Fatalf("begin(%q): %v", id, err)
			}
			ids.abandon(id)
			ids.end(id)
		}
		for i := range maxAbandonedIDs + 1 {
			abandon(fmt.Sprint(i))
		}
		if len(ids.abandoned) != maxAbandonedIDs || len(ids.order) != maxAbandonedIDs {
			t.Errorf("%d IDs and %d entries are remembered, want %d", len(ids.abandoned), len(ids.order), maxAbandonedIDs)
		}
		if ids.begin("0") != nil || ids.begin("1") == nil {
			t.Error("the oldest ID must be forgotten first, and the next one remembered")
		}
		time.Sleep(abandonedIDPeriod)
		if err := ids.begin("1"); err != nil {
			t.Errorf("begin of an abandoned ID after its period: %v", err)
		}
		abandon("new")
		time.Sleep(time.Nanosecond)
		if abandon("newer"); len(ids.abandoned) != 2 || len(ids.order) != 2 {
			t.Errorf("%d IDs and %d entries are remembered after their period, want 2", len(ids.abandoned), len(ids.order))
		}
	})
}
