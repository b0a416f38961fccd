// Package server is one of those who divide the budgets of a fleet: a process of its own that agrees with the others on a log
// (internal/consensus) what is granted to whom (internal/quotalease).
//
// A goroutine for each duty: the log's own (package node), the plans, the figures; they share the book under a lock that is
// never held over I/O. Asks come by HTTP and wait in a bounded queue; when that is full they are refused, and the proxy asks
// again. An ask is answered by what the book holds after its plan was committed, never before.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/node"
	"lapisspread/internal/consensus/storage"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/tlskeys"
)

// Settings of a steward.
type Settings struct {
	File  *api.File
	Name  string
	State string // a folder that nobody else writes in
	Log   *slog.Logger
	Tick  time.Duration     // see node.Config; 100 ms if 0
	Via   http.RoundTripper // to other stewards; nil is its own, by TLS if the file says so
}

const (
	mostAsks   = 1024             // that wait
	mostBatch  = 256 << 10        // bytes of commands in an entry
	mostEntry  = api.MostBody     // bytes of a command
	planTime   = 2 * time.Second  // for a plan to be committed
	orderTime  = 5 * time.Second  // for an operator's word
	rest       = time.Second      // at most between two looks at what has ended
	tellEvery  = 10 * time.Second // between two log lines of one trouble
	answerTime = 3 * time.Second  // the longest that an ask waits
)

// Steward is a running steward. It is for any goroutine.
type Steward struct {
	set   Settings
	own   api.Steward
	keys  *tlskeys.Keys // nil is in the clear
	begun time.Time

	orders sync.Mutex // one founding at a time
	now    atomic.Pointer[term]
	stand  atomic.Pointer[api.Status]
	asks   chan ask
	wake   chan struct{} // holds one: another term
	counts counts
	claims claimants // of the plans
}

// counts since the start.
type counts struct {
	asks, answered, refused, full, proposals, grants, rejected, failed, twice atomic.Uint64
}

// term is a steward's part in one founding.
type term struct {
	founding api.Founding
	node     *node.Node
	handler  http.Handler // of the log
	machine  *machine
	roller   roller
}

type ask struct {
	request quotalease.Request
	answer  chan answer // holds one
}

type answer struct {
	reply quotalease.Reply
	err   error
}

// New makes a steward, of what its folder holds: without a founding it waits for one.
func New(set Settings) (*Steward, error) {
	own, err := set.File.Steward(set.Name)
	if err != nil {
		return nil, err
	}
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	keys, err := set.File.Keys()
	if err != nil {
		return nil, err
	}
	if set.Via == nil {
		set.Via = api.Transport(keys)
	}
	s := &Steward{set: set, keys: keys, own: own, begun: time.Now(), asks: make(chan ask, mostAsks), wake: make(chan struct{}, 1)}
	f, err := s.lastFounding()
	if err != nil {
		return nil, err
	}
	if f != nil {
		if err := s.start(*f); err != nil {
			return nil, err
		}
	}
	s.look()
	return s, nil
}

// clock only goes forward. It stands still while the machine is suspended: then a steward counts a lease too long, never too
// short.
func (s *Steward) clock() time.Duration { return time.Since(s.begun) }

func (s *Steward) storePath(epoch uint64) string {
	return filepath.Join(s.set.State, fmt.Sprintf("log-%d.db", epoch))
}
func (s *Steward) foundingPath(epoch uint64) string {
	return filepath.Join(s.set.State, fmt.Sprintf("founding-%d", epoch))
}

// lastFounding is the newest that the folder holds, nil if there is none.
func (s *Steward) lastFounding() (*api.Founding, error) {
	paths, err := filepath.Glob(filepath.Join(s.set.State, "founding-*"))
	if err != nil {
		return nil, err
	}
	var last *api.Founding
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		f := &api.Founding{}
		if err := cbor.Unmarshal(text, f); err != nil {
			return nil, fmt.Errorf("%s: %w", path, api.BadMessage{Why: err.Error()})
		}
		if last == nil || f.Epoch > last.Epoch {
			last = f
		}
	}
	return last, nil
}

