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
	Fleet   string
	Epoch   uint64
	ID      uint64
	Store   string            // the file
	Peers   map[uint64]string // base addresses of the other stewards, such as "https://10.0.0.1:7400"
	Machine consensus.Machine
	Silence time.Duration // the longest lease: for so long after a start it waits for all others to confirm its store, and after a cut in any case. Must be set
	Tick    time.Duration // 100 ms; an election comes after 10 to 19, a leader's beat after each
	Limits  consensus.Settings
	MaxBody int               // bytes of a request between stewards, a snapshot included; 64 MiB, at least 1 MiB
	Queue   int               // messages that wait, for each peer and of all peers; 512
	TLS     *tls.Config       // of the client's side; nil is as the address says
	Via     http.RoundTripper // instead of a transport of its own
}

// ErrClosed is the answer of a node that was closed.
var ErrClosed = errors.New("consensus: the node is closed")

// Figures count since the start.
type Figures struct {
	Sent, SentBytes, Lost, Refused, Writes uint64 // messages and bytes out, messages lost here, messages refused here, batches that were flushed
}

// Node is a running steward. It is for any goroutine.
type Node struct {
	conf  Config
	core  *consensus.Core
	store *storage.Store

	inbox  chan consensus.Message
	calls  chan func()
	write  chan *consensus.Output
	wrote  chan error
	peers  map[uint64]*peer
	waits  map[uint64]chan consensus.Reply // of raft's goroutine
	client *http.Client

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	ended  chan struct{} // raft's goroutine has
	last   consensus.Status
	id     atomic.Uint64
	close  sync.Once
	closed error

	sent, sentBytes, lost, refused, writes atomic.Uint64
}

