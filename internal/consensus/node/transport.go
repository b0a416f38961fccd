package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lapisspread/internal/consensus"
)

const (
	messagesPath     = "/consensus/v1/messages"
	maxBatchMessages = 64               // messages of a request
	batchSoftBytes   = 512 << 10        // bytes after which a request takes no more messages
	requestTimeout   = 3 * time.Second  // of a request
	snapshotTimeout  = 30 * time.Second // of one with a snapshot
)

// wireMessage is a message as it goes over the network: CBOR (RFC 8949), with raft's own part as the protobuf that it is.
type wireMessage struct {
	Fleet         string                 `cbor:"1,keyasint"`
	Epoch         uint64                 `cbor:"2,keyasint"`
	From          uint64                 `cbor:"3,keyasint"`
	To            uint64                 `cbor:"4,keyasint"`
	SenderVersion consensus.StoreVersion `cbor:"5,keyasint"`
	Kind          consensus.MessageKind  `cbor:"6,keyasint"`
	Raft          []byte                 `cbor:"7,keyasint,omitempty"`
	KnownVersion  consensus.StoreVersion `cbor:"8,keyasint"`
	QueryNonce    uint64                 `cbor:"9,keyasint,omitempty"`
	DigestIndex   uint64                 `cbor:"10,keyasint,omitempty"`
	Digest        uint64                 `cbor:"11,keyasint,omitempty"`
}

func encodeMessage(m consensus.Message) (cbor.RawMessage, error) {
	w := wireMessage{m.Fleet, m.Epoch, m.From, m.To, m.SenderVersion, m.Kind, nil, m.KnownVersion, m.QueryNonce, m.DigestIndex, m.Digest}
	if m.Raft != nil {
		var err error
		if w.Raft, err = proto.Marshal(m.Raft); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(w)
}

func decodeMessages(body []byte) ([]consensus.Message, error) {
	var all []wireMessage
	if err := cbor.Unmarshal(body, &all); err != nil {
		return nil, err
	}
	if len(all) > maxBatchMessages {
		return nil, fmt.Errorf("%d messages", len(all))
	}
	out := make([]consensus.Message, len(all))
	for i, w := range all {
		out[i] = consensus.Message{Fleet: w.Fleet, Epoch: w.Epoch, From: w.From, To: w.To, SenderVersion: w.SenderVersion, Kind: w.Kind, KnownVersion: w.KnownVersion, QueryNonce: w.QueryNonce,
			DigestIndex: w.DigestIndex, Digest: w.Digest}
		if w.Kind == consensus.MessageRaft {
			out[i].Raft = &pb.Message{}
			if err := proto.Unmarshal(w.Raft, out[i].Raft); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

// Handler takes the other stewards' messages. Whoever serves it sees to TLS, and to who may call.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagesPath, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(n.config.MaxBodyBytes)))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		all, err := decodeMessages(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, m := range all {
			if m.Fleet != n.config.Fleet || m.Epoch != n.config.Epoch || m.To != n.config.ID {
				n.rejected.Add(1)
				http.Error(w, consensus.FleetMismatchError{Fleet: m.Fleet, Epoch: m.Epoch}.Error(), http.StatusConflict)
				return
			}
			select {
			case n.inbox <- m:
			case <-n.ctx.Done():
				http.Error(w, ErrClosed.Error(), http.StatusServiceUnavailable)
				return
			default:
				n.dropped.Add(1)
				http.Error(w, "the queue is full", http.StatusServiceUnavailable)
				return
			}
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// peer sends to one steward, one request at a time.
type peer struct {
	node        *Node
	id          uint64
	messagesURL string
	queue       chan consensus.Message
}

func (p *peer) run() {
	n := p.node
	rest := &backoff.ExponentialBackOff{InitialInterval: n.config.TickInterval / 2, RandomizationFactor: .5, Multiplier: 1.5, MaxInterval: 5 * n.config.TickInterval}
	rest.Reset()
	for {
		var body []cbor.RawMessage
		size, snaps := 0, 0
		take := func(m consensus.Message) {
			b, err := encodeMessage(m)
			if err != nil || len(b) > n.config.MaxBodyBytes-batchSoftBytes-16 {
				n.dropped.Add(1)
				p.reportDelivery(m.Raft.GetType() == pb.MsgSnap, errors.New("too large"))
				return
			}
			if m.Raft.GetType() == pb.MsgSnap {
				snaps++
			}
			body, size = append(body, b), size+len(b)
		}
		select {
		case m := <-p.queue:
			take(m)
		case <-n.ctx.Done():
			return
		}
		for len(body) < maxBatchMessages && size < batchSoftBytes && len(p.queue) > 0 {
			take(<-p.queue)
		}
		if len(body) == 0 {
			continue
		}
		err := p.post(body, snaps > 0)
		if n.ctx.Err() != nil {
			return
		}
		if err == nil {
			n.sent.Add(uint64(len(body)))
			rest.Reset()
		} else {
			n.dropped.Add(uint64(len(body)))
		}
		if err != nil || snaps > 0 {
			p.reportDelivery(snaps > 0, err)
		}
		if err != nil {
			wait := time.NewTimer(rest.NextBackOff())
			select {
			case <-wait.C:
			case <-n.ctx.Done():
				wait.Stop()
				return
			}
			for range len(p.queue) { // raft has newer ones by now
				if m := <-p.queue; m.Raft.GetType() == pb.MsgSnap {
					p.reportDelivery(true, err)
				}
				n.dropped.Add(1)
			}
		}
	}
}

func (p *peer) reportDelivery(snapshot bool, err error) {
	_ = p.node.onRaftLoop(p.node.ctx, func() {
		if err != nil {
			p.node.core.ReportUnreachable(p.id)
		}
		if snapshot {
			p.node.core.ReportSnapshot(p.id, err == nil)
		}
	})
}

func (p *peer) post(body []cbor.RawMessage, snapshot bool) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	limit := requestTimeout
	if snapshot {
		limit = snapshotTimeout
	}
	ctx, cancel := context.WithTimeout(p.node.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.messagesURL, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/cbor")
	p.node.sentBytes.Add(uint64(len(data)))
	resp, err := p.node.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("steward %d answers %s", p.id, resp.Status)
	}
	return nil
}
