package node

import (
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lapisspread/internal/consensus"
)

// frozenMessages is a file of messages between servers as the code of commit c8fad44 encodes them: the body of one
// request per line, in hexadecimal. It was written with
//
//	FREEZE_MESSAGES=1 go test ./internal/consensus/node -run TestFrozenMessages
//
// It must never be regenerated, since it represents the messages of servers that run an older version.
const frozenMessages = "testdata/c8fad44.messages"

// frozenRequests returns the messages of each request in the file frozenMessages.
func frozenRequests() [][]consensus.Message {
	message := consensus.Message{
		Fleet:         "north",
		Epoch:         7,
		From:          1,
		To:            2,
		SenderVersion: consensus.StoreVersion{StoreID: 11, Incarnation: 12, Nonce: 1 << 63, WriteSeq: 14},
	}

	query := message
	query.Kind = consensus.MessageVersionQuery

	reply := message
	reply.Kind = consensus.MessageVersionReply
	reply.KnownVersion = consensus.StoreVersion{StoreID: 21, Incarnation: 22, Nonce: 23, WriteSeq: 24}
	reply.QueryNonce = 99

	mismatch := message
	mismatch.Kind = consensus.MessageDigestMismatch
	mismatch.DigestIndex = 5
	mismatch.Digest = 0xfedcba9876543210

	vote := message
	vote.Kind = consensus.MessageRaft
	vote.Raft = raftMessage(pb.MsgVote)
	vote.Raft.LogTerm = new(uint64(2))
	vote.Raft.Index = new(uint64(9))

	entries := message
	entries.Kind = consensus.MessageRaft
	entries.DigestIndex = 9
	entries.Digest = 77
	entries.Raft = raftMessage(pb.MsgApp)
	entries.Raft.LogTerm = new(uint64(2))
	entries.Raft.Index = new(uint64(9))
	entries.Raft.Commit = new(uint64(8))
	entries.Raft.Entries = []*pb.Entry{{
		Type:  pb.EntryNormal.Enum(),
		Term:  new(uint64(3)),
		Index: new(uint64(10)),
		Data:  []byte("command"),
	}}

	snapshot := message
	snapshot.Kind = consensus.MessageRaft
	snapshot.DigestIndex = 8
	snapshot.Digest = 66
	snapshot.Raft = raftMessage(pb.MsgSnap)
	snapshot.Raft.Snapshot = &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{
		Index:     new(uint64(8)),
		Term:      new(uint64(2)),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}},
	}}

	return [][]consensus.Message{{query}, {reply}, {mismatch}, {vote, entries}, {snapshot}}
}

// raftMessage returns a message of the Raft library from server 1 to server 2 in term 3.
func raftMessage(kind pb.MessageType) *pb.Message {
	return &pb.Message{Type: kind.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(uint64(3))}
}

// encodeRequest returns the body of a request with the given messages.
func encodeRequest(t *testing.T, messages []consensus.Message) []byte {
	t.Helper()
	var body []cbor.RawMessage
	for _, m := range messages {
		b, err := encodeMessage(m)
		if err != nil {
			t.Fatalf("encodeMessage(%+v) returned %v, want no error", m, err)
		}
		body = append(body, b)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		t.Fatalf("encoding a request of %d messages returned %v, want no error", len(messages), err)
	}
	return data
}

func writeFrozenMessages(t *testing.T) {
	t.Helper()
	var lines []byte
	for _, messages := range frozenRequests() {
		lines = append(hex.AppendEncode(lines, encodeRequest(t, messages)), '\n')
	}
	if err := os.MkdirAll("testdata", 0o700); err != nil {
		t.Fatalf("making directory testdata: %v", err)
	}
	if err := os.WriteFile(frozenMessages, lines, 0o600); err != nil {
		t.Fatalf("writing %s: %v", frozenMessages, err)
	}
}

func compareMessages(t *testing.T, got, want consensus.Message) {
	t.Helper()
	if !proto.Equal(got.Raft, want.Raft) {
		t.Errorf("decoded message has the Raft message %v, want %v", got.Raft, want.Raft)
	}
	got.Raft = want.Raft
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded message is %+v, want %+v", got, want)
	}
}

// Frozen messages are decoded to the values that were encoded, and encoding those again gives the same bytes.
func TestFrozenMessages(t *testing.T) {
	if os.Getenv("FREEZE_MESSAGES") != "" {
		writeFrozenMessages(t)
	}
	data, err := os.ReadFile(frozenMessages)
	if err != nil {
		t.Fatalf("reading %s: %v", frozenMessages, err)
	}
	lines := strings.Fields(string(data))
	requests := frozenRequests()
	if len(lines) != len(requests) {
		t.Fatalf("%s has %d lines, want %d, one per request", frozenMessages, len(lines), len(requests))
	}
	for i, want := range requests {
		body, err := hex.DecodeString(lines[i])
		if err != nil {
			t.Fatalf("decoding the hexadecimal of request %d: %v", i, err)
		}
		got, err := decodeMessages(body)
		if err != nil || len(got) != len(want) {
			t.Fatalf("decodeMessages(request %d) returned %d messages and error %v, want %d messages and no error", i,
				len(got), err, len(want))
		}
		for j := range want {
			compareMessages(t, got[j], want[j])
		}
		if encoded := hex.EncodeToString(encodeRequest(t, want)); encoded != lines[i] {
			t.Errorf("request %d is encoded as %s, want %s", i, encoded, lines[i])
		}
	}
}