// Start opens the store and runs the node. The errors are those of store.Open and of consensus.New.
func Start(conf Config) (*Node, error) {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	if conf.Tick == 0 {
		conf.Tick = 100 * time.Millisecond
	}
	def(&conf.MaxBody, 64<<20)
	def(&conf.Queue, 512)
	if conf.Silence <= 0 || conf.Tick < 0 || conf.Machine == nil || conf.MaxBody < 0 || conf.Queue < 0 {
		return nil, fmt.Errorf("consensus: silence %v, tick %v, max-body %d, queue %d, machine %v", conf.Silence, conf.Tick, conf.MaxBody, conf.Queue, conf.Machine)
	}
	if conf.MaxBody < 2*soft {
		return nil, fmt.Errorf("consensus: max-body: %d is under %d", conf.MaxBody, 2*soft)
	}
	st, state, err := storage.Open(conf.Store, conf.Fleet, conf.Epoch, conf.ID)
	if err != nil {
		return nil, err
	}
	set := conf.Limits
	set.Fleet, set.Epoch, set.ID, set.Nonce = conf.Fleet, conf.Epoch, conf.ID, state.Stamp.Nonce
	set.SilenceTicks = int(math.Ceil(float64(conf.Silence) / float64(conf.Tick)))
	core, err := consensus.New(set, state, conf.Machine)
	if err != nil {
		return nil, errors.Join(err, st.Close())
	}
	n := &Node{
		conf: conf, core: core, store: st, inbox: make(chan consensus.Message, conf.Queue), calls: make(chan func(), 64),
		write: make(chan *consensus.Output, 1), wrote: make(chan error, 1), peers: map[uint64]*peer{}, waits: map[uint64]chan consensus.Reply{},
		ended: make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	via := conf.Via
	if via == nil {
		via = &http.Transport{TLSClientConfig: conf.TLS, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	}
	n.client = &http.Client{Transport: via}
	for id, address := range conf.Peers {
		if id != conf.ID {
			p := &peer{node: n, id: id, url: address + path, queue: make(chan consensus.Message, conf.Queue)}
			n.peers[id] = p
			n.done.Go(p.run)
		}
	}
	n.done.Go(n.keep)
	n.done.Go(n.run)
	return n, nil
}

// keep writes batches.
func (n *Node) keep() {
	for {
		select {
		case o := <-n.write:
			err := n.store.Write(&o.Batch)
			if o.Batch.Sync {
				n.writes.Add(1)
			}
			n.wrote <- err // holds one, and one is out at a time
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) run() {
	defer close(n.ended)
	ticks := time.NewTicker(n.conf.Tick)
	defer ticks.Stop()
	var out *consensus.Output
	for {
		if o, ok := n.core.Ready(); ok {
			out = o
			n.write <- o // holds one, and one is out at a time
		}
		select {
		case <-ticks.C:
			_ = n.core.Tick() // why it is out stands in Err
		case m := <-n.inbox:
			n.step(m)
			for range len(n.inbox) {
				n.step(<-n.inbox)
			}
		case f := <-n.calls:
			f()
			for range len(n.calls) {
				(<-n.calls)()
			}
		case err := <-n.wrote:
			if err != nil {
				// Danger: nobody knows what is on disk. Nothing goes out from here on.
				n.core.Fail(err)
			}
			e, _ := n.core.Done(out) // its error stands in Err
			out = nil
			for _, m := range e.Messages {
				n.send(m)
			}
			for _, r := range e.Replies {
				if w := n.waits[r.ID]; w != nil {
					delete(n.waits, r.ID)
					w <- r // holds one
				}
			}
		case <-n.ctx.Done():
			n.last = n.core.Status()
			return
		}
	}
}

func (n *Node) step(m consensus.Message) {
	if err := n.core.Step(m); err != nil {
		n.refused.Add(1)
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
	n.lost.Add(1)
	n.core.Unreachable(m.To)
	if m.Raft.GetType() == pb.MsgSnap {
		n.core.SnapshotSent(m.To, false)
	}
}

// call has raft's goroutine do something.
func (n *Node) call(ctx context.Context, f func()) error {
	did := make(chan struct{})
	select {
	case n.calls <- func() { f(); close(did) }:
	case <-n.ended:
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-did:
		return nil
	case <-n.ended:
		return ErrClosed
	}
}

// Propose returns a command's reply once a majority has it on disk and the Machine here has applied it. Without a leader it waits for
// one until ctx ends. The errors: NotLeader, QueueFull and TooLarge say that the command was not taken, NotEnoughStewards and Undecided
// that it may yet be carried out; Silent and what Status().Err gives that this steward takes no part.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	r, err := n.ask(ctx, func(id uint64) error { return n.core.Propose(id, command) })
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
	r, err := n.ask(ctx, n.core.Read)
	return r.Index, err
}

func (n *Node) ask(ctx context.Context, begin func(id uint64) error) (consensus.Reply, error) {
	var none consensus.Reply
	for {
		id, wait := n.id.Add(1), make(chan consensus.Reply, 1)
		var err error
		if e := n.call(ctx, func() {
			if err = begin(id); err == nil {
				n.waits[id] = wait
			}
		}); errors.Is(e, ErrClosed) {
			return none, e
		} else if e != nil {
			return none, n.late(ctx, nil)
		}
		var not consensus.NotLeader
		if err != nil && !(errors.As(err, &not) && not.Leader == 0) && !errors.As(err, &consensus.Silent{}) {
			return none, err
		}
		if err == nil {
			select {
			case r := <-wait:
				return r, r.Err
			case <-n.ended:
				return none, ErrClosed
			case <-ctx.Done():
				_ = n.call(context.Background(), func() { n.core.Forget(id); delete(n.waits, id) })
				return none, n.late(ctx, nil)
			}
		}
		again := time.NewTimer(n.conf.Tick)
		select {
		case <-again.C:
		case <-n.ended:
			again.Stop()
			return none, ErrClosed
		case <-ctx.Done():
			again.Stop()
			return none, n.late(ctx, err)
		}
	}
}

// late is why nothing was decided in time.
func (n *Node) late(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return context.Cause(ctx) // the caller has gone away: that says nothing of the stewards
	}
	if errors.As(err, &consensus.Silent{}) {
		return err
	}
	s := n.Status()
	return consensus.NotEnoughStewards{Heard: s.Heard, Need: len(s.Voters)/2 + 1}
}

// AddLearner has a steward join that holds what it is sent but has no voice; at the leader, as all changes of membership, one at a time.
// That it is in force is seen in Status.
func (n *Node) AddLearner(ctx context.Context, id uint64) error {
	return n.change(ctx, pb.ConfChangeAddLearnerNode, id)
}

// Promote gives a learner a voice.
func (n *Node) Promote(ctx context.Context, id uint64) error {
	return n.change(ctx, pb.ConfChangeAddNode, id)
}

// Remove has a steward leave for good: its number is not used again.
func (n *Node) Remove(ctx context.Context, id uint64) error {
	return n.change(ctx, pb.ConfChangeRemoveNode, id)
}

func (n *Node) change(ctx context.Context, kind pb.ConfChangeType, id uint64) (err error) {
	if e := n.call(ctx, func() { err = n.core.Change(kind, id) }); e != nil {
		return e
	}
	return err
}

// Status tells how the node stands; of a closed one how it stood last.
func (n *Node) Status() (s consensus.Status) {
	if err := n.call(context.Background(), func() { s = n.core.Status() }); err != nil {
		return n.last
	}
	return s
}

// Figures counts what went through it.
func (n *Node) Figures() Figures {
	return Figures{n.sent.Load(), n.sentBytes.Load(), n.lost.Load(), n.refused.Load(), n.writes.Load()}
}

// Close stops the node without a word to the others, and lets go of the store.
func (n *Node) Close() error {
	n.close.Do(func() {
		n.cancel()
		n.done.Wait()
		n.client.CloseIdleConnections()
		n.closed = n.store.Close()
	})
	return n.closed
}