// found carries out an operator's word. It may be given again; the stores of foundings before stay where they are.
func (s *Steward) found(f api.Founding) error {
	s.orders.Lock()
	defer s.orders.Unlock()
	last, err := s.lastFounding()
	if err != nil {
		return err
	}
	was := s.now.Load()
	switch {
	case f.Fleet != s.set.File.Fleet:
		return quotalease.FleetMismatchError{Ours: s.set.File.Fleet, Theirs: f.Fleet}
	case f.ID != s.own.Number:
		return storage.NodeMismatchError{Path: s.own.Address, ID: s.own.Number}
	case f.Epoch == 0 || f.Longest <= 0:
		return quotalease.InvalidCommandError{Reason: fmt.Sprintf("epoch %d, longest %v", f.Epoch, time.Duration(f.Longest))}
	case last != nil && f.Epoch == last.Epoch && f.Longest == last.Longest && f.Drift == last.Drift:
		return nil // told again
	case last != nil && f.Epoch <= last.Epoch:
		return quotalease.StaleEpochError{Got: f.Epoch, Have: last.Epoch}
	case last != nil && (f.Longest < last.Longest || f.Drift < last.Drift):
		return quotalease.InvalidCommandError{Reason: fmt.Sprintf("longest %v or drift %v is less than held before", time.Duration(f.Longest), f.Drift)}
	}
	if was != nil { // from here on it has no voice in the founding before
		s.now.Store(nil)
		if err := was.node.Close(); err != nil {
			return err
		}
	}
	if err := storage.Bootstrap(s.storePath(f.Epoch), f.Fleet, f.Epoch, f.ID, f.Members); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	text, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if err := keep(s.foundingPath(f.Epoch), text); err != nil {
		return err
	}
	s.set.Log.Info("founded by an operator's word", "fleet", f.Fleet, "epoch", f.Epoch)
	return s.start(f)
}

// keep writes a file that outlives a power failure.
func keep(path string, text []byte) error {
	next := path + ".new"
	file, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (s *Steward) start(f api.Founding) error {
	peers := map[uint64]string{}
	for _, o := range s.set.File.Stewards {
		peers[o.Number] = "http://" + o.Address
	}
	m := newMachine(s.clock, f.Epoch)
	silence := quotalease.StartupSilence(time.Duration(f.Longest), f.Drift) + s.set.Tick
	n, err := node.Start(node.Config{Fleet: f.Fleet, Epoch: f.Epoch, ID: f.ID, StorePath: s.storePath(f.Epoch), Peers: peers, Machine: m,
		Silence: silence, TickInterval: s.set.Tick, Limits: consensus.Config{MaxCommandBytes: mostEntry}, Transport: s.set.Via})
	if err != nil {
		return err
	}
	s.now.Store(&term{founding: f, node: n, handler: n.Handler(), machine: m})
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// Run serves until ctx ends.
func (s *Steward) Run(ctx context.Context, listener net.Listener) error {
	var duties sync.WaitGroup
	inner, cancel := context.WithCancel(context.Background())
	duties.Go(func() { s.plans(inner) })
	duties.Go(func() { s.figures(inner) })
	if s.keys != nil {
		duties.Go(func() { api.WatchKeys(inner, s.keys, s.set.Log) })
		listener = tls.NewListener(listener, s.keys.Server())
	}
	duties.Go(func() { s.rollouts(inner) })
	server := &http.Server{Handler: s.Handler(), ReadTimeout: 10 * time.Second, WriteTimeout: 15 * time.Second, IdleTimeout: 2 * time.Minute,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(s.set.Log.Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s.set.Log.Info("a steward serves", "fleet", s.set.File.Fleet, "name", s.own.Name, "at", listener.Addr().String())
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		end, stop := context.WithTimeout(context.Background(), planTime)
		if server.Shutdown(end) != nil {
			_ = server.Close() // who is answered yet had its time
		}
		stop()
		<-served
	}
	cancel()
	duties.Wait()
	return errors.Join(err, s.Close())
}

// Close lets go of the log. Run does it too.
func (s *Steward) Close() error {
	s.orders.Lock()
	defer s.orders.Unlock()
	if t := s.now.Swap(nil); t != nil {
		return t.node.Close()
	}
	return nil
}

// address is where a steward of a number is, and its name.
func (s *Steward) address(id uint64) (address, name string) {
	for _, o := range s.set.File.Stewards {
		if o.Number == id {
			return o.Address, o.Name
		}
	}
	return "", ""
}

// told is an error as it is told to a caller, with whom to ask instead.
func (s *Steward) told(err error) api.Problem {
	p := api.ProblemOf(err)
	var not consensus.NotLeaderError
	if errors.As(err, &not) {
		p.Leader, _ = s.address(not.Leader)
	}
	return p
}

// warn logs an error with its advice.
func (s *Steward) warn(what string, err error) {
	s.set.Log.Warn(what, "err", err, "advice", operatorerror.Of(err))
}
