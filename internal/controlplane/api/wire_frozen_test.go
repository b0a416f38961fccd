package api_test

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

// updateFrozen has the tests write their kept bytes. The kept ones were written by the program of c8fad44:
// UPDATE_FROZEN=1 go test ./internal/fleet -run Frozen
var updateFrozen = os.Getenv("UPDATE_FROZEN") != ""

var frozenProblem = api.Problem{Name: "consensus.NotLeader", Text: "not the leader", Help: "ask the leader", Leader: "127.0.0.1:7402"}

// frozenMessages has each message between proxies, stewards and operators, with no field at its zero value.
var frozenMessages = map[string]any{
	"founding": api.Founding{Fleet: "north", Epoch: 3, Drift: .001, Longest: 10e9, Members: []uint64{1, 2, 3}, ID: 2},
	"problem":  frozenProblem,
	"status": api.Status{Name: "s1", Fleet: "north", ID: 1, Epoch: 3, Role: "StateLeader", Leader: "127.0.0.1:7402", LeaderName: "s2", Term: 4,
		Commit: 5, Applied: 6, Silent: []uint64{3}, Heard: 2, Voters: 3, Version: 7, Unset: true,
		Budgets: []api.Counted{{Name: "attempts", Whole: 1000, Burst: 100, Granted: 250.5, BurstsHeld: 12.25}},
		Trouble: frozenProblem, Counts: map[string]uint64{"asks": 8}},
	"counted": api.Counted{Name: "attempts", Whole: 1000, Burst: 100, Granted: 250.5, BurstsHeld: 12.25},
	"policy_report": api.PolicyReport{Fleet: "north", Proxy: "p1", Number: 9, Has: rollout.Offer{Order: 1, Epoch: 2, Hash: "ab"},
		Refused: rollout.Offer{Order: 1, Epoch: 3, Hash: "cd"}, Good: 90, Bad: 10, Pieces: true, Most: 4096},
	"policy_report_short": api.PolicyReport{Fleet: "north", Proxy: "p1", Number: 9, Has: rollout.Offer{Order: 1, Epoch: 2, Hash: "ab"}, Good: 90, Bad: 10},
	"policy_reply":        api.PolicyReply{Fleet: "north", Offer: rollout.Offer{Order: 1, Epoch: 2, Hash: "ab"}, Text: []byte("{}"), InPieces: true, Pieces: [][]byte{{1}, {2, 3}}},
	"policy_reply_short":  api.PolicyReply{Fleet: "north", Offer: rollout.Offer{Order: 1, Epoch: 2, Hash: "ab"}},
	"pieces_request":      api.PiecesRequest{Fleet: "north", Proxy: "p1", Root: "ab", Names: [][]byte{{1, 2}, {3, 4}}},
	"pieces_reply":        api.PiecesReply{Pieces: [][]byte{{1}, {2, 3}}, Lacks: 1, Later: 2e9},
	"pieces_reply_empty":  api.PiecesReply{},
	"policy_status": api.PolicyStatus{Standing: store.Standing{Base: rollout.Offer{Order: 1, Epoch: 2, Hash: "ab"},
		Next: rollout.Offer{Order: 1, Epoch: 3, Hash: "cd"}, Head: rollout.Offer{Order: 1, Epoch: 4, Hash: "ef"},
		Stopped:  &store.Judge{Order: 1, Epoch: 3, Done: true, Why: "worse", Help: "mend it", Proxies: 5},
		Train:    []store.Change{{Namespace: "alpha", Number: 2, By: "a"}},
		Gathered: []store.Change{{Namespace: "beta", Number: 3, By: "b"}},
		Faults:   []store.Fault{{Change: store.Change{Namespace: "gamma", Number: 4, By: "c"}, At: 6, Why: "worse", Help: "mend it"}},
		Held:     []store.Held{{Namespace: "delta", Offered: 5, Holds: 4, By: "d", Cut: []string{"cut"}, Why: "clash", Help: "agree"}},
		Told:     []string{"conflict"}, Kept: []uint64{1, 2}, Proxies: 5},
		Leads: true, State: "rolling", Proxies: 6, Have: 3, Refused: 1, Behind: []string{"p2"}, Late: 1, Older: 2, Worse: "worse", WorseHelp: "go back"},
	"order_charter": store.Command{Charter: &store.Charter{Text: "version = 1\n", By: "a"}},
	"order_offer":   store.Command{Offer: &store.Offer{Text: "version = 1\n", By: "a"}},
	"order_back":    store.Command{Back: &store.Back{Epoch: 2, By: "a"}},
	"order_judge":   store.Command{Judge: &store.Judge{Order: 1, Epoch: 3, Done: true, Why: "worse", Help: "mend it", Proxies: 5}},
}

// A release that writes or reads a message otherwise can't be in one fleet with the release before.
func TestFrozenMessagesKeepTheirBytes(t *testing.T) {
	for name, want := range frozenMessages {
		path := filepath.Join("testdata", "wire", name+".cbor")
		sent := httptest.NewRecorder()
		api.Write(sent, 200, want)
		if updateFrozen {
			if err := os.WriteFile(path, sent.Body.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		kept, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(sent.Body.Bytes(), kept) {
			t.Errorf("%s is sent as %x, was %x", name, sent.Body.Bytes(), kept)
		}
		got := reflect.New(reflect.TypeOf(want))
		if err := api.Read(bytes.NewReader(kept), got.Interface()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: read %+v, want %+v", name, got.Elem().Interface(), want)
		}
	}
}

// Fields stand on the wire under the names that they had in c8fad44.
func TestFrozenStatusNamesItsFields(t *testing.T) {
	kept, err := os.ReadFile(filepath.Join("testdata", "wire", "status.cbor"))
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := cbor.Unmarshal(kept, &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"Name", "Fleet", "ID", "Epoch", "Role", "Leader", "LeaderName", "Term", "Commit", "Applied", "Silent", "Heard", "Voters",
		"Version", "Unset", "Budgets", "Trouble", "Counts"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("%s is missing", name)
		}
	}
}
