package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/storage"
)

// ErrClosed is returned by calls on a Node that was closed.
var ErrClosed = errors.New("consensus: the node is closed")

// raftCallQueueLength is the number of calls that wait for the goroutine of the Core.
const raftCallQueueLength = 64

// Node is a running server. It is safe for concurrent use.
type Node struct {
	config     Config
	core       *consensus.Core // only runRaft uses it once the Node runs
	store      *storage.Store  // only runStore uses it until both have ended
	peers      map[uint64]*peer
	httpClient *http.Client

	inbox        chan consensus.Message // from the other servers
	raftCalls    chan func()
	writeQueue   chan *consensus.Ready // at most one is under way
	writeResults chan error
	waiters      map[uint64]chan consensus.Reply // by request ID; only runRaft uses it
	metrics      counters

	lastRequestID atomic.Uint64

	ctx         context.Context // ends with Close
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	raftStopped chan struct{}    // closed when runRaft has ended
	lastStatus  consensus.Status // set before raftStopped is closed
	closeOnce   sync.Once
	closeErr    error
}

// Start opens the store and runs the Node, until Close. The errors are those of Config, storage.Open and
// consensus.New; the store is closed then.
func Start(config Config) (*Node, error) {
	config.applyDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	store, state, err := storage.Open(config.StorePath, config.Fleet, config.Epoch, config.ID)
	if err != nil {
		return nil, err
	}
	core, err := consensus.New(config.coreConfig(state.Version.Nonce), state, config.Machine)
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	n := &Node{
		config:       config,
		core:         core,
		store:        store,
		peers:        map[uint64]*peer{},
		httpClient:   &http.Client{Transport: config.newTransport()},
		inbox:        make(chan consensus.Message, config.QueueLength),
		raftCalls:    make(chan func(), raftCallQueueLength),
		writeQueue:   make(chan *consensus.Ready, 1),
		writeResults: make(chan error, 1),
		waiters:      map[uint64]chan consensus.Reply{},
		raftStopped:  make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for id, address := range config.Peers {
		if id != config.ID {
			n.peers[id] = newPeer(n, id, address)
		}
	}
	for _, p := range n.peers {
		n.goroutines.Go(p.run)
	}
	n.goroutines.Go(n.runStore)
	n.goroutines.Go(n.runRaft)
	return n, nil
}

// Close stops the Node without a message to the others, and closes the store. It waits for the Node's goroutines, a
// write that is under way included; calls that are under way return ErrClosed. The error is that of closing the store.
// Calls after the first return the same.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		n.cancel()
		n.goroutines.Wait()
		n.httpClient.CloseIdleConnections()
		n.closeErr = n.store.Close()
	})
	return n.closeErr
}

// Status returns the server's state, or the last one before Close. It waits for the goroutine of the Core.
func (n *Node) Status() consensus.Status {
	var status consensus.Status
	if err := n.onRaftLoop(context.Background(), func() { status = n.core.Status() }); err != nil {
		return n.lastStatus
	}
	return status
}
