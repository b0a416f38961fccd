// Package node runs a steward's part in the log: one goroutine for raft and its ticks, one for the store, one for each peer's
// messages, joined by bounded queues. Full queues: messages are dropped (raft sends them again), commands are refused.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/storage"
)

// Config of a node. What is 0 takes the default beside it.
type Config struct {
	Fleet        string
	Epoch        uint64
	ID           uint64
	StorePath    string            // the file
	Peers        map[uint64]string // base addresses of the other stewards, such as "https://10.0.0.1:7400"
	Machine      consensus.Machine
	Silence      time.Duration // the longest lease: for so long after a start it waits for all others to confirm its store, and after a cut in any case. Must be set
	TickInterval time.Duration // 100 ms; an election comes after 10 to 19, a leader's beat after each
	Limits       consensus.Config
	MaxBodyBytes int               // bytes of a request between stewards, a snapshot included; 64 MiB, at least 1 MiB
	QueueLength  int               // messages that wait, for each peer and of all peers; 512
	TLS          *tls.Config       // of the client's side; nil is as the address says
	Transport    http.RoundTripper // instead of a transport of its own
}

// ErrClosed is the answer of a node that was closed.
var ErrClosed = errors.New("consensus: the node is closed")

// Metrics count since the start.
type Metrics struct {
	Sent, SentBytes, Dropped, Rejected, SyncedWrites uint64 // messages and bytes out, messages lost here, messages refused here, batches that were flushed
}

// Node is a running steward. It is for any goroutine.
type Node struct {
	config Config
	core   *consensus.Core
	store  *storage.Store

	inbox        chan consensus.Message
	raftCalls    chan func()
	writeQueue   chan *consensus.Ready
	writeResults chan error
	peers        map[uint64]*peer
	waiters      map[uint64]chan consensus.Reply // of raft's goroutine
	httpClient   *http.Client

	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	raftStopped   chan struct{} // raft's goroutine has
	lastStatus    consensus.Status
	lastRequestID atomic.Uint64
	closeOnce     sync.Once
	closeErr      error

	sent, sentBytes, dropped, rejected, syncedWrites atomic.Uint64
}

