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

// Config of a steward.
type Config struct {
	Fleet        *api.Config
	Name         string
	StateDir     string // a folder that nobody else writes in
	Logger       *slog.Logger
	TickInterval time.Duration     // see node.Config; 100 ms if 0
	Transport    http.RoundTripper // to other stewards; nil is its own, by TLS if the file says so
}

const (
	maxQueuedRequests       = 1024             // that wait
	maxBatchBytes           = 256 << 10        // bytes of commands in an entry
	maxCommandBytes         = api.MaxBodyBytes // bytes of a command
	proposeTimeout          = 2 * time.Second  // for a plan to be committed
	operatorTimeout         = 5 * time.Second  // for an operator's word
	maxIdle                 = time.Second      // at most between two looks at what has ended
	repeatedWarningInterval = 10 * time.Second // between two log lines of one trouble
	maxRequestWait          = 3 * time.Second  // the longest that an ask waits
)

// Server is a running steward. It is for any goroutine.
type Server struct {
	config    Config
	self      api.Server
	tlsKeys   *tlskeys.Keys // nil is in the clear
	startedAt time.Time

	bootstrapMu    sync.Mutex // one founding at a time
	replica        atomic.Pointer[replica]
	status         atomic.Pointer[api.ServerStatus]
	leaseRequests  chan leaseRequest
	replicaChanged chan struct{} // holds one: another term
	counters       serverCounters
	floorClaims    floorClaimTracker // of the plans
}

// serverCounters since the start.
type serverCounters struct {
	requests, answered, rejectedRequests, queueFull, proposals, leasesGranted, rejectedCommands, failedProposals, duplicateFloorClaims atomic.Uint64
}

// replica is a steward's part in one founding.
type replica struct {
	bootstrap api.BootstrapRequest
	node      *node.Node
	handler   http.Handler // of the log
	state     *stateMachine
	rollouts  rolloutDriver
}

type leaseRequest struct {
	request quotalease.Request
	reply   chan leaseReply // holds one
}

type leaseReply struct {
	reply quotalease.Reply
	err   error
}

// New makes a steward, of what its folder holds: without a founding it waits for one.
func New(set Config) (*Server, error) {
	own, err := set.Fleet.Server(set.Name)
	if err != nil {
		return nil, err
	}
	if set.Logger == nil {
		set.Logger = slog.New(slog.DiscardHandler)
	}
	keys, err := set.Fleet.LoadTLSKeys()
	if err != nil {
		return nil, err
	}
	if set.Transport == nil {
		set.Transport = api.NewTransport(keys)
	}
	s := &Server{config: set, tlsKeys: keys, self: own, startedAt: time.Now(), leaseRequests: make(chan leaseRequest, maxQueuedRequests), replicaChanged: make(chan struct{}, 1)}
	f, err := s.latestBootstrap()
	if err != nil {
		return nil, err
	}
	if f != nil {
		if err := s.startReplica(*f); err != nil {
			return nil, err
		}
	}
	s.refreshStatus()
	return s, nil
}

// clock only goes forward. It stands still while the machine is suspended: then a steward counts a lease too long, never too
// short.
func (s *Server) clock() time.Duration { return time.Since(s.startedAt) }

func (s *Server) raftStorePath(epoch uint64) string {
	return filepath.Join(s.config.StateDir, fmt.Sprintf("log-%d.db", epoch))
}
func (s *Server) bootstrapPath(epoch uint64) string {
	return filepath.Join(s.config.StateDir, fmt.Sprintf("founding-%d", epoch))
}

// latestBootstrap is the newest that the folder holds, nil if there is none.
func (s *Server) latestBootstrap() (*api.BootstrapRequest, error) {
	paths, err := filepath.Glob(filepath.Join(s.config.StateDir, "founding-*"))
	if err != nil {
		return nil, err
	}
	var last *api.BootstrapRequest
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		f := &api.BootstrapRequest{}
		if err := cbor.Unmarshal(text, f); err != nil {
			return nil, fmt.Errorf("%s: %w", path, api.MalformedMessageError{Reason: err.Error()})
		}
		if last == nil || f.Epoch > last.Epoch {
			last = f
		}
	}
	return last, nil
}

