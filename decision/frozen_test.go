package decision

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// The files in testdata were written at commit c8fad44 with
//
//	FREEZE=1 go test ./decision -run 'KeepsItsBytes|KeepTheirSums'
//
// They contain what must not change: the actions for a fixed sequence of events, and the stored form of Snapshot. The
// transcripts keep the words of that commit: probe (check health), refuse (reject), tell (send to a peer), vet
// (CheckHealthNow), whole (BodyComplete), cost (expected work), repeat (marked retry) and spent (body consumed).

// checkGoldenFile compares got with a file of testdata. If FREEZE is set, it first writes the file.
func checkGoldenFile(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("FREEZE") != "" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatalf("writing the golden file: %v", err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the golden file: %v", err)
	}
	if bytes.Equal(want, got) {
		return
	}
	wantLines, gotLines := bytes.Split(want, []byte("\n")), bytes.Split(got, []byte("\n"))
	for i := range min(len(wantLines), len(gotLines)) {
		if !bytes.Equal(wantLines[i], gotLines[i]) {
			t.Fatalf("line %d of %s: got %q, want %q", i+1, path, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("got %d lines, want the %d lines of %s", len(gotLines), len(wantLines), path)
}

// transcript is a Host that responds to a Balancer's actions with random events and writes both to text. Equal seeds
// give equal events.
type transcript struct {
	balancer  *Balancer
	rng       *rand.Rand
	now       time.Duration
	lastOrder int // of the last scheduled event
	events    []transcriptEvent
	text      bytes.Buffer
	attempts  map[RequestID]int
	streamed  map[RequestID]bool
	down      map[BackendID]bool // backends that do not answer
	nextID    RequestID
}

type transcriptEvent struct {
	at    time.Duration
	order int
	run   func()
}

func (s *transcript) printf(format string, args ...any) { fmt.Fprintf(&s.text, format+"\n", args...) }

func (s *transcript) schedule(delay time.Duration, run func()) {
	s.lastOrder++
	s.events = append(s.events, transcriptEvent{s.now + delay, s.lastOrder, run})
}

// event schedules run, which reports an event to the Balancer. When it runs, the time and line are written to text.
func (s *transcript) event(delay time.Duration, line string, run func()) {
	s.schedule(delay, func() {
		s.printf("%d %s", s.now, line)
		run()
	})
}

// play runs the scheduled events that are due up to until, in the order of their times.
func (s *transcript) play(until time.Duration) {
	for len(s.events) > 0 {
		next := 0
		for i, e := range s.events {
			if first := s.events[next]; e.at < first.at || e.at == first.at && e.order < first.order {
				next = i
			}
		}
		e := s.events[next]
		if e.at > until {
			return
		}
		s.events = slices.Delete(s.events, next, next+1)
		s.now = e.at
		e.run()
	}
}

func (s *transcript) Send(id RequestID, to BackendID, until time.Duration) {
	s.printf("  send %d to %d until %d", id, to, until)
	attempt := s.attempts[id]
	s.attempts[id]++
	latency := time.Duration(1+s.rng.IntN(60)) * time.Millisecond
	result := OK
	switch draw := s.rng.IntN(100); {
	case s.down[to] && draw < 60:
		result = ConnectFailed
	case s.down[to] || draw < 4:
		result, latency = Timeout, 400*time.Millisecond
	case draw < 8:
		result = Error
	case draw < 11:
		result = Rejected
	case draw < 14:
		result = Reset
	case draw < 24:
		latency *= 8
	}
	if id%9 == 4 && result == OK {
		s.event(latency/2, fmt.Sprintf("first byte %d/%d from %d", id, attempt, to), func() {
			s.balancer.FirstByte(s.now, FirstByte{ID: id, Attempt: attempt, Backend: to, Latency: latency / 2})
		})
	}
	s.scheduleOutcome(latency, Outcome{ID: id, Attempt: attempt, Backend: to, Result: result, Latency: latency,
		Final: result == OK})
}

// scheduleOutcome schedules the outcome of an attempt, with a consumed body for some streamed requests.
func (s *transcript) scheduleOutcome(delay time.Duration, o Outcome) {
	o.BodyConsumed = s.streamed[o.ID] && o.Result != OK && o.ID%2 == 0
	line := fmt.Sprintf("outcome %d/%d from %d: %d final %v spent %v", o.ID, o.Attempt, o.Backend, o.Result, o.Final,
		o.BodyConsumed)
	s.event(delay, line, func() { s.balancer.Outcome(s.now, o) })
}

func (s *transcript) Reject(id RequestID, retryAfter time.Duration) {
	s.printf("  refuse %d for %d", id, retryAfter)
}
func (s *transcript) Fail(id RequestID) { s.printf("  fail %d", id) }
func (s *transcript) Cancel(id RequestID, attempt int) {
	s.printf("  cancel %d/%d", id, attempt)
	s.scheduleOutcome(time.Millisecond, Outcome{ID: id, Attempt: attempt, Result: Cancelled})
}

func (s *transcript) CheckHealth(to BackendID) {
	s.printf("  probe %d", to)
	p := HealthCheckResult{Backend: to, Result: OK, Latency: 2 * time.Millisecond}
	if s.down[to] || s.rng.IntN(20) == 0 {
		p.Result = ConnectFailed
	}
	s.event(p.Latency, fmt.Sprintf("probed %d: %d", p.Backend, p.Result), func() { s.balancer.HealthChecked(s.now, p) })
}

func (s *transcript) ReleaseIdleConnections(to BackendID) { s.printf("  release %d", to) }
func (s *transcript) WatchEndpoints(on bool)              { s.printf("  watch %v", on) }
func (s *transcript) FetchEndpoints()                     { s.printf("  fetch") }
func (s *transcript) SendToPeer(to uint32, b []byte)      { s.printf("  tell %d %x", to, b) }
func (s *transcript) Log(line string)                     { s.printf("  log %s", line) }
func (s *transcript) StartTimer(d time.Duration, token uint64) {
	s.printf("  after %d token %x", d, token)
	s.event(d, fmt.Sprintf("timer %x", token), func() { s.balancer.Timer(s.now, token) })
}

// list schedules an endpoint update.
func (s *transcript) list(delay time.Duration, kind UpdateKind, backends ...Backend) {
	line := fmt.Sprintf("list of kind %d:", kind)
	for _, e := range backends {
		line += fmt.Sprintf(" %d is %d in %d/%d", e.ID, e.State, e.Zone, e.Cell)
	}
	s.event(delay, line, func() {
		s.balancer.UpdateEndpoints(s.now, EndpointUpdate{Kind: kind, Backends: backends})
	})
}

// request schedules a request, and for some requests the end of a streamed body or ClientGone.
func (s *transcript) request(delay time.Duration) {
	s.schedule(delay, func() {
		s.nextID++
		id := s.nextID
		q := Request{ID: id, Class: s.rng.IntN(4), Tenant: s.rng.IntN(3) - 1, Deadline: s.now + 3*second}
		if s.rng.IntN(2) == 0 {
			q.Key = uint64(1 + s.rng.IntN(20))
		}
		if s.rng.IntN(3) == 0 {
			q.ExpectedWork = time.Duration(5+s.rng.IntN(100)) * time.Millisecond
		}
		q.MarkedRetry, q.StreamedBody = id%11 == 0, id%9 == 0
		s.streamed[id] = q.StreamedBody
		s.printf("%d request %d class %d tenant %d key %d cost %d repeat %v streamed %v",
			s.now, id, q.Class, q.Tenant, q.Key, q.ExpectedWork, q.MarkedRetry, q.StreamedBody)
		s.balancer.Request(s.now, q)
		if q.StreamedBody && s.rng.IntN(3) > 0 {
			s.event(5*milli, fmt.Sprintf("whole %d", id), func() { s.balancer.BodyComplete(s.now, id, s.now+2*second) })
		}
		if id%31 == 0 {
			s.event(20*milli, fmt.Sprintf("gone %d", id), func() { s.balancer.ClientGone(s.now, id) })
		}
	})
}

// playTranscript plays a fixed scenario: a failed endpoint update, requests, a backend that fails and recovers, one
// that drains, one that has just started, one that is detached and attached, and a burst of requests.
func playTranscript(t *testing.T, seed uint64, cfg Config, until time.Duration) *transcript {
	t.Helper()
	s := &transcript{rng: rand.New(rand.NewPCG(seed, 99)), now: second, attempts: map[RequestID]int{},
		streamed: map[RequestID]bool{}, down: map[BackendID]bool{}}
	b, err := New(cfg, seed, s)
	if err != nil {
		t.Fatalf("seed %d: New: %v", seed, err)
	}
	s.balancer = b
	b.Start(s.now)
	all := list(7)
	draining, started := all[5], Backend{ID: 9, Zone: 1, Cell: 1, State: Ready, Weight: 2, Started: 3 * second}
	draining.State = Draining
	s.list(0, UpdateFailed)
	s.list(100*milli, UpdateFull, all...)
	s.event(110*milli, "vet", func() { b.CheckHealthNow(s.now) })
	for i := range 250 {
		s.request(150*milli + time.Duration(i)*16*milli)
	}
	for i := range 60 {
		s.request(2500*milli + time.Duration(i)*milli)
	}
	s.event(1000*milli, "backend 2 dies", func() { s.down[2] = true })
	s.list(1500*milli, UpdateDelta, draining)
	s.list(2*second, UpdateDelta, started)
	s.event(2200*milli, "detach 4", func() { b.Detach(s.now, 4) })
	s.list(2300*milli, UpdateFailed)
	s.list(3*second, UpdateCached, append(slices.Clone(all[:5]), started)...)
	s.event(3100*milli, "attach 4", func() { b.Attach(s.now, 4) })
	s.event(3400*milli, "backend 2 comes back", func() { s.down[2] = false })
	s.play(until)
	known, excluded := b.CountBackends()
	s.printf("%d known %d excluded", known, excluded)
	return s
}

// goldenConfigs returns the configurations of the two transcripts. In the first, two proxies share the backends. In the
// second, twelve proxies do, with key affinity, polled discovery and no hedged requests.
func goldenConfigs() [2]Config {
	twoProxies := testConfig()
	twoProxies.Classes[1].StreamedResponse = true
	twoProxies.Tenants = []Tenant{{Name: "a", Share: 0.7, QuotaPerSecond: 30},
		{Name: "b", Share: 0.3, QuotaPerSecond: 20}}
	twoProxies.OverQuotaWeight = 0.2
	twoProxies.ObjectiveWeights = ObjectiveWeights{Overall: 1, WorstClass: 0.5, WorstTenant: 0.5, WorstWindow: 0.2}
	twelveProxies := twoProxies
	twelveProxies.Classes = slices.Clone(twoProxies.Classes)
	twelveProxies.Classes[0].LateValueShare, twelveProxies.Classes[2].ObjectivePerWork = 0.3, 2
	twelveProxies.Instances = 12
	twelveProxies.Rank = 3
	twelveProxies.Zone = 1
	twelveProxies.Weights = WeightNominal
	twelveProxies.KeyAffinity = true
	twelveProxies.PolledDiscovery = true
	twelveProxies.WeightByWork = true
	twelveProxies.Capabilities.HedgedRequests, twelveProxies.Capabilities.MaxOpenRequests = false, 12
	return [2]Config{twoProxies, twelveProxies}
}

// The actions for two fixed scenarios are those of the golden files.
func TestTranscriptKeepsItsBytes(t *testing.T) {
	for i, cfg := range goldenConfigs() {
		s := playTranscript(t, uint64(i+1), cfg, 6*second)
		checkGoldenFile(t, fmt.Sprintf("transcript-%d.txt", i+1), s.text.Bytes())
	}
}

// A Snapshot has the JSON form of the golden file, is read back without loss, and can be restored.
func TestSnapshotKeepsItsBytes(t *testing.T) {
	b := playTranscript(t, 1, goldenConfigs()[0], 4*second).balancer
	taken, err := json.Marshal(b.Snapshot(4 * second))
	if err != nil {
		t.Fatalf("marshalling the snapshot: %v", err)
	}
	checkGoldenFile(t, "memory.json", taken)
	stored, err := os.ReadFile(filepath.Join("testdata", "memory.json"))
	if err != nil {
		t.Fatalf("reading the golden file: %v", err)
	}
	var m Snapshot
	if err := json.Unmarshal(stored, &m); err != nil {
		t.Fatalf("unmarshalling memory.json: %v", err)
	}
	checkGoldenSnapshot(t, m)
	marshalled, err := json.Marshal(m)
	if err != nil || !bytes.Equal(marshalled, stored) {
		t.Errorf("memory.json unmarshalled and marshalled = %s, error %v, want %s", marshalled, err, stored)
	}

	// A successor restores the snapshot.
	next, err := New(goldenConfigs()[0], 2, &recorder{})
	if err != nil {
		t.Fatalf("New(successor): %v", err)
	}
	next.Start(4 * second)
	next.Restore(4*second, m)
	backends := append(list(7)[:5], Backend{ID: 9, Zone: 1, Cell: 1, State: Ready, Weight: 2, Started: 3 * second})
	next.UpdateEndpoints(4*second, EndpointUpdate{Kind: UpdateFull, Backends: backends})
	restored := next.Snapshot(4 * second)
	if !slices.Equal(restored.Classes, m.Classes) || !slices.Equal(restored.Backends, m.Backends) ||
		restored.SharedLimit != m.SharedLimit {
		t.Errorf("snapshot of the successor right after Restore = %+v, want the restored snapshot %+v", restored, m)
	}
	if math.Abs(restored.RequestRate-m.RequestRate) > 1e-9*m.RequestRate {
		t.Errorf("request rate of the successor right after Restore = %v, want %v", restored.RequestRate, m.RequestRate)
	}
	if known, excluded := next.CountBackends(); known != 6 || excluded != 1 {
		t.Errorf("CountBackends() of the successor = %d known, %d excluded; want 6 and 1", known, excluded)
	}
}

// checkGoldenSnapshot compares a snapshot with the values in memory.json.
func checkGoldenSnapshot(t *testing.T, m Snapshot) {
	t.Helper()
	if m.TakenAt != 4*second || m.RequestRate != 68.28571428571429 || m.SharedLimit != 28 {
		t.Errorf("snapshot has TakenAt %v, RequestRate %v, SharedLimit %v; want 4s, 68.28571428571429, 28", m.TakenAt,
			m.RequestRate, m.SharedLimit)
	}
	classes := []ClassSnapshot{
		{"safe", [5]float64{63.639864714994204, 1419.2651774685087, 3576.1380330273228, 285244.16296711215,
			247985.60618872903}},
		{"keyed", [5]float64{60.12969262421049, 1033.4658028881463, 2436.5365321994013, 69581.9482636242,
			42086.65156495698}},
		{"unsafe", [5]float64{39.401841687910284, 549.8191103673497, 1677.8441365302226, 30079.468361966265,
			22767.330987800073}},
		{"anywhere", [5]float64{44.90145728340681, 860.2249562352229, 2080.458203323331, 65000.993269454586,
			66287.67192740779}},
	}
	if len(m.Classes) != len(classes) {
		t.Fatalf("snapshot has %d classes, want %d", len(m.Classes), len(classes))
	}
	for i, want := range classes {
		if got := m.Classes[i]; got.Name != want.Name || got.LatencySums != want.LatencySums {
			t.Errorf("snapshot of class %d = %+v, want %+v", i, got, want)
		}
	}
	backends := []BackendSnapshot{
		{ID: 1, Started: 0, LastStart: 0, Healthy: true, ServedWork: 676.2523286437226},
		{ID: 2, Started: 0, LastStart: 3502 * milli, Healthy: false, ServedWork: 370.5749509060237},
		{ID: 3, Started: 0, LastStart: 0, Healthy: true, ServedWork: 3713.220612820249},
		{ID: 4, Started: 0, LastStart: 0, Healthy: true, ServedWork: 136.50930673011058},
		{ID: 5, Started: 0, LastStart: 0, Healthy: true, ServedWork: 1026.5339355201759},
		{ID: 9, Started: 3 * second, LastStart: 3 * second, Healthy: true, ServedWork: 76.6658113968397},
	}
	if !slices.Equal(m.Backends, backends) {
		t.Errorf("snapshot of the backends = %+v, want %+v", m.Backends, backends)
	}
}
