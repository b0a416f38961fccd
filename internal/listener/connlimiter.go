package listener

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/admission"
)

// Conn is a client connection that a ConnLimiter can evict.
type Conn interface {
	// Evict closes the connection, unless a request of it is in flight or it has bytes to be read, and reports whether
	// it did. The limiter calls it without its lock.
	Evict() bool
}

// maxEvictions bounds how many connections one arrival tries to evict: each attempt takes the lock of all arrivals.
const maxEvictions = 8

// ConnLimiter decides on the client connections of a process. It is safe for concurrent use.
type ConnLimiter struct {
	now        func() time.Duration // a monotonic clock: a step of the wall clock changes nothing
	blocksPath string               // of the persisted blocks; empty persists none
	seed       uint64

	mu       sync.Mutex
	rules    *admission.ConnLimiter
	conns    map[admission.ID]Conn
	evicting map[admission.ID]bool      // named by a verdict's Evict: their Remove counts as an eviction
	blocks   map[netip.Prefix]time.Time // when they expire, by the wall clock, for the next process
	file     *File
	capacity Capacity
	half     bool // the settings in force are for half of capacity

	descriptorShortages atomic.Int64
}

// New returns a limiter for a process with a capacity for clients. seed must be secret from clients; now is a
// monotonic clock. Blocks are persisted at blocksPath, and read by Restore. Its error names each invalid setting.
func New(
	f *File, capacity Capacity, seed uint64, now func() time.Duration, blocksPath string,
) (*ConnLimiter, error) {
	settings, err := f.Settings(capacity, seed)
	if err != nil {
		return nil, err
	}
	rules, err := admission.New(settings)
	if err != nil {
		return nil, err
	}
	return &ConnLimiter{
		now:        now,
		blocksPath: blocksPath,
		seed:       seed,
		rules:      rules,
		conns:      map[admission.ID]Conn{},
		evicting:   map[admission.ID]bool{},
		blocks:     map[netip.Prefix]time.Time{},
		file:       f,
		capacity:   capacity,
	}, nil
}

// Reconfigure sets other settings. Connections that are held go on. On an error nothing changes.
func (l *ConnLimiter) Reconfigure(f *File) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconfigure(f, l.half)
}

// UseHalf limits it to half of its capacity, or to all of it again. During a hot restart two processes share the
// limits of the machine.
func (l *ConnLimiter) UseHalf(half bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconfigure(l.file, half)
}

// reconfigure applies a file. The lock is held.
func (l *ConnLimiter) reconfigure(f *File, half bool) error {
	capacity := l.capacity
	if half {
		capacity.Conns = max(1, capacity.Conns/2)
		capacity.BodyBytes /= 2
	}
	settings, err := f.Settings(capacity, l.seed)
	if err != nil {
		return err
	}
	if err := l.rules.Reconfigure(l.now(), settings); err != nil {
		return err
	}
	l.file = f
	l.half = half
	return nil
}

// Arrive decides on a connection that was accepted, and evicts others if it needs room for it. If it is admitted, the
// ID names it until Remove. Otherwise the ID is 0, the reason says why, and the caller closes it. Arrive calls
// Conn.Evict of other connections on the caller's goroutine, so the caller must hold no lock that Evict takes.
func (l *ConnLimiter) Arrive(from net.Addr, c Conn) (admission.ID, admission.Reason) {
	address := addressOf(from)
	for attempt := range maxEvictions + 1 {
		verdict, victim, now := l.decide(address, c, attempt > 0)
		if verdict.Evict == 0 {
			return verdict.Admitted, verdict.Reason
		}
		if victim != nil && victim.Evict() {
			l.Remove(verdict.Evict)
			continue
		}
		l.evictionRefused(now, verdict.Evict)
	}
	return 0, admission.NoCapacity
}

// decide asks the rules about a connection, and holds it if it is admitted. The victim is the verdict's connection to
// evict.
func (l *ConnLimiter) decide(
	address netip.Addr, c Conn, again bool,
) (verdict admission.Verdict, victim Conn, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.now()
	verdict = l.rules.Arrive(now, address, again)
	if verdict.Admitted != 0 {
		l.conns[verdict.Admitted] = c
	}
	if verdict.Evict != 0 {
		victim = l.conns[verdict.Evict]
		l.evicting[verdict.Evict] = true
	}
	return verdict, victim, now
}

// evictionRefused records that a connection was not closed.
func (l *ConnLimiter) evictionRefused(now time.Duration, id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evicting, id)
	l.rules.EvictionRefused(now, id)
}

// addressOf returns the IP address of a TCP client; the zero address for any other.
func addressOf(from net.Addr) netip.Addr {
	if t, ok := from.(*net.TCPAddr); ok {
		a, _ := netip.AddrFromSlice(t.IP)
		return a.Unmap()
	}
	return netip.Addr{}
}

// RequestStarted records the first byte of a request.
func (l *ConnLimiter) RequestStarted(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.RequestStarted(l.now(), id)
}

// RequestReceived records the whole head of a request: its connection is not evicted before RequestDone.
func (l *ConnLimiter) RequestReceived(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.RequestReceived(l.now(), id)
}

// AcquireBody counts bytes of a request's body until RequestDone or Remove. It reports whether the client's address
// may hold them.
func (l *ConnLimiter) AcquireBody(id admission.ID, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules.AcquireBody(l.now(), id, bytes)
}

// RequestDone records the end of a request, and whether it was served.
func (l *ConnLimiter) RequestDone(id admission.ID, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.RequestDone(l.now(), id, served)
}

// Remove ends a connection that is closed, for whatever reason.
func (l *ConnLimiter) Remove(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.Remove(l.now(), id, l.evicting[id])
	delete(l.conns, id)
	delete(l.evicting, id)
}

// DescriptorShortages returns how many connections its Listeners closed because no file descriptor was left.
func (l *ConnLimiter) DescriptorShortages() int64 { return l.descriptorShortages.Load() }

// Report returns the limiter's state.
func (l *ConnLimiter) Report() admission.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules.Report(l.now())
}
