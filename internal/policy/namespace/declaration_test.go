package namespace

import (
	"errors"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
)

const goodCharter = `version = 1

[[budget]]
name = "attempts"
whole = 1000

[[namespace]]
name = "operations"
owner = "operations of the fleet"
hosts = ["*.example.org"]
budgets = ["*"]
zones = ["*"]
settings = ["route", "class", "budget", "block", "order", "staleness", "service"]

[[namespace]]
name = "dispatch"
owner = "dispatch"

[[namespace]]
name = "settlement"
owner = "settlement"

[[delegation]]
from = "operations"
to = "dispatch"
path_prefixes = ["/api"]
hosts = ["*.kigali.example.org"]
budgets = ["attempts"]
zones = ["1", "2"]
settings = ["route", "class", "budget", "order", "service"]

[[delegation]]
from = "dispatch"
to = "settlement"
hosts = ["pay.kigali.example.org"]
path_prefixes = ["/api/pay"]
classes = ["payout"]
settings = ["route", "class"]
`

func TestCharter(t *testing.T) {
	c, err := ParseDeclaration("charter.toml", []byte(goodCharter))
	if err != nil {
		t.Fatal(err)
	}
	if got := c.depth["settlement"]; got != 2 {
		t.Errorf("settlement stands %d deep, want 2", got)
	}
	if got := c.overlaps(); len(got) != 0 {
		t.Errorf("delegated domains overlap: %v", got)
	}
	in := &Match{Host: "pay.kigali.example.org", Path: "/api/pay/x", Classes: []string{"payout"}}
	for _, other := range []string{"dispatch", "operations"} {
		if !c.delegated("settlement", other, SettingRoute, in) {
			t.Errorf("settlement does not speak under %s", other)
		}
	}
	if c.delegated("settlement", "dispatch", SettingRoute, &Match{Host: "pay.kigali.example.org", PathPrefix: "/api"}) {
		t.Error("settlement speaks for more than it was given")
	}
}

func TestBadCharters(t *testing.T) {
	var circle DelegationCycleError
	var wide DelegationTooWideError
	var unknown UnknownNamespaceError
	for _, k := range []struct {
		from, to, want string
		as             any
	}{
		{`version = 1`, `version = 2`, "charter.toml:1: version: 2", nil},
		{`whole = 1000`, `hole = 1000`, `charter.toml:5: unknown key "budget.hole"`, nil},
		{`whole = 1000`, `whole = "all"`, "charter.toml:5: ", nil},
		{`whole = 1000`, `whole = -1`, "charter.toml:5: budget[0].whole: -1 is negative", nil},
		{`hosts = ["*.example.org"]`, `hosts = ["Example"]`, "charter.toml:7: namespace[0]: hosts", nil},
		{`name = "settlement"`, `name = "dispatch"`, "charter.toml:20: namespace[2].name", nil},
		{`to = "dispatch"`, `to = "nobody"`, `charter.toml:25: delegation[0].to: the charter knows no namespace "nobody"`, &unknown},
		{`hosts = ["*.kigali.example.org"]`, `hosts = ["*.org"]`, "charter.toml:23: delegation[0]: operations delegates to dispatch", &wide},
		{`path_prefixes = ["/api/pay"]`, `path_prefixes = ["/apis"]`, `charter.toml:32: delegation[1]: dispatch delegates to settlement what it does not have: path "/apis"`, &wide},
		{`settings = ["route", "class"]`, `settings = ["route", "block"]`, `what it does not have: setting "block"`, &wide},
		{`classes = ["payout"]`, `zones = ["3"]`, `what it does not have: zone "3"`, &wide},
		{`classes = ["payout"]`, `budgets = ["retries"]`, `there is no budget "retries"`, nil},
		{`from = "operations"`, `from = "settlement"`, "delegations run in a circle: dispatch, settlement", &circle},
		{`to = "settlement"`, `to = "dispatch"`, "delegations run in a circle: dispatch", &circle},
	} {
		text := strings.Replace(goodCharter, k.from, k.to, 1)
		if text == goodCharter {
			t.Fatalf("%q is not in the text", k.from)
		}
		_, err := ParseDeclaration("charter.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%s: %v, want %q", k.to, err, k.want)
			continue
		}
		var file FileError
		if !errors.As(err, &file) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("%s: %T has no place or no advice", k.to, err)
		}
		if k.as != nil && !errors.As(err, k.as) {
			t.Errorf("%s: %v is no %T", k.to, err, k.as)
		}
	}
}

func TestOverlapsAreFound(t *testing.T) {
	text := `version = 1
[[namespace]]
name = "a"
owner = "a"
hosts = ["*.example.org", "x.org"]
path_prefixes = ["/api"]
classes = ["c", "d"]
zones = ["1"]
settings = ["route", "order"]
[[namespace]]
name = "b"
owner = "b"
hosts = ["pay.example.org"]
path_prefixes = ["/api/pay"]
tenants = ["t"]
zones = ["1"]
settings = ["route", "order"]
`
	for _, k := range []struct{ from, to, want string }{
		{"", "", "both may set order, route; as for host \"pay.example.org\", path \"/api/pay\", method \"GET\", class \"c\", tenant \"t\""},
		{`["/api/pay"]`, `["/apis"]`, "both may set order"},
		{"zones = [\"1\"]\nsettings = [\"route\", \"order\"]\n[[", "zones = [\"2\"]\nsettings = [\"route\", \"order\"]\n[[", "both may set route"},
	} {
		c, err := ParseDeclaration("c", []byte(strings.Replace(text, k.from, k.to, 1)))
		if err != nil {
			t.Fatal(err)
		}
		got := c.overlaps()
		if len(got) != 1 || !strings.Contains(got[0].String(), k.want) {
			t.Errorf("%s: %v, want %q", k.to, got, k.want)
		}
	}
}
