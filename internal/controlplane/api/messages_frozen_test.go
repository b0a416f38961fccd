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

// updateFrozen makes the tests rewrite the stored messages. The code of commit c8fad44 wrote them, with
// UPDATE_FROZEN=1 go test ./internal/fleet -run Frozen
var updateFrozen = os.Getenv("UPDATE_FROZEN") != ""

var frozenRemoteError = api.RemoteError{
	Code:          "consensus.NotLeader",
	Message:       "not the leader",
	Help:          "ask the leader",
	LeaderAddress: "127.0.0.1:7402",
}

// frozenMessages are the messages between proxies, servers and operators, by the name of the stored file. The full
// messages set every field; the messages named short or empty omit the optional ones.
var frozenMessages = map[string]any{
	"founding": api.BootstrapRequest{
		Fleet:            "north",
		Epoch:            3,
		MaxDrift:         .001,
		MaxLifetimeNanos: 10e9,
		ServerIDs:        []uint64{1, 2, 3},
		ServerID:         2,
	},
	"problem": frozenRemoteError,
	"status": api.ServerStatus{
		Name:               "s1",
		Fleet:              "north",
		ID:                 1,
		Epoch:              3,
		Role:               "StateLeader",
		Leader:             "127.0.0.1:7402",
		LeaderName:         "s2",
		Term:               4,
		Commit:             5,
		Applied:            6,
		UnconfirmedServers: []uint64{3},
		RespondingVoters:   2,
		Voters:             3,
		ConfigVersion:      7,
		QuotasUnset:        true,
		Quotas: []api.QuotaUsage{
			{Name: "attempts", Limit: 1000, Burst: 100, Granted: 250.5, GrantedBurst: 12.25},
		},
		Fault:    frozenRemoteError,
		Counters: map[string]uint64{"asks": 8},
	},
	"counted": api.QuotaUsage{Name: "attempts", Limit: 1000, Burst: 100, Granted: 250.5, GrantedBurst: 12.25},
	"policy_report": api.PolicyReport{
		Fleet:         "north",
		Proxy:         "p1",
		Sequence:      9,
		Current:       rollout.Version{Generation: 1, Epoch: 2, Hash: "ab"},
		Rejected:      rollout.Version{Generation: 1, Epoch: 3, Hash: "cd"},
		Good:          90,
		Bad:           10,
		AcceptsChunks: true,
		MaxChunkBytes: 4096,
	},
	"policy_report_short": api.PolicyReport{
		Fleet:    "north",
		Proxy:    "p1",
		Sequence: 9,
		Current:  rollout.Version{Generation: 1, Epoch: 2, Hash: "ab"},
		Good:     90,
		Bad:      10,
	},
	"policy_reply": api.PolicyReply{
		Fleet:   "north",
		Target:  rollout.Version{Generation: 1, Epoch: 2, Hash: "ab"},
		Text:    []byte("{}"),
		Chunked: true,
		Chunks:  [][]byte{{1}, {2, 3}},
	},
	"policy_reply_short": api.PolicyReply{
		Fleet:  "north",
		Target: rollout.Version{Generation: 1, Epoch: 2, Hash: "ab"},
	},
	"pieces_request": api.ChunksRequest{
		Fleet: "north",
		Proxy: "p1",
		Root:  "ab",
		Names: [][]byte{{1, 2}, {3, 4}},
	},
	"pieces_reply":       api.ChunksReply{Chunks: [][]byte{{1}, {2, 3}}, Missing: 1, RetryAfterNanos: 2e9},
	"pieces_reply_empty": api.ChunksReply{},
	"policy_status": api.PolicyStatus{
		Policy: store.Status{
			Active:    rollout.Version{Generation: 1, Epoch: 2, Hash: "ab"},
			Candidate: rollout.Version{Generation: 1, Epoch: 3, Hash: "cd"},
			Head:      rollout.Version{Generation: 1, Epoch: 4, Hash: "ef"},
			Stopped: &store.RolloutResult{
				Generation: 1,
				Epoch:      3,
				Completed:  true,
				Reason:     "worse",
				Advice:     "mend it",
				ProxyCount: 5,
			},
			Batch:  []store.Change{{Namespace: "alpha", Number: 2, Author: "a"}},
			Queued: []store.Change{{Namespace: "beta", Number: 3, Author: "b"}},
			FailedChanges: []store.FailedChange{
				{
					Change:      store.Change{Namespace: "gamma", Number: 4, Author: "c"},
					MergeNumber: 6,
					Reason:      "worse",
					Advice:      "mend it",
				},
			},
			WithheldFiles: []store.WithheldFile{
				{
					Namespace:    "delta",
					Submitted:    5,
					Active:       4,
					Author:       "d",
					RemovedRules: []string{"cut"},
					Reason:       "clash",
					Advice:       "agree",
				},
			},
			Conflicts:      []string{"conflict"},
			RetainedEpochs: []uint64{1, 2},
			ProxyCount:     5,
		},
		IsLeader:         true,
		RolloutState:     "rolling",
		ProxyCount:       6,
		Updated:          3,
		Rejected:         1,
		Behind:           []string{"p2"},
		BehindCount:      1,
		LegacyCount:      2,
		Regression:       "worse",
		RegressionAdvice: "go back",
	},
	"order_charter": store.Command{SetDeclaration: &store.SetDeclaration{Text: "version = 1\n", Author: "a"}},
	"order_offer":   store.Command{SubmitFile: &store.SubmitFile{Text: "version = 1\n", Author: "a"}},
	"order_back":    store.Command{Rollback: &store.Rollback{Epoch: 2, Author: "a"}},
	"order_judge": store.Command{
		RolloutResult: &store.RolloutResult{
			Generation: 1,
			Epoch:      3,
			Completed:  true,
			Reason:     "worse",
			Advice:     "mend it",
			ProxyCount: 5,
		},
	},
}

