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
		t.Fatalf("withheld %v, conflicts %v", out.Withheld, out.Conflicts)
	}
	for _, test := range []struct {
		request      route.Request
		route        string
		deadline     string
		maxStaleness string
		blocks       int
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
		if err != nil || e.Route == nil || e.Route.Name != test.route || e.Reasons[0].Rule.Name != test.route {
			t.Errorf("%+v: %+v %v", test.request, e, err)
			continue
		}
		if len(e.Blocks) != test.blocks {
			t.Errorf("%+v: blocks %+v", test.request, e.Blocks)
		}
		if test.deadline != "" && e.Class.Deadline.Value.String() != test.deadline {
			t.Errorf("%+v: deadline %v", test.request, e.Class.Deadline)
		}
		maxStaleness := ""
		if e.Staleness != nil {
			maxStaleness = e.Staleness.MaxLevel.Value
		}
		if maxStaleness != test.maxStaleness {
			t.Errorf("%+v: staleness %+v", test.request, e.Staleness)
		}
	}
	e, _ := out.Policy.Explain(&route.Request{Host: "else.org", Path: "/"})
	if e.Verdict != route.UnknownHost || e.Route != nil {
		t.Errorf("a host of nobody: %+v", e)
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
		t.Fatal(out.Withheld)
	}
	class := out.Policy.Classes[0]
	owner := Source{"booking-desks", 3, "class booking"}
	delegator := Source{"dispatch", 7, "class booking"}
	ownShare := []Source{{"booking-desks", 3, "budget attempts"}}
	for name, test := range map[string]struct{ got, want any }{
		"latency objective: both set it": {
			class.LatencyObjective, &Value[time.Duration]{800 * time.Millisecond, []Source{owner, delegator}},
		},
		"deadline: the strictest":    {class.Deadline, &Value[time.Duration]{4 * time.Second, []Source{delegator}}},
		"effect: unsafe":             {class.Effect, &Value[string]{"unsafe", []Source{delegator}}},
		"priority weight: the owner": {class.PriorityWeight, &Value[float64]{4, []Source{owner}}},
		"late fraction: who sets it": {class.LateFraction, &Value[float64]{0.5, []Source{delegator}}},
		"share": {out.Policy.Shares[0], PolicyShare{
			Quota:     "attempts",
			Limit:     12000,
			Namespace: "booking-desks",
			Min:       &Value[int64]{1200, ownShare},
			Cap:       &Value[int64]{3000, []Source{{"dispatch", 7, "budget attempts booking-desks"}}},
			Weight:    &Value[float64]{1, ownShare},
		}},
	} {
		if !reflect.DeepEqual(test.got, test.want) {
			t.Errorf("%s: %+v, want %+v", name, test.got, test.want)
		}
	}
}

func TestQuotaShares(t *testing.T) {
	example := newExampleFleet(t)
	policy := Merge(example.declaration, nil, example.files()).Policy
	pool, err := processquota.NewPool(
		processquota.PoolSettings{Total: 12000, Recall: time.Second, Lend: 0.5}, policy.QuotaShares("attempts"))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]processquota.Share{
		"dispatch":      {Min: 6000, Weight: 3},
		"settlement":    {Min: 2400, Cap: 6000, Weight: 1},
		"booking-desks": {Min: 1200, Cap: 3000, Weight: 1},
	}
	for name, use := range pool.Usage(0) {
		if use.Share != want[name] {
			t.Errorf("%s: %+v, want %+v", name, use.Share, want[name])
		}
	}
}

func TestPolicyHasOneEncoding(t *testing.T) {
	example := newExampleFleet(t)
	policy := Merge(example.declaration, nil, example.files()).Policy
	text := string(policy.Encode())
	decoded, err := Decode([]byte(text))
	if err != nil || string(decoded.Encode()) != text || decoded.Hash() != policy.Hash() {
		t.Fatalf("decoded: %v", err)
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
			t.Errorf("%.80s was decoded", invalid)
		}
	}
}

// frozenPolicy is what commit c8fad44 stores and sends for the example. It was written at that commit, with
// UPDATE_FROZEN=1, and must never be written again.
const frozenPolicy = "testdata/example.json"

// The policy of the example keeps the encoding, the hash and the tree that commit c8fad44 gives it.
func TestFrozenPolicyKeepsItsBytes(t *testing.T) {
	example := newExampleFleet(t)
	out := Merge(example.declaration, nil, example.files())
	text := out.Policy.Encode()
	if os.Getenv("UPDATE_FROZEN") != "" {
		if err := os.WriteFile(frozenPolicy, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	frozen, err := os.ReadFile(frozenPolicy)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, frozen) {
		t.Errorf("it is written\n%s, was\n%s", text, frozen)
	}
	decoded, err := Decode(frozen)
	if err != nil {
		t.Fatal(err)
	}
	const wantHash = "cc86c7aed4099201fea23407db5a523bef087968c85a4f1e2fd0258bebad110d"
	if got := decoded.Hash(); got != wantHash || out.Hash != got {
		t.Errorf("hash %s, %s", got, out.Hash)
	}
	tree := mustTree(t, decoded)
	const wantRoot = "bd98ea1026e3e53f4c01649528b894b01abb0745c71b2c65dc61978f3406d895"
	if got := tree.Root().String(); got != wantRoot {
		t.Errorf("root %s", got)
	}
	again, err := FromTree(tree)
	if err != nil || !bytes.Equal(again.Encode(), frozen) {
		t.Errorf("from its tree: %v, %s", err, again.Encode())
	}
}

// wantPrefix checks the path of a request.
func wantPrefix(t *testing.T, request *route.Request, prefix string) {
	t.Helper()
	if request == nil || !strings.HasPrefix(request.Path, prefix) {
		t.Errorf("the request is %+v, want a path under %s", request, prefix)
	}
}
