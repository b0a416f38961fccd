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

// memoryForm is the form of what is written.
const memoryForm = 1

// learned is what a process knows that the next one could use.
type learned struct {
	Lists    map[string]guardedsource.CachedList `json:"lists"`    // by the register's address
	Services map[string]decision.Snapshot        `json:"services"` // by name; the only one has none
}

// memory keeps what this process has learned, and tells what the one before it had.
type memory struct {
	file  *durable.File
	every time.Duration
	most  time.Duration // older ones are not recalled
	now   func() time.Duration

	mu     sync.Mutex
	before learned
	report memoryReport
}

// memoryReport is how it stands, for operators.
type memoryReport struct {
	Recalled string  `json:"recalled"` // what came of reading the one before: "yes", "none" or why not
	AgeS     float64 `json:"age_s"`    // of what was recalled, as the process started
	Written  int64   `json:"written"`
	Failed   int64   `json:"failed"`
	Why      string  `json:"last_failure,omitempty"`
}

// openMemory reads what the process before has left; what can't be used is not, and the report says why.
func openMemory(path string, every, most time.Duration) *memory {
	m := &memory{file: &durable.File{Path: path, Kind: "lapisspread-memory", Version: memoryForm}, every: every, most: most, now: engine.NewClock().Now}
	var before learned
	switch err := m.file.Load(&before); {
	case errors.Is(err, fs.ErrNotExist):
		m.report.Recalled = "none"
	case err != nil:
		m.report.Recalled = err.Error()
	default:
		m.before, m.report.Recalled = before, "yes"
		m.fresh()
	}
	return m
}

// fresh drops what is too old, or of a time that has not come: the machine's clock was set back.
func (m *memory) fresh() {
	now := m.now()
	old := func(at time.Duration) bool { return at > now || now-at > m.most }
	dropped, newest := false, time.Duration(0)
	for addr, h := range m.before.Lists {
		if old(h.AnsweredAt) {
			delete(m.before.Lists, addr)
		}
	}
	for name, s := range m.before.Services {
		if old(s.TakenAt) {
			delete(m.before.Services, name)
			dropped = true
		} else {
			newest = max(newest, s.TakenAt)
		}
	}
	if newest > 0 {
		m.report.AgeS = (now - newest).Seconds()
	} else if dropped {
		m.report.Recalled = "it is too old, or of a time that has not come"
	}
}

// known is the list to start with: that of the configuration, or the one that the process before has heard of the register if
// its number is not lower. Danger: what the platform tells at the start may be hours old, and its servers gone.
func (m *memory) known(addr string, told List) List {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, any := m.before.Lists[addr]; any && len(h.Endpoints.Endpoints) > 0 && !h.Endpoints.OlderThan(told.Version) {
		return h.Endpoints
	}
	return told
}

// age is how old the list is that the process before had of a register; negative is unknown.
func (m *memory) age(addr string) time.Duration {
	if m == nil {
		return -1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, any := m.before.Lists[addr]; any && h.AnsweredAt > 0 {
		return m.now() - h.AnsweredAt
	}
	return -1
}

// recall gives what the service of that name had learned, once: a later one of that name is another.
func (m *memory) recall(name string) *decision.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, any := m.before.Services[name]
	if !any {
		return nil
	}
	delete(m.before.Services, name)
	return &s
}

// keep writes down what is learned until ctx ends, unless a later process does.
func (m *memory) keep(ctx context.Context, p *Proxy) {
	timer := time.NewTimer(m.every/2 + time.Duration(rand.Int64N(int64(m.every)))) // many proxies share a disk
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		timer.Reset(m.every)
		if p.store.Superseded() {
			continue
		}
		now := p.services.now.Load()
		if now == nil {
			continue
		}
		l := learned{Lists: p.comeback.CachedLists(), Services: map[string]decision.Snapshot{}}
		for name, svc := range now.byName {
			if s, ok := svc.engine.Snapshot(); ok {
				l.Services[name] = s
			}
		}
		err := m.file.Save(l)
		m.mu.Lock()
		if err == nil {
			m.report.Written++
		} else {
			if m.report.Failed++; m.report.Why != err.Error() {
				p.log.Error("what was learned can't be written down", "err", err)
			}
			m.report.Why = err.Error()
		}
		m.mu.Unlock()
	}
}

// told is how it stands.
func (m *memory) told() *memoryReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.report
	return &r
}