// Messages must be encoded and decoded as before: proxies and servers of two releases run in one fleet.
func TestFrozenMessagesKeepTheirBytes(t *testing.T) {
	for name, want := range frozenMessages {
		path := filepath.Join("testdata", "wire", name+".cbor")
		sent := httptest.NewRecorder()
		api.WriteReply(sent, 200, want)
		if updateFrozen {
			if err := os.WriteFile(path, sent.Body.Bytes(), 0o644); err != nil {
				t.Fatalf("rewriting a stored message: %v", err)
			}
		}
		stored, err := os.ReadFile(path)
		if err != nil {
			t.Fatalf("reading a stored message: %v", err)
		}
		if !bytes.Equal(sent.Body.Bytes(), stored) {
			t.Errorf("WriteReply(message %s) wrote %x, want the stored bytes %x", name, sent.Body.Bytes(), stored)
		}
		got := reflect.New(reflect.TypeOf(want))
		if err := api.DecodeBody(bytes.NewReader(stored), got.Interface()); err != nil {
			t.Errorf("DecodeBody(stored message %s) = error %v, want nil", name, err)
		}
		if !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("DecodeBody(stored message %s) decoded %+v, want %+v", name, got.Elem().Interface(), want)
		}
	}
}

// The status message must keep the field names that it had on the wire in commit c8fad44.
func TestFrozenStatusNamesItsFields(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "wire", "status.cbor"))
	if err != nil {
		t.Fatalf("reading the stored status message: %v", err)
	}
	var fields map[string]any
	if err := cbor.Unmarshal(stored, &fields); err != nil {
		t.Fatalf("decoding the stored status message into a map: %v", err)
	}
	for _, name := range []string{"Name", "Fleet", "ID", "Epoch", "Role", "Leader", "LeaderName", "Term", "Commit",
		"Applied", "Silent", "Heard", "Voters",
		"Version", "Unset", "Budgets", "Trouble", "Counts"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("the stored status message has no field %q, want it", name)
		}
	}
}
