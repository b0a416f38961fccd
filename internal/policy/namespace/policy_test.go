package namespace

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/route"
)

func TestExampleFilesMerge(t *testing.T) {
	example := newExampleFleet(t)
	out := Merge(example.declaration, nil, example.files())
	if len(out.Withheld) != 0 || len(out.Conflicts) != 0 {
		t.Fatalf("Merge of the example files = withheld %v, conflicts %v; want none of either",
			out.Withheld, out.Conflicts)
	}
	for _, test := range []struct {
		request          route.Request
		wantRoute        string
		wantDeadline     string // not checked if empty
		wantMaxStaleness string // empty if the route has no staleness bound
		wantBlocks       int
	}{
		{route.Request{Host: "N1.desks.kigali.example.org:80", Path: "/book/7", Class: "booking"},
			"booking-desks/book", "4s", "ageing", 0},
		{route.Request{Host: "n1.desks.kigali.example.org", Path: "/book/7", Class: "list"},
			"dispatch/desks", "", "", 0},
		{route.Request{Host: "dispatch.kigali.example.org", Path: "/v0/x"}, "dispatch/all", "", "doubtful", 1},
		{route.Request{Host: "pay.kigali.example.org", Path: "/", Class: "driver-payout"},
			"settlement/payouts", "2s", "fresh", 0},
	} {
		e, err := out.Policy.Explain(&test.request)
		if err != nil || e.Route == nil || e.Route.Name != test.wantRoute || e.Reasons[0].Rule.Name != test.wantRoute {
			t.Errorf("Explain(%+v) = %+v, error %v; want route %s, and the same route first in Reasons",
				test.request, e, err, test.wantRoute)
			continue
		}
		if len(e.Blocks) != test.wantBlocks {
			t.Errorf("Explain(%+v) gives the blocks %+v, want %d blocks", test.request, e.Blocks, test.wantBlocks)
		}
		if test.wantDeadline != "" && e.Class.Deadline.Value.String() != test.wantDeadline {
			t.Errorf("Explain(%+v) gives deadline %v, want %s", test.request, e.Class.Deadline.Value, test.wantDeadline)
		}
		maxStaleness := ""
		if e.Staleness != nil {
			maxStaleness = e.Staleness.MaxLevel.Value
		}
		if maxStaleness != test.wantMaxStaleness {
			t.Errorf("Explain(%+v) gives maximum staleness %q, want %q",
				test.request, maxStaleness, test.wantMaxStaleness)
		}
	}
	e, _ := out.Policy.Explain(&route.Request{Host: "else.org", Path: "/"})
	if e.Verdict != route.UnknownHost || e.Route != nil {
		t.Errorf("Explain(host else.org, which no route names) = %+v, want verdict %v and no route",
			e, route.UnknownHost)
	}
}

func TestMergeOfEachSetting(t *testing.T) {
	example := newExampleFleet(t)
	out := Merge(example.declaration, nil, []*File{
		example.file("booking-desks", `effect = "unsafe"`, `effect = "safe"`),
		example.file("dispatch",
			`give_up = "4s"`, "give_up = \"4s\"\naim = \"800ms\"\neffect = \"unsafe\"\nlate = 0.5",
			"name = \"all\"\n", "name = \"all\"\nsticky = \"key\"\n"),
	})
	if len(out.Withheld) != 0 {
		t.Fatalf("Merge of the changed example files withholds %v, want nothing withheld", out.Withheld)
	}
	class := out.Policy.Classes[0]
	ownerSource := Source{"booking-desks", 3, "class booking"}
	delegatorSource := Source{"dispatch", 7, "class booking"}
	ownShareSources := []Source{{"booking-desks", 3, "budget attempts"}}
	for name, test := range map[string]struct{ got, want any }{
		"latency objective: equal values name both rules": {
			class.LatencyObjective,
			&Value[time.Duration]{800 * time.Millisecond, []Source{ownerSource, delegatorSource}},
		},
		"deadline: the shortest": {
			class.Deadline, &Value[time.Duration]{4 * time.Second, []Source{delegatorSource}},
		},
		"effect: unsafe is the strictest": {
			class.Effect, &Value[string]{"unsafe", []Source{delegatorSource}},
		},
		"priority weight: the owner's": {
			class.PriorityWeight, &Value[float64]{4, []Source{ownerSource}},
		},
		"late fraction: from the only rule that sets it": {
			class.LateFraction, &Value[float64]{0.5, []Source{delegatorSource}},
		},
		"quota share: minimum and weight from the owner, cap from the delegator": {out.Policy.Shares[0], PolicyShare{
			Quota:     "attempts",
			Limit:     12000,
			Namespace: "booking-desks",
			Min:       &Value[int64]{1200, ownShareSources},
			Cap:       &Value[int64]{3000, []Source{{"dispatch", 7, "budget attempts booking-desks"}}},
			Weight:    &Value[float64]{1, ownShareSources},
		}},
	} {
		if !reflect.DeepEqual(test.got, test.want) {
			got, gotErr := encodeJSON(test.got)
			want, wantErr := encodeJSON(test.want)
			t.Errorf("%s: merged value = %s, want %s (errors of encodeJSON: %v, %v)", name, got, want, gotErr, wantErr)
		}
	}
}

