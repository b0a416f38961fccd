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

// ErrClosed is returned by methods of a closed Node.
var ErrClosed = errors.New("consensus: the node is closed")

// raftCallQueueLength is the capacity of the queue of calls to the goroutine that owns the Core.
const raftCallQueueLength = 64

// Node is a running server of a fleet. It is safe for concurrent use.
type Node struct {
	config     Config
	core       *consensus.Core // used only by runRaft once the Node runs
	store      *storage.Store  // used only by runStore until Close has stopped all goroutines
	peers      map[uint64]*peer
	httpClient *http.Client

	inbox        chan consensus.Message          // from the other servers
	raftCalls    chan func()                     // see onRaftLoop
	writeQueue   chan *consensus.Ready           // to runStore; at most one round is in progress
	writeResults chan error                      // from runStore, one for each item of writeQueue
	waiters      map[uint64]chan consensus.Reply // callers of submit by request ID; used only by runRaft
	metrics      counters

	lastRequestID atomic.Uint64

	ctx         context.Context // canceled by Close
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	raftStopped chan struct{}    // closed when runRaft has ended
	lastStatus  consensus.Status // set before raftStopped is closed
	closeOnce   sync.Once
	closeErr    error
}

// Start opens the store and starts the Node, which runs until Close. The errors are an invalid Config, and those of
// storage.Open and consensus.New. After an error the store is closed.
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

// Close stops the Node without notifying the other servers, and closes the store. It waits for the Node's goroutines
// and for a write in progress. Pending calls return ErrClosed. The error is that of closing the store. Further calls
// return the same error.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		n.cancel()
		n.goroutines.Wait()
		n.httpClient.CloseIdleConnections()
		n.closeErr = n.store.Close()
	})
	return n.closeErr
}

// Status returns the server's state; after Close, the last state before. It blocks until the goroutine that owns the
// Core has run it.
func (n *Node) Status() consensus.Status {
	var status consensus.Status
	if err := n.onRaftLoop(context.Background(), func() { status = n.core.Status() }); err != nil {
		return n.lastStatus
	}
	return status
}
