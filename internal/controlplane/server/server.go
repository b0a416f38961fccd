package server

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/consensus"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/tlskeys"
)

// Config configures a Server.
type Config struct {
	// Fleet is the fleet's configuration; required.
	Fleet *api.Config
	// Name is the server's name in Fleet; required.
	Name string
	// StateDir is the directory of the Raft logs and bootstraps. No other process may write to it; required.
	StateDir string
	// Logger receives log messages. Nil discards them.
	Logger *slog.Logger
	// TickInterval is the duration of a Raft tick; see node.Config. 0 means 100 ms.
	TickInterval time.Duration
	// Transport carries calls to the other servers. Nil means a new transport, with TLS if Fleet configures it.
	Transport http.RoundTripper
}

// Limits of the HTTP server.
const (
	readTimeout     = 10 * time.Second
	writeTimeout    = 15 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = 2 * time.Second // maximum time for requests in flight to finish
)

// Server is a control-plane server. Its methods are safe for concurrent use.
type Server struct {
	config    Config
	self      api.Server
	tlsKeys   *tlskeys.Keys // nil without TLS
	startedAt time.Time

	bootstrapMu    sync.Mutex                       // serializes bootstrap and Close
	replica        atomic.Pointer[replica]          // nil before the first bootstrap and after Close
	status         atomic.Pointer[api.ServerStatus] // refreshed by runStatus
	leaseRequests  chan leaseRequest
	replicaChanged chan struct{} // capacity 1; wakes the allocator
	counters       serverCounters
	floorClaims    floorClaimTracker // used by the allocator's goroutine only
}

// serverCounters count events since the server's start.
type serverCounters struct {
	requests             atomic.Uint64 // lease requests
	answered             atomic.Uint64 // lease requests that got a reply
	rejectedRequests     atomic.Uint64 // lease requests that got an error
	queueFull            atomic.Uint64 // lease requests rejected because the queue was full
	proposals            atomic.Uint64 // proposed log entries
	failedProposals      atomic.Uint64 // proposed log entries that are not known to be committed
	rejectedCommands     atomic.Uint64 // committed commands that the state machine rejected
	leasesGranted        atomic.Uint64
	duplicateFloorClaims atomic.Uint64
}

// New returns a server that resumes the latest epoch in its state directory. Without an epoch the server waits for a
// bootstrap. New fails if the configuration has no server of that name, or if the TLS keys, the stored bootstraps or
// the Raft log cannot be read. The caller must call Run or Close.
func New(config Config) (*Server, error) {
	self, err := config.Fleet.Server(config.Name)
	if err != nil {
		return nil, err
	}
	keys, err := config.Fleet.LoadTLSKeys()
	if err != nil {
		return nil, err
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Transport == nil {
		config.Transport = api.NewTransport(keys)
	}
	s := &Server{
		config:         config,
		self:           self,
		tlsKeys:        keys,
		startedAt:      time.Now(),
		leaseRequests:  make(chan leaseRequest, maxQueuedRequests),
		replicaChanged: make(chan struct{}, 1),
	}
	latest, err := s.latestBootstrap()
	if err != nil {
		return nil, err
	}
	if latest != nil {
		if err := s.startReplica(*latest); err != nil {
			return nil, err
		}
	}
	s.refreshStatus()
	return s, nil
}

// clock returns the time since the server's start. It is monotonic and does not advance while the machine is suspended.
// A suspension therefore makes the server count a lease as valid for too long, never for too short a time.
func (s *Server) clock() time.Duration { return time.Since(s.startedAt) }

// Run serves on the listener until ctx is canceled or serving fails, and then closes the server. It blocks and must be
// called only once. It returns nil after ctx is canceled, unless closing the server fails.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	var tasks sync.WaitGroup
	taskCtx, cancel := context.WithCancel(context.Background())
	tasks.Go(func() { s.runAllocator(taskCtx) })
	tasks.Go(func() { s.runStatus(taskCtx) })
	tasks.Go(func() { s.runRollouts(taskCtx) })
	if s.tlsKeys != nil {
		tasks.Go(func() { api.WatchTLSKeys(taskCtx, s.tlsKeys, s.config.Logger) })
		listener = tls.NewListener(listener, s.tlsKeys.ServerConfig())
	}
	err := s.serveHTTP(ctx, listener)
	cancel()
	tasks.Wait()
	return errors.Join(err, s.Close())
}

// serveHTTP serves until ctx is canceled, and then waits for requests in flight, for at most shutdownTimeout.
func (s *Server) serveHTTP(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:        s.Handler(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(s.config.Logger.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s.config.Logger.Info("control-plane server is serving",
		"fleet", s.config.Fleet.Fleet, "address", listener.Addr().String())
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close() // aborts the requests that are still in flight after shutdownTimeout
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		s.config.Logger.Debug("serving failed during the shutdown", "err", err)
	}
	return nil
}

// Close stops taking part in the current epoch and closes its Raft log. Run calls it before it returns. Further calls
// do nothing.
func (s *Server) Close() error {
	s.bootstrapMu.Lock()
	defer s.bootstrapMu.Unlock()
	if current := s.replica.Swap(nil); current != nil {
		return current.node.Close()
	}
	return nil
}

// addressAndName returns the address and the name of a server; both are empty for an unknown ID.
func (s *Server) addressAndName(id uint64) (address, name string) {
	for _, server := range s.config.Fleet.Servers {
		if server.ID == id {
			return server.Address, server.Name
		}
	}
	return "", ""
}

// remoteError converts an error to the form that is sent to callers. A NotLeaderError gets the leader's address, which
// the caller can call instead.
func (s *Server) remoteError(err error) api.RemoteError {
	remote := api.RemoteErrorOf(err)
	var notLeader consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		remote.LeaderAddress, _ = s.addressAndName(notLeader.Leader)
	}
	return remote
}

// warn logs an error together with its advice.
func (s *Server) warn(message string, err error) {
	s.config.Logger.Warn(message, "err", err, "advice", operatorerror.AdviceOf(err))
}
