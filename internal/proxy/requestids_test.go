package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/internal/sharedids"
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

// Guards against a request running twice during a hot restart: an ID that is open at one process, or whose client has left
// there, is rejected by the other one. It may come again once its request was answered or has not run, and requests that
// may run twice are not restricted.
func TestRequestIDsAreSharedBetweenProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	processes := make([]*requestIDs, 2)
	for i := range processes {
		table, err := sharedids.Open(path)
		if err != nil {
			t.Fatalf("sharedids.Open: %v", err)
		}
		t.Cleanup(func() { _ = table.Close() })
		processes[i] = newRequestIDs(table)
	}
	begin := func(process int, id string, wantOK bool) {
		t.Helper()
		ids := processes[process]
		err := ids.begin(id)
		if err == nil {
			if err = ids.claim(id, time.Second); err != nil {
				ids.end(id)
			}
		}
		if (err == nil) != wantOK {
			t.Errorf("ID %q at process %d: %v, want accepted %v", id, process, err, wantOK)
		}
	}
	begin(0, "answered", true)
	begin(1, "answered", false)
	begin(1, "answered", false) // the rejection has not released the claim
	processes[0].end("answered")
	begin(1, "answered", true)

	begin(0, "left", true)
	processes[0].abandon("left")
	processes[0].end("left")
	begin(1, "left", false)

	for _, endFirst := range []bool{true, false} {
		id := fmt.Sprint("left, has not run, end first: ", endFirst)
		begin(0, id, true)
		processes[0].abandon(id)
		if endFirst {
			processes[0].end(id)
		}
		processes[0].forgetAbandoned(id)
		if !endFirst {
			processes[0].end(id)
		}
		begin(1, id, true)
	}
	for _, ids := range processes {
		if err := ids.begin("not claimed"); err != nil {
			t.Errorf("begin of a request that may run twice: %v", err)
		}
	}
}

// The IDs of abandoned requests are bounded in number and in time.
func TestAbandonedIDsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := newRequestIDs(nil)
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
