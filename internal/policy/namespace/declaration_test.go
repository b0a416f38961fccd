package namespace

import (
	"errors"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
)

const validDeclaration = `version = 1

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

func TestParseDeclaration(t *testing.T) {
	d := mustParseDeclaration(t, validDeclaration)
	if got := d.depth["settlement"]; got != 2 {
		t.Errorf("the depth of settlement is %d, want 2", got)
	}
	if got := d.overlaps(); len(got) != 0 {
		t.Errorf("delegated domains overlap: %v", got)
	}
	inside := &Match{Host: "pay.kigali.example.org", Path: "/api/pay/x", Classes: []string{"payout"}}
	for _, delegator := range []string{"dispatch", "operations"} {
		if !d.delegated("settlement", delegator, SettingRoute, inside) {
			t.Errorf("%s does not delegate to settlement", delegator)
		}
	}
	outside := &Match{Host: "pay.kigali.example.org", PathPrefix: "/api"}
	if d.delegated("settlement", "dispatch", SettingRoute, outside) {
		t.Error("more than the delegation is delegated")
	}
}

func TestInvalidDeclarations(t *testing.T) {
	var cycle DelegationCycleError
	var wide DelegationTooWideError
	var unknown UnknownNamespaceError
	for _, test := range []struct {
		old, replacement, want string
		as                     any
	}{
		{`version = 1`, `version = 2`, "charter.toml:1: version: 2", nil},
		{`whole = 1000`, `hole = 1000`, `charter.toml:5: unknown key "budget.hole"`, nil},
		{`whole = 1000`, `whole = "all"`, "charter.toml:5: ", nil},
		{`whole = 1000`, `whole = -1`, "charter.toml:5: budget[0].whole: -1 is negative", nil},
		{`hosts = ["*.example.org"]`, `hosts = ["Example"]`, "charter.toml:7: namespace[0]: hosts", nil},
		{`name = "settlement"`, `name = "dispatch"`, "charter.toml:20: namespace[2].name", nil},
		{`to = "dispatch"`, `to = "nobody"`,
			`charter.toml:25: delegation[0].to: the charter knows no namespace "nobody"`, &unknown},
		{`hosts = ["*.kigali.example.org"]`, `hosts = ["*.org"]`,
			"charter.toml:23: delegation[0]: operations delegates to dispatch", &wide},
		{`path_prefixes = ["/api/pay"]`, `path_prefixes = ["/apis"]`,
			`charter.toml:32: delegation[1]: dispatch delegates to settlement what it does not have: path "/apis"`,
			&wide},
		{`settings = ["route", "class"]`, `settings = ["route", "block"]`,
			`what it does not have: setting "block"`, &wide},
		{`classes = ["payout"]`, `zones = ["3"]`, `what it does not have: zone "3"`, &wide},
		{`classes = ["payout"]`, `budgets = ["retries"]`, `there is no budget "retries"`, nil},
		{`from = "operations"`, `from = "settlement"`,
			"delegations run in a circle: dispatch, settlement", &cycle},
		{`to = "settlement"`, `to = "dispatch"`, "delegations run in a circle: dispatch", &cycle},
	} {
		text := replaceEach(t, validDeclaration, test.old, test.replacement)
		_, err := ParseDeclaration("charter.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v, want %q", test.replacement, err, test.want)
			continue
		}
		if !errors.As(err, new(FileError)) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("%s: %T has no place or no advice", test.replacement, err)
		}
		if test.as != nil && !errors.As(err, test.as) {
			t.Errorf("%s: %v is no %T", test.replacement, err, test.as)
		}
	}
}

const overlappingDeclaration = `version = 1
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

func TestOverlaps(t *testing.T) {
	settings := "\nsettings = [\"route\", \"order\"]\n[["
	for _, test := range []struct{ old, replacement, want string }{
		{"", "", `both may set order, route; as for host "pay.example.org", path "/api/pay", method "GET", ` +
			`class "c", tenant "t"`},
		{`["/api/pay"]`, `["/apis"]`, "both may set order"},
		{"zones = [\"1\"]" + settings, "zones = [\"2\"]" + settings, "both may set route"},
	} {
		text := replaceEach(t, overlappingDeclaration, test.old, test.replacement)
		got := mustParseDeclaration(t, text).overlaps()
		if len(got) != 1 || !strings.Contains(got[0].String(), test.want) {
			t.Errorf("%s: %v, want %q", test.replacement, got, test.want)
		}
	}
}
