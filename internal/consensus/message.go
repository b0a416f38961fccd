package consensus

import pb "go.etcd.io/raft/v3/raftpb"

// MessageKind tells what a Message is for.
type MessageKind uint8

// The kinds of messages. The numbers are part of the protocol between servers.
const (
	// MessageRaft carries a message of the Raft library.
	MessageRaft MessageKind = iota + 1
	// MessageVersionQuery asks which version of the sender's store the receiver remembers.
	MessageVersionQuery
	// MessageVersionReply answers a MessageVersionQuery, or any message of a store that is behind.
	MessageVersionReply
	// MessageDigestMismatch reports that the receiver has acknowledged an entry that is not the leader's.
	MessageDigestMismatch
)

// Message goes from one server to another. It may be lost, late, repeated and out of order.
type Message struct {
	Fleet         string
	Epoch         uint64
	From          uint64
	To            uint64
	SenderVersion StoreVersion
	Kind          MessageKind
	// Raft is set for MessageRaft.
	Raft *pb.Message
	// KnownVersion is what the sender of a MessageVersionReply remembers of the receiver.
	KnownVersion StoreVersion
	// QueryNonce of a MessageVersionReply is the nonce of the start that it answers.
	QueryNonce uint64
	// DigestIndex is an entry that the message rests on; 0 is none.
	DigestIndex uint64
	// Digest is the sender's digest of the log up to DigestIndex.
	Digest uint64
}
