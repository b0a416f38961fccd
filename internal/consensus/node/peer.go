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
	// batchSoftBytes is the size at which a request takes no more messages.
	batchSoftBytes = 512 << 10
	// batchOverheadBytes is more than the CBOR array around the messages takes.
	batchOverheadBytes = 16
	// requestTimeout bounds a request without a snapshot, snapshotTimeout one with.
	requestTimeout  = 3 * time.Second
	snapshotTimeout = 30 * time.Second
	// maxReplyBytes is what is read of a reply so that its connection can be used again.
	maxReplyBytes = 4096
)

var errMessageTooLarge = errors.New("too large")

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

// batch is the messages of one request.
type batch struct {
	messages    []cbor.RawMessage
	bytes       int
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

// nextBatch waits for a message, and takes what else is queued. ok is false once the Node is closed.
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

// addTo adds a message to a batch, or drops it if no request could carry it.
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

// backOff waits after a request that failed, and drops what was queued meanwhile: Raft has newer messages by then.
// It returns false once the Node is closed.
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

// reportDelivery tells the Core how a delivery has ended.
func (p *peer) reportDelivery(snapshot bool, err error) {
	_ = p.node.onRaftLoop(p.node.ctx, func() { // a closed node needs no report
		if err != nil {
			p.node.core.ReportUnreachable(p.id)
		}
		if snapshot {
			p.node.core.ReportSnapshot(p.id, err == nil)
		}
	})
}

// post sends a batch and waits until the peer has taken it.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes)) // only so that the connection is kept
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("steward %d answers %s", p.id, response.Status)
	}
	return nil
}