// Start opens the store and runs the node. The errors are those of store.Open and of consensus.New.
func Start(conf Config) (*Node, error) {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	if conf.TickInterval == 0 {
		conf.TickInterval = 100 * time.Millisecond
	}
	def(&conf.MaxBodyBytes, 64<<20)
	def(&conf.QueueLength, 512)
	if conf.Silence <= 0 || conf.TickInterval < 0 || conf.Machine == nil || conf.MaxBodyBytes < 0 || conf.QueueLength < 0 {
		return nil, fmt.Errorf("consensus: silence %v, tick %v, max-body %d, queue %d, machine %v", conf.Silence, conf.TickInterval, conf.MaxBodyBytes, conf.QueueLength, conf.Machine)
	}
	if conf.MaxBodyBytes < 2*batchSoftBytes {
		return nil, fmt.Errorf("consensus: max-body: %d is under %d", conf.MaxBodyBytes, 2*batchSoftBytes)
	}
	st, state, err := storage.Open(conf.StorePath, conf.Fleet, conf.Epoch, conf.ID)
	if err != nil {
		return nil, err
	}
	set := conf.Limits
	set.Fleet, set.Epoch, set.ID, set.Nonce = conf.Fleet, conf.Epoch, conf.ID, state.Version.Nonce
	set.SilenceTicks = int(math.Ceil(float64(conf.Silence) / float64(conf.TickInterval)))
	core, err := consensus.New(set, state, conf.Machine)
	if err != nil {
		return nil, errors.Join(err, st.Close())
	}
	n := &Node{
		config: conf, core: core, store: st, inbox: make(chan consensus.Message, conf.QueueLength), raftCalls: make(chan func(), 64),
		writeQueue: make(chan *consensus.Ready, 1), writeResults: make(chan error, 1), peers: map[uint64]*peer{}, waiters: map[uint64]chan consensus.Reply{},
		raftStopped: make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	via := conf.Transport
	if via == nil {
		via = &http.Transport{TLSClientConfig: conf.TLS, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	}
	n.httpClient = &http.Client{Transport: via}
	for id, address := range conf.Peers {
		if id != conf.ID {
			p := &peer{node: n, id: id, messagesURL: address + messagesPath, queue: make(chan consensus.Message, conf.QueueLength)}
			n.peers[id] = p
			n.goroutines.Go(p.run)
		}
	}
	n.goroutines.Go(n.runStore)
	n.goroutines.Go(n.runRaft)
	return n, nil
}

// runStore writes batches.
func (n *Node) runStore() {
	for {
		select {
		case o := <-n.writeQueue:
			err := n.store.Write(&o.Batch)
			if o.Batch.Sync {
				n.syncedWrites.Add(1)
			}
			n.writeResults <- err // holds one, and one is out at a time
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) runRaft() {
	defer close(n.raftStopped)
	ticks := time.NewTicker(n.config.TickInterval)
	defer ticks.Stop()
	var out *consensus.Ready
	for {
		if o, ok := n.core.Ready(); ok {
			out = o
			n.writeQueue <- o // holds one, and one is out at a time
		}
		select {
		case <-ticks.C:
			_ = n.core.Tick() // why it is out stands in Err
		case m := <-n.inbox:
			n.step(m)
			for range len(n.inbox) {
				n.step(<-n.inbox)
			}
		case f := <-n.raftCalls:
			f()
			for range len(n.raftCalls) {
				(<-n.raftCalls)()
			}
		case err := <-n.writeResults:
			if err != nil {
				// Danger: nobody knows what is on disk. Nothing goes out from here on.
				n.core.Fail(err)
			}
			e, _ := n.core.Advance(out) // its error stands in Err
			out = nil
			for _, m := range e.Messages {
				n.send(m)
			}
			for _, r := range e.Replies {
				if w := n.waiters[r.RequestID]; w != nil {
					delete(n.waiters, r.RequestID)
					w <- r // holds one
				}
			}
		case <-n.ctx.Done():
			n.lastStatus = n.core.Status()
			return
		}
	}
}

func (n *Node) step(m consensus.Message) {
	if err := n.core.Step(m); err != nil {
		n.rejected.Add(1)
	}
}

func (n *Node) send(m consensus.Message) {
	p := n.peers[m.To]
	if p != nil {
		select {
		case p.queue <- m:
			return
		default:
		}
	}
	n.dropped.Add(1)
	n.core.ReportUnreachable(m.To)
	if m.Raft.GetType() == pb.MsgSnap {
		n.core.ReportSnapshot(m.To, false)
	}
}

// onRaftLoop has raft's goroutine do something.
func (n *Node) onRaftLoop(ctx context.Context, f func()) error {
	did := make(chan struct{})
	select {
	case n.raftCalls <- func() { f(); close(did) }:
	case <-n.raftStopped:
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-did:
		return nil
	case <-n.raftStopped:
		return ErrClosed
	}
}

// Propose returns a command's reply once a majority has it on disk and the Machine here has applied it. Without a leader it waits for
// one until ctx ends. The errors: NotLeader, QueueFull and TooLarge say that the command was not taken, NotEnoughStewards and Undecided
// that it may yet be carried out; Silent and what Status().Err gives that this steward takes no part.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	r, err := n.submit(ctx, func(id uint64) error { return n.core.Propose(id, command) })
	return r.Data, err
}

// Barrier returns once the Machine here holds all that any steward had acknowledged when it was called; at the leader only. What is
// read after it is linearizable. Errors as of Propose.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.ReadIndex(ctx)
	return err
}

// ReadIndex is Barrier, and gives the entry up to which the Machine holds all.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	r, err := n.submit(ctx, n.core.ReadIndex)
	return r.Index, err
}

func (n *Node) submit(ctx context.Context, begin func(id uint64) error) (consensus.Reply, error) {
	var none consensus.Reply
	for {
		id, wait := n.lastRequestID.Add(1), make(chan consensus.Reply, 1)
		var err error
		if e := n.onRaftLoop(ctx, func() {
			if err = begin(id); err == nil {
				n.waiters[id] = wait
			}
		}); errors.Is(e, ErrClosed) {
			return none, e
		} else if e != nil {
			return none, n.timeoutError(ctx, nil)
		}
		var not consensus.NotLeaderError
		if err != nil && !(errors.As(err, &not) && not.Leader == 0) && !errors.As(err, &consensus.SilentError{}) {
			return none, err
		}
		if err == nil {
			select {
			case r := <-wait:
				return r, r.Err
			case <-n.raftStopped:
				return none, ErrClosed
			case <-ctx.Done():
				_ = n.onRaftLoop(context.Background(), func() { n.core.Forget(id); delete(n.waiters, id) })
				return none, n.timeoutError(ctx, nil)
			}
		}
		again := time.NewTimer(n.config.TickInterval)
		select {
		case <-again.C:
		case <-n.raftStopped:
			again.Stop()
			return none, ErrClosed
		case <-ctx.Done():
			again.Stop()
			return none, n.timeoutError(ctx, err)
		}
	}
}

// timeoutError is why nothing was decided in time.
func (n *Node) timeoutError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return context.Cause(ctx) // the caller has gone away: that says nothing of the stewards
	}
	if errors.As(err, &consensus.SilentError{}) {
		return err
	}
	s := n.Status()
	return consensus.NoQuorumError{Active: s.ActiveVoters, Needed: len(s.Voters)/2 + 1}
}

// AddLearner has a steward join that holds what it is sent but has no voice; at the leader, as all changes of membership, one at a time.
// That it is in force is seen in Status.
func (n *Node) AddLearner(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeAddLearnerNode, id)
}

// Promote gives a learner a voice.
func (n *Node) Promote(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeAddNode, id)
}

// Remove has a steward leave for good: its number is not used again.
func (n *Node) Remove(ctx context.Context, id uint64) error {
	return n.changeMembership(ctx, pb.ConfChangeRemoveNode, id)
}

func (n *Node) changeMembership(ctx context.Context, kind pb.ConfChangeType, id uint64) (err error) {
	if e := n.onRaftLoop(ctx, func() { err = n.core.ProposeConfChange(kind, id) }); e != nil {
		return e
	}
	return err
}

// Status tells how the node stands; of a closed one how it stood last.
func (n *Node) Status() (s consensus.Status) {
	if err := n.onRaftLoop(context.Background(), func() { s = n.core.Status() }); err != nil {
		return n.lastStatus
	}
	return s
}

// Metrics counts what went through it.
func (n *Node) Metrics() Metrics {
	return Metrics{n.sent.Load(), n.sentBytes.Load(), n.dropped.Load(), n.rejected.Load(), n.syncedWrites.Load()}
}

// Close stops the node without a word to the others, and lets go of the store.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		n.cancel()
		n.goroutines.Wait()
		n.httpClient.CloseIdleConnections()
		n.closeErr = n.store.Close()
	})
	return n.closeErr
}
