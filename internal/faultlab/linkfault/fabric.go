package linkfault

import (
	"fmt"
	"net"
	"slices"
	"sync"
)

// Fabric is all links of a test and the rules that hold on them. It is for any goroutine.
type Fabric struct {
	mu      sync.Mutex
	links   []*Link
	rules   []*Rule
	closed  bool
	running sync.WaitGroup
}

// New makes a fabric without links.
func New() *Fabric { return &Fabric{} }

// Link opens a relay at an address of loopback, on any port, to wherever the target is at the time of each connection.
func (f *Fabric) Link(from, to string, at net.IP, target func() string) (*Link, error) {
	if !at.IsLoopback() {
		return nil, fmt.Errorf("link from %s to %s: %v is not on loopback", from, to, at)
	}
	l := &Link{From: from, To: to, fabric: f, target: target, pairs: map[*pair]bool{}, changed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, fmt.Errorf("link from %s to %s: %w", from, to, net.ErrClosed)
	}
	l.addr = &net.TCPAddr{IP: at}
	if err := l.set(Trouble{}, Trouble{}); err != nil { // the port is found before a rule closes it
		return nil, err
	}
	f.links = append(f.links, l)
	if err := l.set(combine(f.rules, from, to)); err != nil {
		return nil, err
	}
	return l, nil
}

// Apply has a rule hold until end is called, on all links that are there and on those to come. Rules may overlap; the end of
// one leaves the others.
func (f *Fabric) Apply(r Rule) (end func() error, err error) {
	if err := r.Check(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = append(f.rules, &r)
	return func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rules = slices.DeleteFunc(f.rules, func(o *Rule) bool { return o == &r })
		return f.bring()
	}, f.bring()
}

// Partition holds all that goes between two sets of processes, whoever connects, until end is called.
func (f *Fabric) Partition(a, b string) (end func() error, err error) {
	one, err := f.Apply(Rule{From: a, To: b, Trouble: Trouble{Silent: true}})
	if err != nil {
		return nil, err
	}
	other, err := f.Apply(Rule{From: b, To: a, Trouble: Trouble{Silent: true}})
	if err != nil {
		return nil, err
	}
	return func() error {
		if err := one(); err != nil {
			return err
		}
		return other()
	}, nil
}

// Heal ends all rules.
func (f *Fabric) Heal() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = nil
	return f.bring()
}

// Reset resets the connections of the links that a rule's names choose.
func (f *Fabric) Reset(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		if matches(from, l.From) && matches(to, l.To) {
			l.Reset()
		}
	}
}

// bring brings all links to the rules. The lock is held.
func (f *Fabric) bring() error {
	var first error
	for _, l := range f.links {
		there, back := combine(f.rules, l.From, l.To)
		if err := l.set(there, back); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close ends all links and waits for what they have started.
func (f *Fabric) Close() {
	f.mu.Lock()
	f.closed = true
	links := slices.Clone(f.links)
	f.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	f.running.Wait()
}
