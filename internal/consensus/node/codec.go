package node

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lapisspread/internal/consensus"
)

// maxBatchMessages is the maximum number of messages in one request.
const maxBatchMessages = 64

// wireMessage is the encoding of a consensus.Message on the network: CBOR (RFC 8949), with the Raft library's message
// as a protobuf byte string.
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

// encodeMessage returns the CBOR of a wireMessage.
func encodeMessage(m consensus.Message) (cbor.RawMessage, error) {
	wire := wireMessage{
		Fleet:         m.Fleet,
		Epoch:         m.Epoch,
		From:          m.From,
		To:            m.To,
		SenderVersion: m.SenderVersion,
		Kind:          m.Kind,
		KnownVersion:  m.KnownVersion,
		QueryNonce:    m.QueryNonce,
		DigestIndex:   m.DigestIndex,
		Digest:        m.Digest,
	}
	if m.Raft != nil {
		var err error
		if wire.Raft, err = proto.Marshal(m.Raft); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(wire)
}

// decodeMessages decodes the body of a request. It returns an error for a malformed body, or one with more than
// maxBatchMessages messages.
func decodeMessages(body []byte) ([]consensus.Message, error) {
	var received []wireMessage
	if err := cbor.Unmarshal(body, &received); err != nil {
		return nil, err
	}
	if len(received) > maxBatchMessages {
		return nil, fmt.Errorf("%d messages", len(received))
	}
	messages := make([]consensus.Message, len(received))
	for i := range received {
		message, err := received[i].decode()
		if err != nil {
			return nil, err
		}
		messages[i] = message
	}
	return messages, nil
}

func (w *wireMessage) decode() (consensus.Message, error) {
	m := consensus.Message{
		Fleet:         w.Fleet,
		Epoch:         w.Epoch,
		From:          w.From,
		To:            w.To,
		SenderVersion: w.SenderVersion,
		Kind:          w.Kind,
		KnownVersion:  w.KnownVersion,
		QueryNonce:    w.QueryNonce,
		DigestIndex:   w.DigestIndex,
		Digest:        w.Digest,
	}
	if w.Kind == consensus.MessageRaft {
		m.Raft = &pb.Message{}
		if err := proto.Unmarshal(w.Raft, m.Raft); err != nil {
			return consensus.Message{}, err
		}
	}
	return m, nil
}
