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

// frozenMessages are messages between stewards as the code of commit c8fad44 writes them, in hexadecimal, one request a line; made with
//
//	FREEZE_MESSAGES=1 go test ./internal/consensus/node -run TestFrozenMessages
//
// They must never be written again: they stand for the messages of stewards that run an older program.
const frozenMessages = "testdata/c8fad44.messages"

func frozenRequests() [][]consensus.Message {
	stamp := consensus.StoreVersion{StoreID: 11, Incarnation: 12, Nonce: 1 << 63, WriteSeq: 14}
	message := consensus.Message{Fleet: "north", Epoch: 7, From: 1, To: 2, SenderVersion: stamp}
	claim, answer, difference, vote, entries, snapshot := message, message, message, message, message, message
	claim.Kind = consensus.MessageVersionQuery
	answer.Kind, answer.KnownVersion, answer.QueryNonce = consensus.MessageVersionReply, consensus.StoreVersion{StoreID: 21, Incarnation: 22, Nonce: 23, WriteSeq: 24}, 99
	difference.Kind, difference.DigestIndex, difference.Digest = consensus.MessageDigestMismatch, 5, 0xfedcba9876543210
	vote.Kind = consensus.MessageRaft
	vote.Raft = &pb.Message{Type: pb.MsgVote.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(uint64(3)), LogTerm: new(uint64(2)), Index: new(uint64(9))}
	entries.Kind, entries.DigestIndex, entries.Digest = consensus.MessageRaft, 9, 77
	entries.Raft = &pb.Message{Type: pb.MsgApp.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(uint64(3)), LogTerm: new(uint64(2)), Index: new(uint64(9)),
		Commit: new(uint64(8)), Entries: []*pb.Entry{{Type: pb.EntryNormal.Enum(), Term: new(uint64(3)), Index: new(uint64(10)), Data: []byte("command")}}}
	snapshot.Kind, snapshot.DigestIndex, snapshot.Digest = consensus.MessageRaft, 8, 66
	snapshot.Raft = &pb.Message{Type: pb.MsgSnap.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(uint64(3)), Snapshot: &pb.Snapshot{Data: []byte("state"),
		Metadata: &pb.SnapshotMetadata{Index: new(uint64(8)), Term: new(uint64(2)), ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}}}}
	return [][]consensus.Message{{claim}, {answer}, {difference}, {vote, entries}, {snapshot}}
}

func encodeRequest(t *testing.T, messages []consensus.Message) []byte {
	t.Helper()
	var body []cbor.RawMessage
	for _, m := range messages {
		b, err := encodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		body = append(body, b)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestFrozenMessages(t *testing.T) {
	if os.Getenv("FREEZE_MESSAGES") != "" {
		var lines []byte
		for _, messages := range frozenRequests() {
			lines = append(hex.AppendEncode(lines, encodeRequest(t, messages)), '\n')
		}
		if err := os.MkdirAll("testdata", 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(frozenMessages, lines, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(frozenMessages)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(data))
	requests := frozenRequests()
	if len(lines) != len(requests) {
		t.Fatalf("%d requests, want %d", len(lines), len(requests))
	}
	for i, want := range requests {
		body, err := hex.DecodeString(lines[i])
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeMessages(body)
		if err != nil || len(got) != len(want) {
			t.Fatalf("request %d: %v, %v", i, got, err)
		}
		for j := range want {
			if !proto.Equal(got[j].Raft, want[j].Raft) {
				t.Errorf("request %d: %v, want %v", i, got[j].Raft, want[j].Raft)
			}
			got[j].Raft = want[j].Raft
			if !reflect.DeepEqual(got[j], want[j]) {
				t.Errorf("request %d: %+v, want %+v", i, got[j], want[j])
			}
		}
		if again := hex.EncodeToString(encodeRequest(t, want)); again != lines[i] {
			t.Errorf("request %d is encoded as %s, want %s", i, again, lines[i])
		}
	}
}
