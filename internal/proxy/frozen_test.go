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

// The files under testdata were written at commit c8fad44 with
// go test ./internal/proxy -run TestFrozen -write-frozen
// They show whether files and reports keep the format of that version.
var writeFrozen = flag.Bool("write-frozen", false, "write the files under testdata instead of comparing with them")

// frozenTime is the time in the frozen files, as a Unix time: 2025-01-01 00:00:00 UTC.
const frozenTime = 1_735_689_600 * time.Second

// frozenMemory returns the state that the snapshot file testdata/memory contains.
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

// A snapshot written by an older version of the program can be read, and is written again byte for byte.
func TestFrozenMemoryFile(t *testing.T) {
	const frozenFile = "testdata/memory"
	if *writeFrozen {
		f := durable.File{Path: frozenFile, Kind: "lapisspread-memory", Version: snapshotFormat}
		if err := f.Save(frozenMemory()); err != nil {
			t.Fatalf("writing %s: %v", frozenFile, err)
		}
	}
	m := openSnapshotStore(frozenFile, time.Second, 1<<62)
	want := frozenMemory()
	if m.report.Recalled != "yes" || !reflect.DeepEqual(m.previous, want) {
		t.Fatalf("openSnapshotStore: recalled %q, state\n%+v\nwant recalled \"yes\" and\n%+v",
			m.report.Recalled, m.previous, want)
	}
	rewritten := filepath.Join(t.TempDir(), "memory")
	m.file.Path = rewritten
	if err := m.file.Save(m.previous); err != nil {
		t.Fatalf("writing the snapshot again: %v", err)
	}
	compareWithFrozen(t, frozenFile, readFile(t, rewritten), false)
	list := m.initialList("10.0.0.1:8500", List{Version: 40, Full: true})
	if list.Version != 41 || len(list.Endpoints) != 2 || m.listAge("10.0.0.1:8500") <= 0 {
		t.Errorf("initialList = %+v with age %v, want version 41 with 2 endpoints from the snapshot and an age above 0",
			list, m.listAge("10.0.0.1:8500"))
	}
	if got := m.takeSnapshot("orders"); got == nil || got.RequestRate != 12.5 || m.takeSnapshot("orders") != nil {
		t.Errorf("takeSnapshot(orders) = %+v, want RequestRate 12.5 at the first call and nil at the second", got)
	}
}

// readFile returns the content of a file.
func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading %s: %v", path, err)
	}
	return text
}

// compareWithFrozen fails the test unless got is the content of the frozen file. With write it writes the file first.
func compareWithFrozen(t *testing.T, frozenFile string, got []byte, write bool) {
	t.Helper()
	if write {
		if err := os.WriteFile(frozenFile, got, 0o644); err != nil {
			t.Fatalf("writing %s: %v", frozenFile, err)
		}
	}
	if want := readFile(t, frozenFile); !bytes.Equal(got, want) {
		t.Errorf("output differs from %s:\ngot  %s\nwant %s", frozenFile, got, want)
	}
}

// The JSON reports for operators keep their keys and the order of the keys.
func TestFrozenReports(t *testing.T) {
	counters := metrics.New([]string{"fetch-work", "hand-in"})
	counters.CountRequest(0, metrics.Served)
	counters.CountRequest(1, metrics.Rejected)
	counters.CountRequest(1, metrics.Failed)
	for i, counter := range []interface{ Store(int64) }{&counters.Attempts, &counters.InFlight, &counters.BackendsKnown,
		&counters.BackendsExcluded,
		&counters.ReloadsOK, &counters.ReloadsFailed, &counters.InvalidLists} {
		counter.Store(int64(i + 11))
	}
	peers := []node.Status{{Host: "a.example", Addr: "10.0.0.9:3868", State: "open", Well: true, InHand: 1,
		Outstanding: 2}, {}}
	listGuardReport := struct {
		guardedsource.Report
		Memory *snapshotReport `json:"memory,omitempty"`
	}{guardedsource.Report{CallStats: guardedsource.CallStats{Calls: 1, Failed: 2, Deferred: 3}, ConsecutiveFailures: 4,
		SuspectLists: 5, Retained: 6, Returned: 7,
		Dropped: 8, Missing: 9}, &snapshotReport{Recalled: "yes", AgeS: 1.5, Written: 2, Failed: 3, LastFailure: "disk"}}
	admissionStatus := admissionReport{Report: admission.Report{MaxConns: 1, Open: 2, Known: 3, Idle: 4, Bytes: 5,
		BodyRejections: 6,
		Rejected:       map[string]int64{"full": 7}, Blocks: map[string]int{"10.0.0.0/8": 8},
		Top: []admission.AddressReport{{Prefix: "10.0.0.1", Open: 1, Unproven: 2, Credit: 3.5, Bytes: 4, Rate: 5.5,
			Rejected: 6}}},
		ClosedWithoutDescriptors: 9, Requests: map[string]requestLimit{"orders": {Limit: 10, InFlight: 11}}}
	ledgerReport := guard.Report{Ready: true, Durable: true, Entries: 1, Bytes: 2, InFlight: 3, Started: 4, Joined: 5,
		Replayed:   6,
		MayHaveRun: 7, Full: 8, DiskErrors: 9, Flushes: 10, FileBytes: 11}
	var reports bytes.Buffer
	for _, report := range []any{counters, peers, listGuardReport, snapshotReport{}, admissionStatus, admissionReport{},
		ledgerReport} {
		text, err := json.Marshal(report)
		if err != nil {
			t.Fatalf("encoding the report %T: %v", report, err)
		}
		reports.Write(append(text, '\n'))
	}
	totals, err := metrics.MarshalTotals(counters, map[string]*metrics.Counters{}, map[string]any{"requests": 3})
	if err != nil {
		t.Fatalf("metrics.MarshalTotals: %v", err)
	}
	totals = regexp.MustCompile(`"goroutines":\d+`).ReplaceAll(totals, []byte(`"goroutines":0`)) // differs from run to run
	compareWithFrozen(t, "testdata/reports.txt", append(reports.Bytes(), append(totals, '\n')...), *writeFrozen)
}

// The replies of a running proxy to admin commands are those of the version that wrote testdata/console.txt.
func TestFrozenConsoleReplies(t *testing.T) {
	got := make(chan *http.Request, 64)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	mustRespond(t, 200)(p.request(t, "hand-in", 9000, "x"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for admin connections: %v", err)
	}
	server := admin.New(adminBackend{p.proxy}, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Errorf("Serve of the admin server = %v, want nil", err)
		}
	})
	var transcript bytes.Buffer
	for _, command := range []string{"PING", "ADMISSION", "DIAMETER", "COMEBACK", "FLEET", "VIEW", "ROUTES", "DETACH a",
		"ATTACH a",
		"DETACH unknown", "ATTACH unknown", "BLOCK 10.0.0.1 1h", "UNBLOCK 10.0.0.1", "LAMEDUCK",
		"REJOIN", "PING now", "OTHER"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatalf("connecting for the command %q: %v", command, err)
		}
		if _, err := io.WriteString(conn, command+"\n"); err != nil {
			t.Fatalf("sending the command %q: %v", command, err)
		}
		reply, err := io.ReadAll(conn)
		if err != nil {
			t.Fatalf("reading the reply to %q: %v", command, err)
		}
		_ = conn.Close() // the whole reply has been read
		transcript.WriteString("> " + command + "\n" + string(reply))
	}
	compareWithFrozen(t, "testdata/console.txt", transcript.Bytes(), *writeFrozen)
}
