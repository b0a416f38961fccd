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
	// Evict closes the connection and returns true, or returns false if a request is in flight on it or it has unread
	// bytes. The limiter does not hold its lock during the call.
	Evict() bool
}

// maxEvictions bounds how many connections one call of Arrive tries to evict, because each attempt takes the lock that
// all arriving connections share.
const maxEvictions = 8

// ConnLimiter admits, rejects and evicts the client connections of a process. It is safe for concurrent use.
type ConnLimiter struct {
	now        func() time.Duration // a monotonic clock, unaffected by steps of the wall clock
	blocksPath string               // file of the persisted blocks; empty persists none
	seed       uint64

	mu       sync.Mutex
	rules    *admission.ConnLimiter
	conns    map[admission.ID]Conn
	evicting map[admission.ID]bool      // connections to evict; their Remove counts as an eviction
	blocks   map[netip.Prefix]time.Time // expiry times by the wall clock, which the next process reads
	file     *File
	capacity Capacity
	half     bool // whether the current settings are for half of capacity

	descriptorShortages atomic.Int64
}

// New returns a limiter for a process with the given capacity for clients. Clients must not be able to learn seed. now
// must be a monotonic clock. Blocks are persisted in the file blocksPath, or not at all if it is empty, and are read by
// Restore. The error names each invalid setting.
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

// Reconfigure applies new settings. Open connections stay open. If it returns an error, nothing changes.
func (l *ConnLimiter) Reconfigure(f *File) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconfigure(f, l.half)
}

// UseHalf limits the process to half of its capacity, or to the full capacity again if half is false. It is used during
// a hot restart, when two processes share the limits of the machine.
func (l *ConnLimiter) UseHalf(half bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconfigure(l.file, half)
}

// reconfigure applies the settings of a file for all or half of the capacity. The caller holds l.mu.
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

// Arrive admits or rejects a connection that was just accepted from an address. To make room it may evict other
// connections: it calls their Conn.Evict on the caller's goroutine, so the caller must hold no lock that Evict takes.
// If the connection is admitted, the returned ID identifies it until Remove. Otherwise the ID is 0, and the caller must
// close the connection; the reason is that of the rejection.
func (l *ConnLimiter) Arrive(client net.Addr, c Conn) (admission.ID, admission.Reason) {
	address := clientIP(client)
	for attempt := range maxEvictions + 1 {
		verdict, toEvict, now := l.decide(address, c, attempt > 0)
		if verdict.Evict == 0 {
			return verdict.Admitted, verdict.Reason
		}
		if toEvict != nil && toEvict.Evict() {
			l.Remove(verdict.Evict)
			continue
		}
		l.evictionRefused(now, verdict.Evict)
	}
	return 0, admission.NoCapacity
}

// decide applies the admission rules to a connection, and stores the connection if it is admitted. repeated is false
// for the first decision on the connection. toEvict is the connection that the verdict chooses to evict, if any.
func (l *ConnLimiter) decide(
	address netip.Addr, c Conn, repeated bool,
) (verdict admission.Verdict, toEvict Conn, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.now()
	verdict = l.rules.Arrive(now, address, repeated)
	if verdict.Admitted != 0 {
		l.conns[verdict.Admitted] = c
	}
	if verdict.Evict != 0 {
		toEvict = l.conns[verdict.Evict]
		l.evicting[verdict.Evict] = true
	}
	return verdict, toEvict, now
}

// evictionRefused records that a connection could not be evicted. now is the time of the decision to evict it.
func (l *ConnLimiter) evictionRefused(now time.Duration, id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evicting, id)
	l.rules.EvictionRefused(now, id)
}

// clientIP returns the IP address of a TCP client, or the zero Addr for any other network.
func clientIP(client net.Addr) netip.Addr {
	if tcp, ok := client.(*net.TCPAddr); ok {
		ip, _ := netip.AddrFromSlice(tcp.IP)
		return ip.Unmap()
	}
	return netip.Addr{}
}

// RequestStarted records that the first byte of a request has arrived.
func (l *ConnLimiter) RequestStarted(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.RequestStarted(l.now(), id)
}

// RequestReceived records that the complete header of a request has arrived. The connection is not evicted before
// RequestDone.
func (l *ConnLimiter) RequestReceived(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.RequestReceived(l.now(), id)
}

// AcquireBody reserves bytes for a request's body, until RequestDone or Remove. It returns false if the client's
// address may not hold that many.
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

// Remove records that a connection has closed, for whatever reason.
func (l *ConnLimiter) Remove(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.Remove(l.now(), id, l.evicting[id])
	delete(l.conns, id)
	delete(l.evicting, id)
}

// DescriptorShortages returns how many connections its Listeners closed because no file descriptor was left.
func (l *ConnLimiter) DescriptorShortages() int64 { return l.descriptorShortages.Load() }

// Report returns the limiter's state and counters.
func (l *ConnLimiter) Report() admission.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules.Report(l.now())
}
