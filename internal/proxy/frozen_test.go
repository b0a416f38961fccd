package proxy

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/admin"
	"lapisspread/internal/admission"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/durable"
	"lapisspread/internal/engine"
	"lapisspread/internal/idempotency/guard"
	"lapisspread/internal/metrics"
)

// The files under testdata were written by the program of c8fad44 with
// go test ./internal/proxy -run TestFrozen -write-frozen
var writeFrozen = flag.Bool("write-frozen", false, "write the files under testdata instead of comparing with them")

// frozenTime is when the kept values were taken: 2025-01-01 00:00:00 UTC.
const frozenTime = 1_735_689_600 * time.Second

func frozenMemory() persistedState {
	return persistedState{
		Lists: map[string]guardedsource.CachedList{"10.0.0.1:8500": {AnsweredAt: frozenTime,
			Endpoints: engine.EndpointList{Version: 41, Full: true,
				Endpoints: []engine.Endpoint{
					{ID: "s-1", Addr: "10.0.1.1:80", Zone: "z1", Kind: "large", Cell: 3, State: decision.Ready,
						Weight:  1.5,
						Started: frozenTime - time.Hour},
					{ID: "s-2", Addr: "10.0.1.2:80", Zone: "z2", Kind: "small", Cell: 4, State: decision.Draining,
						Weight:  0.5,
						Started: frozenTime - time.Minute},
				}}}},
		Services: map[string]decision.Snapshot{"orders": {TakenAt: frozenTime, RequestRate: 12.5, SharedLimit: 64,
			Classes: []decision.ClassSnapshot{{Name: "hand-in", LatencySums: [5]float64{1, 2, 3, 4, 5}}},
			Backends: []decision.BackendSnapshot{{ID: engine.BackendID("s-1"), Started: frozenTime - time.Hour,
				LastStart: frozenTime - time.Second, Healthy: true, ServedWork: 99.5}}}},
	}
}

// The next process reads the snapshot of an older version, and writes it in the same form.
func TestFrozenMemoryFile(t *testing.T) {
	const kept = "testdata/memory"
	if *writeFrozen {
		f := durable.File{Path: kept, Kind: "lapisspread-memory", Version: snapshotFormat}
		if err := f.Save(frozenMemory()); err != nil {
			t.Fatal(err)
		}
	}
	m := openSnapshotStore(kept, time.Second, 1<<62)
	want := frozenMemory()
	if m.report.Recalled != "yes" || !reflect.DeepEqual(m.previous, want) {
		t.Fatalf("%q: got %+v\nwant %+v", m.report.Recalled, m.previous, want)
	}
	again := filepath.Join(t.TempDir(), "memory")
	m.file.Path = again
	if err := m.file.Save(m.previous); err != nil {
		t.Fatal(err)
	}
	compareWithKept(t, kept, readFile(t, again), false)
	list := m.initialList("10.0.0.1:8500", List{Version: 40, Full: true})
	if list.Version != 41 || len(list.Endpoints) != 2 || m.listAge("10.0.0.1:8500") <= 0 {
		t.Errorf("the list to start with: %+v", list)
	}
	if got := m.takeSnapshot("orders"); got == nil || got.RequestRate != 12.5 || m.takeSnapshot("orders") != nil {
		t.Errorf("recalled %+v, which can be had once", got)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func compareWithKept(t *testing.T, kept string, got []byte, write bool) {
	t.Helper()
	if write {
		if err := os.WriteFile(kept, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := readFile(t, kept); !bytes.Equal(got, want) {
		t.Errorf("%s:\ngot  %s\nwant %s", kept, got, want)
	}
}

// The reports that operators read keep their keys and their order.
func TestFrozenReports(t *testing.T) {
	own := metrics.New([]string{"fetch-work", "hand-in"})
	own.CountRequest(0, metrics.Served)
	own.CountRequest(1, metrics.Rejected)
	own.CountRequest(1, metrics.Failed)
	for i, counter := range []interface{ Store(int64) }{&own.Attempts, &own.InFlight, &own.BackendsKnown,
		&own.BackendsExcluded,
		&own.ReloadsOK, &own.ReloadsFailed, &own.InvalidLists} {
		counter.Store(int64(i + 11))
	}
	peers := []node.Status{{Host: "a.example", Addr: "10.0.0.9:3868", State: "open", Well: true, InHand: 1,
		Outstanding: 2}, {}}
	comeback := struct {
		guardedsource.Report
		Memory *snapshotReport `json:"memory,omitempty"`
	}{guardedsource.Report{CallStats: guardedsource.CallStats{Calls: 1, Failed: 2, Deferred: 3}, ConsecutiveFailures: 4,
		SuspectLists: 5, Retained: 6, Returned: 7,
		Dropped: 8, Missing: 9}, &snapshotReport{Recalled: "yes", AgeS: 1.5, Written: 2, Failed: 3, LastFailure: "disk"}}
	door := admissionReport{Report: admission.Report{MaxConns: 1, Open: 2, Known: 3, Idle: 4, Bytes: 5,
		BodyRejections: 6,
		Rejected:       map[string]int64{"full": 7}, Blocks: map[string]int{"10.0.0.0/8": 8},
		Top: []admission.AddressReport{{Prefix: "10.0.0.1", Open: 1, Unproven: 2, Credit: 3.5, Bytes: 4, Rate: 5.5,
			Rejected: 6}}},
		ClosedWithoutDescriptors: 9, Requests: map[string]requestLimit{"orders": {Limit: 10, InFlight: 11}}}
	ledger := guard.Report{Ready: true, Durable: true, Entries: 1, Bytes: 2, InFlight: 3, Started: 4, Joined: 5,
		Replayed:   6,
		MayHaveRun: 7, Full: 8, DiskErrors: 9, Flushes: 10, FileBytes: 11}
	var all bytes.Buffer
	for _, report := range []any{own, peers, comeback, snapshotReport{}, door, admissionReport{}, ledger} {
		text, err := json.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(append(text, '\n'))
	}
	sum, err := metrics.MarshalTotals(own, map[string]*metrics.Counters{}, map[string]any{"requests": 3})
	if err != nil {
		t.Fatal(err)
	}
	sum = regexp.MustCompile(`"goroutines":\d+`).ReplaceAll(sum, []byte(`"goroutines":0`)) // differs from run to run
	compareWithKept(t, "testdata/reports.txt", append(all.Bytes(), append(sum, '\n')...), *writeFrozen)
}

// The admin replies of a running proxy stay as they are.
func TestFrozenConsoleReplies(t *testing.T) {
	got := make(chan *http.Request, 64)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	mustRespond(t, 200)(p.request(t, "hand-in", 9000, "x"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.New(adminBackend{p.proxy}, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	var all bytes.Buffer
	for _, call := range []string{"PING", "ADMISSION", "DIAMETER", "COMEBACK", "FLEET", "VIEW", "ROUTES", "DETACH a",
		"ATTACH a",
		"DETACH unknown", "ATTACH unknown", "BLOCK 10.0.0.1 1h", "UNBLOCK 10.0.0.1", "LAMEDUCK",
		"REJOIN", "PING now", "OTHER"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, call+"\n"); err != nil {
			t.Fatal(err)
		}
		reply, err := io.ReadAll(conn)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close() // the reply is there
		all.WriteString("> " + call + "\n" + string(reply))
	}
	compareWithKept(t, "testdata/console.txt", all.Bytes(), *writeFrozen)
}