func TestQuotaShares(t *testing.T) {
	example := newExampleFleet(t)
	policy := Merge(example.declaration, nil, example.files()).Policy
	pool, err := processquota.NewPool(
		processquota.PoolSettings{Total: 12000, Recall: time.Second, Lend: 0.5}, policy.QuotaShares("attempts"))
	if err != nil {
		t.Fatalf("processquota.NewPool with the policy's shares: %v", err)
	}
	want := map[string]processquota.Share{
		"dispatch":      {Min: 6000, Weight: 3},
		"settlement":    {Min: 2400, Cap: 6000, Weight: 1},
		"booking-desks": {Min: 1200, Cap: 3000, Weight: 1},
	}
	for name, usage := range pool.Usage(0) {
		if usage.Share != want[name] {
			t.Errorf("Pool.Usage gives namespace %s the quota share %+v, want %+v", name, usage.Share, want[name])
		}
	}
}

func TestPolicyHasOneEncoding(t *testing.T) {
	example := newExampleFleet(t)
	policy := Merge(example.declaration, nil, example.files()).Policy
	text := string(policy.Encode())
	decoded, err := Decode([]byte(text))
	if err != nil || string(decoded.Encode()) != text || decoded.Hash() != policy.Hash() {
		t.Fatalf("Decode(Encode()) = error %v, want a policy with the same encoding and hash", err)
	}
	for _, invalid := range []string{
		"",
		"{}",
		text + " ",
		" " + text,
		replaceEach(t, text, `"form":1`, `"form":2`),
		replaceEach(t, text, `"form":1`, `"form":1,"x":1`),
		replaceEach(t, text, `"weight":9`, `"weight":9.0`),
		replaceEach(t, text, `"path_prefix":"/book"`, `"path_prefix":"book"`),
		replaceEach(t, text, `"weight":9`, `"weight":null`),
	} {
		if _, err := Decode([]byte(invalid)); err == nil {
			t.Errorf("Decode(%.80q...) = no error, want an error: Encode does not produce this text", invalid)
		}
	}
}

// frozenPolicy holds the policy that commit c8fad44 stores and sends for the example. It was written at that commit,
// with UPDATE_FROZEN=1, and must never be written again: it shows that the encoding of policies has not changed since.
const frozenPolicy = "testdata/example.json"

// The policy of the example has the same encoding, hash and tree as at commit c8fad44.
func TestFrozenPolicyKeepsItsBytes(t *testing.T) {
	example := newExampleFleet(t)
	out := Merge(example.declaration, nil, example.files())
	text := out.Policy.Encode()
	if os.Getenv("UPDATE_FROZEN") != "" {
		if err := os.WriteFile(frozenPolicy, text, 0o644); err != nil {
			t.Fatalf("write the frozen policy: %v", err)
		}
	}
	frozen, err := os.ReadFile(frozenPolicy)
	if err != nil {
		t.Fatalf("read the frozen policy: %v", err)
	}
	if !bytes.Equal(text, frozen) {
		t.Errorf("Encode of the example's policy gives\n%s\nwant the bytes of %s:\n%s", text, frozenPolicy, frozen)
	}
	decoded, err := Decode(frozen)
	if err != nil {
		t.Fatalf("Decode of the frozen policy: %v", err)
	}
	const wantHash = "cc86c7aed4099201fea23407db5a523bef087968c85a4f1e2fd0258bebad110d"
	if got := decoded.Hash(); got != wantHash || out.Hash != got {
		t.Errorf("hash of the frozen policy = %s, hash of the merged policy = %s, want both %s",
			got, out.Hash, wantHash)
	}
	tree := mustTree(t, decoded)
	const wantRoot = "bd98ea1026e3e53f4c01649528b894b01abb0745c71b2c65dc61978f3406d895"
	if got := tree.Root().String(); got != wantRoot {
		t.Errorf("root of the frozen policy's tree = %s, want %s", got, wantRoot)
	}
	again, err := FromTree(tree)
	if err != nil || !bytes.Equal(again.Encode(), frozen) {
		t.Errorf("FromTree of the frozen policy's tree = error %v, policy\n%s\nwant\n%s", err, again.Encode(), frozen)
	}
}

// checkPathPrefix checks that the example request of a conflict has a path under a prefix.
func checkPathPrefix(t *testing.T, request *route.Request, prefix string) {
	t.Helper()
	if request == nil || !strings.HasPrefix(request.Path, prefix) {
		t.Errorf("example request of the conflict = %+v, want one with a path under %s", request, prefix)
	}
}
