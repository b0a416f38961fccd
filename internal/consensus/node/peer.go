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

	"lapisspread/internal/consensus"
)

const (
	// batchSoftBytes is the size from which on no more messages are added to a request.
	batchSoftBytes = 512 << 10
	// batchOverheadBytes is an upper bound of the size of the CBOR array header before the messages.
	batchOverheadBytes = 16
	// requestTimeout limits the time of a request without a snapshot, snapshotTimeout that of one with a snapshot.
	requestTimeout  = 3 * time.Second
	snapshotTimeout = 30 * time.Second
	// maxReplyBytes is how much of a reply's body is read, so that its connection can be reused.
	maxReplyBytes = 4096
)

var errMessageTooLarge = errors.New("the message can't be encoded or is larger than a request may be")

// peer sends messages to one other server, one request at a time.
type peer struct {
	node        *Node
	id          uint64
	messagesURL string
	queue       chan consensus.Message
	retry       *backoff.ExponentialBackOff
}

func newPeer(n *Node, id uint64, address string) *peer {
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     n.config.TickInterval / 2,
		RandomizationFactor: .5,
		Multiplier:          1.5,
		MaxInterval:         5 * n.config.TickInterval,
	}
	retry.Reset()
	return &peer{
		node:        n,
		id:          id,
		messagesURL: address + messagesPath,
		queue:       make(chan consensus.Message, n.config.QueueLength),
		retry:       retry,
	}
}

// batch holds the encoded messages of one request.
type batch struct {
	messages    []cbor.RawMessage
	bytes       int // total size of messages
	hasSnapshot bool
}

// run sends batches until the Node is closed.
func (p *peer) run() {
	for {
		b, ok := p.nextBatch()
		if !ok {
			return
		}
		if len(b.messages) == 0 {
			continue
		}
		err := p.post(b)
		if p.node.ctx.Err() != nil {
			return
		}
		if err == nil {
			p.node.metrics.sent.Add(uint64(len(b.messages)))
			p.retry.Reset()
		} else {
			p.node.metrics.dropped.Add(uint64(len(b.messages)))
		}
		if err != nil || b.hasSnapshot {
			p.reportDelivery(b.hasSnapshot, err)
		}
		if err != nil && !p.backOff(err) {
			return
		}
	}
}

// nextBatch waits for a message, and adds the other queued messages up to the limits of a batch. ok is false once the
// Node is closed.
func (p *peer) nextBatch() (b batch, ok bool) {
	select {
	case m := <-p.queue:
		p.addTo(&b, m)
	case <-p.node.ctx.Done():
		return batch{}, false
	}
	for len(b.messages) < maxBatchMessages && b.bytes < batchSoftBytes && len(p.queue) > 0 {
		p.addTo(&b, <-p.queue)
	}
	return b, true
}

// addTo adds a message to a batch, or drops it if it is too large for a request.
func (p *peer) addTo(b *batch, m consensus.Message) {
	encoded, err := encodeMessage(m)
	if err != nil || len(encoded) > p.node.config.MaxBodyBytes-batchSoftBytes-batchOverheadBytes {
		p.node.metrics.dropped.Add(1)
		p.reportDelivery(isSnapshot(m), errMessageTooLarge)
		return
	}
	b.messages = append(b.messages, encoded)
	b.bytes += len(encoded)
	b.hasSnapshot = b.hasSnapshot || isSnapshot(m)
}

// backOff waits after a request that failed with err, and drops the messages queued meanwhile, because Raft will send
// newer ones. It returns false once the Node is closed.
func (p *peer) backOff(err error) bool {
	wait := time.NewTimer(p.retry.NextBackOff())
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-p.node.ctx.Done():
		return false
	}
	for range len(p.queue) {
		if isSnapshot(<-p.queue) {
			p.reportDelivery(true, err)
		}
		p.node.metrics.dropped.Add(1)
	}
	return true
}

// reportDelivery reports to the Core whether a request to the peer, with or without a snapshot, was delivered.
func (p *peer) reportDelivery(snapshot bool, err error) {
	_ = p.node.onRaftLoop(p.node.ctx, func() { // a closed Node needs no report
		if err != nil {
			p.node.core.ReportUnreachable(p.id)
		}
		if snapshot {
			p.node.core.ReportSnapshot(p.id, err == nil)
		}
	})
}

// post sends a batch and waits until the peer has accepted it.
func (p *peer) post(b batch) error {
	body, err := cbor.Marshal(b.messages)
	if err != nil {
		return err
	}
	timeout := requestTimeout
	if b.hasSnapshot {
		timeout = snapshotTimeout
	}
	ctx, cancel := context.WithTimeout(p.node.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.messagesURL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/cbor")
	p.node.metrics.sentBytes.Add(uint64(len(body)))
	response, err := p.node.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes)) // so that the connection can be reused
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("server %d responded with status %s, want 204", p.id, response.Status)
	}
	return nil
}
