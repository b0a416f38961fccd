package consensus

import pb "go.etcd.io/raft/v3/raftpb"

// MessageKind is the type of a Message.
type MessageKind uint8

// The kinds of messages. The numbers are part of the protocol between servers.
const (
	// MessageRaft carries a message of the Raft library.
	MessageRaft MessageKind = iota + 1
	// MessageVersionQuery asks which version of the sender's store the receiver remembers.
	MessageVersionQuery
	// MessageVersionReply answers a MessageVersionQuery, or any message whose SenderVersion is older than the version
	// that the receiver remembers.
	MessageVersionReply
	// MessageDigestMismatch is sent by a leader to a server that has acknowledged an entry which differs from the
	// leader's.
	MessageDigestMismatch
)

// Message is sent from one server to another. It may be lost, delayed, duplicated or reordered.
type Message struct {
	// Fleet and Epoch are those of the sender's Config.
	Fleet string
	Epoch uint64
	// From and To are the IDs of the sender and the receiver.
	From uint64
	To   uint64
	// SenderVersion is the version of the sender's store.
	SenderVersion StoreVersion
	Kind          MessageKind
	// Raft is set for MessageRaft.
	Raft *pb.Message
	// KnownVersion is, in a MessageVersionReply, the version of the receiver's store that the sender remembers.
	KnownVersion StoreVersion
	// QueryNonce is, in a MessageVersionReply, the nonce in the SenderVersion of the message that it answers.
	QueryNonce uint64
	// DigestIndex is the index of the entry whose digest the message carries; 0 if it carries none.
	DigestIndex uint64
	// Digest is the sender's digest of the log up to DigestIndex.
	Digest uint64
}
