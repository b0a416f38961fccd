package proxy

import (
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"sync"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/discovery/guardedsource"
	"lapisspread/internal/durable"
	"lapisspread/internal/engine"
)

// Kind and format of the snapshot file.
const (
	snapshotKind   = "lapisspread-memory"
	snapshotFormat = 1
)

// Values of snapshotReport.Recalled. A file that could not be read is reported by its error's text.
const (
	recalledYes  = "yes"
	recalledNone = "none"
	// The stored state is older than maxAge, or its time is in the future.
	recalledExpired = "it is too old, or of a time that has not come"
)

// persistedState is the state of a process that is stored for the next one.
type persistedState struct {
	Lists    map[string]guardedsource.CachedList `json:"lists"`    // by the address of discovery
	Services map[string]decision.Snapshot        `json:"services"` // by name; empty for a proxy's only service
}

// snapshotStore writes this process's state to a file, and holds the state that the previous process has written. All
// methods may be called by any goroutine.
type snapshotStore struct {
	file     *durable.File
	interval time.Duration // between writes
	maxAge   time.Duration // older state is not used
	now      func() time.Duration

	mu       sync.Mutex
	previous persistedState
	report   snapshotReport
}

// snapshotReport is the state of a snapshotStore for operators.
type snapshotReport struct {
	Recalled    string  `json:"recalled"` // "yes", "none", or why the previous process's snapshot can't be used
	AgeS        float64 `json:"age_s"`    // age of the newest state used, in seconds, when the process started
	Written     int64   `json:"written"`  // number of writes
	Failed      int64   `json:"failed"`   // number of writes that failed
	LastFailure string  `json:"last_failure,omitempty"`
}

// openSnapshotStore reads the previous process's snapshot. A snapshot that can't be used is dropped, and the report
// says why.
func openSnapshotStore(path string, interval, maxAge time.Duration) *snapshotStore {
	m := &snapshotStore{
		file:     &durable.File{Path: path, Kind: snapshotKind, Version: snapshotFormat},
		interval: interval,
		maxAge:   maxAge,
		now:      engine.NewClock().Now,
	}
	var previous persistedState
	switch err := m.file.Load(&previous); {
	case errors.Is(err, fs.ErrNotExist):
		m.report.Recalled = recalledNone
	case err != nil:
		m.report.Recalled = err.Error()
	default:
		m.previous = previous
		m.report.Recalled = recalledYes
		m.dropExpired()
	}
	return m
}

// dropExpired drops state that is older than maxAge, or whose time is in the future because the clock was set back.
func (m *snapshotStore) dropExpired() {
	now := m.now()
	expired := func(at time.Duration) bool { return at > now || now-at > m.maxAge }
	for addr, list := range m.previous.Lists {
		if expired(list.AnsweredAt) {
			delete(m.previous.Lists, addr)
		}
	}
	dropped := false
	newest := time.Duration(0)
	for name, snapshot := range m.previous.Services {
		if expired(snapshot.TakenAt) {
			delete(m.previous.Services, name)
			dropped = true
		} else {
			newest = max(newest, snapshot.TakenAt)
		}
	}
	if newest > 0 {
		m.report.AgeS = (now - newest).Seconds()
	} else if dropped {
		m.report.Recalled = recalledExpired
	}
}

// initialList returns the endpoint list to start with: the previous process's if its version is not lower than that of
// the configured one, and otherwise the configured one, which may be hours old with endpoints that no longer exist.
func (m *snapshotStore) initialList(addr string, configured List) List {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept, found := m.previous.Lists[addr]
	if found && len(kept.Endpoints.Endpoints) > 0 && !kept.Endpoints.OlderThan(configured.Version) {
		return kept.Endpoints
	}
	return configured
}

// listAge returns the age of the previous process's endpoint list of an address, or -1 if it is unknown. m may be nil.
func (m *snapshotStore) listAge(addr string) time.Duration {
	if m == nil {
		return -1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if kept, found := m.previous.Lists[addr]; found && kept.AnsweredAt > 0 {
		return m.now() - kept.AnsweredAt
	}
	return -1
}

// takeSnapshot returns the previous process's snapshot of the service with a name, or nil. It returns each snapshot
// only once: a service of the same name that is added later is a different service.
func (m *snapshotStore) takeSnapshot(name string) *decision.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot, found := m.previous.Services[name]
	if !found {
		return nil
	}
	delete(m.previous.Services, name)
	return &snapshot
}

// run writes the state of the process once per interval until ctx ends. It does not write once a later process has
// taken over. The first write is at a random time, since many proxies may share a disk.
func (m *snapshotStore) run(ctx context.Context, p *Proxy) {
	timer := time.NewTimer(m.interval/2 + rand.N(m.interval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		timer.Reset(m.interval)
		if !p.store.Superseded() {
			m.write(p)
		}
	}
}

// write saves the state of all services, and logs a failure unless it is the same as the last one.
func (m *snapshotStore) write(p *Proxy) {
	routing := p.services.current.Load()
	if routing == nil {
		return
	}
	state := persistedState{Lists: p.listGuard.CachedLists(), Services: map[string]decision.Snapshot{}}
	for name, svc := range routing.byName {
		if snapshot, ok := svc.engine.Snapshot(); ok {
			state.Services[name] = snapshot
		}
	}
	err := m.file.Save(state)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.report.Written++
		return
	}
	m.report.Failed++
	if m.report.LastFailure != err.Error() {
		p.log.Error("snapshot could not be written", "err", err)
	}
	m.report.LastFailure = err.Error()
}

// status returns the report for operators.
func (m *snapshotStore) status() *snapshotReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := m.report
	return &report
}