// bootstrap carries out an operator's word. It may be given again; the stores of foundings before stay where they are.
func (s *Server) bootstrap(f api.BootstrapRequest) error {
	s.bootstrapMu.Lock()
	defer s.bootstrapMu.Unlock()
	last, err := s.latestBootstrap()
	if err != nil {
		return err
	}
	was := s.replica.Load()
	switch {
	case f.Fleet != s.config.Fleet.Fleet:
		return quotalease.FleetMismatchError{Ours: s.config.Fleet.Fleet, Theirs: f.Fleet}
	case f.ServerID != s.self.ID:
		return storage.NodeMismatchError{Path: s.self.Address, ID: s.self.ID}
	case f.Epoch == 0 || f.MaxLifetimeNanos <= 0:
		return quotalease.InvalidCommandError{Reason: fmt.Sprintf("epoch %d, longest %v", f.Epoch, time.Duration(f.MaxLifetimeNanos))}
	case last != nil && f.Epoch == last.Epoch && f.MaxLifetimeNanos == last.MaxLifetimeNanos && f.MaxDrift == last.MaxDrift:
		return nil // told again
	case last != nil && f.Epoch <= last.Epoch:
		return quotalease.StaleEpochError{Got: f.Epoch, Have: last.Epoch}
	case last != nil && (f.MaxLifetimeNanos < last.MaxLifetimeNanos || f.MaxDrift < last.MaxDrift):
		return quotalease.InvalidCommandError{Reason: fmt.Sprintf("longest %v or drift %v is less than held before", time.Duration(f.MaxLifetimeNanos), f.MaxDrift)}
	}
	if was != nil { // from here on it has no voice in the founding before
		s.replica.Store(nil)
		if err := was.node.Close(); err != nil {
			return err
		}
	}
	if err := storage.Bootstrap(s.raftStorePath(f.Epoch), f.Fleet, f.Epoch, f.ServerID, f.ServerIDs); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	text, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if err := writeFileDurably(s.bootstrapPath(f.Epoch), text); err != nil {
		return err
	}
	s.config.Logger.Info("founded by an operator's word", "fleet", f.Fleet, "epoch", f.Epoch)
	return s.startReplica(f)
}

// writeFileDurably writes a file that outlives a power failure.
func writeFileDurably(path string, text []byte) error {
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

func (s *Server) startReplica(f api.BootstrapRequest) error {
	peers := map[uint64]string{}
	for _, o := range s.config.Fleet.Servers {
		peers[o.ID] = "http://" + o.Address
	}
	m := newStateMachine(s.clock, f.Epoch)
	silence := quotalease.StartupSilence(time.Duration(f.MaxLifetimeNanos), f.MaxDrift) + s.config.TickInterval
	n, err := node.Start(node.Config{Fleet: f.Fleet, Epoch: f.Epoch, ID: f.ServerID, StorePath: s.raftStorePath(f.Epoch), Peers: peers, Machine: m,
		Silence: silence, TickInterval: s.config.TickInterval, Limits: consensus.Config{MaxCommandBytes: maxCommandBytes}, Transport: s.config.Transport})
	if err != nil {
		return err
	}
	s.replica.Store(&replica{bootstrap: f, node: n, handler: n.Handler(), state: m})
	select {
	case s.replicaChanged <- struct{}{}:
	default:
	}
	return nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	var duties sync.WaitGroup
	inner, cancel := context.WithCancel(context.Background())
	duties.Go(func() { s.runAllocator(inner) })
	duties.Go(func() { s.runStatus(inner) })
	if s.tlsKeys != nil {
		duties.Go(func() { api.WatchTLSKeys(inner, s.tlsKeys, s.config.Logger) })
		listener = tls.NewListener(listener, s.tlsKeys.Server())
	}
	duties.Go(func() { s.runRollouts(inner) })
	server := &http.Server{Handler: s.Handler(), ReadTimeout: 10 * time.Second, WriteTimeout: 15 * time.Second, IdleTimeout: 2 * time.Minute,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(s.config.Logger.Handler(), slog.LevelDebug)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s.config.Logger.Info("a steward serves", "fleet", s.config.Fleet.Fleet, "name", s.self.Name, "at", listener.Addr().String())
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		end, stop := context.WithTimeout(context.Background(), proposeTimeout)
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
func (s *Server) Close() error {
	s.bootstrapMu.Lock()
	defer s.bootstrapMu.Unlock()
	if t := s.replica.Swap(nil); t != nil {
		return t.node.Close()
	}
	return nil
}

// addressOf is where a steward of a number is, and its name.
func (s *Server) addressOf(id uint64) (address, name string) {
	for _, o := range s.config.Fleet.Servers {
		if o.ID == id {
			return o.Address, o.Name
		}
	}
	return "", ""
}

// remoteError is an error as it is told to a caller, with whom to ask instead.
func (s *Server) remoteError(err error) api.RemoteError {
	p := api.RemoteErrorOf(err)
	var not consensus.NotLeaderError
	if errors.As(err, &not) {
		p.LeaderAddress, _ = s.addressOf(not.Leader)
	}
	return p
}

// warn logs an error with its advice.
func (s *Server) warn(what string, err error) {
	s.config.Logger.Warn(what, "err", err, "advice", operatorerror.Of(err))
}
