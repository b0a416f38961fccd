package proxy

import (
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	"lapisspread/internal/proxy/rawsocket"
)

// Guards against answers that come late because one client sends without a pause: with one processor, its connection's
// goroutine lets others run at each read that finds bytes and after each request, and not only at the end of its time
// slice.
func TestBusyConnectionLetsOthersRun(t *testing.T) {
	client, c := clientPair(t, newClientConns(4))
	const reads = 50
	if _, err := client.Write(make([]byte, reads)); err != nil {
		t.Fatalf("writing: %v", err)
	}
	eventually(t, "the bytes did not arrive", func() bool { return rawsocket.Unread(c.Conn) == reads })
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, work := range map[string]func(){
		"reads that find bytes": func() {
			for range reads {
				if _, err := c.Read(make([]byte, 1)); err != nil {
					t.Fatalf("Read: %v", err)
				}
			}
		},
		"ends of requests": func() {
			for range reads {
				c.registry.state(c, http.StateIdle)
			}
		},
	} {
		var ran atomic.Bool
		go ran.Store(true)
		work()
		if !ran.Load() {
			t.Errorf("%s: the other goroutine did not run", name)
		}
	}
}
