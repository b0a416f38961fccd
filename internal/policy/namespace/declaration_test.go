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
		t.Errorf("delegation depth of settlement = %d, want 2 (operations -> dispatch -> settlement)", got)
	}
	if got := d.overlaps(); len(got) != 0 {
		t.Errorf("overlaps() = %v, want none: each shared part is delegated", got)
	}
	insideDelegation := &Match{Host: "pay.kigali.example.org", Path: "/api/pay/x", Classes: []string{"payout"}}
	for _, delegator := range []string{"dispatch", "operations"} {
		if !d.delegated("settlement", delegator, SettingRoute, insideDelegation) {
			t.Errorf("delegated(settlement, %s, route, %+v) = false, want true", delegator, *insideDelegation)
		}
	}
	outsideDelegation := &Match{Host: "pay.kigali.example.org", PathPrefix: "/api"}
	if d.delegated("settlement", "dispatch", SettingRoute, outsideDelegation) {
		t.Errorf("delegated(settlement, dispatch, route, %+v) = true, want false: its path is not under /api/pay",
			*outsideDelegation)
	}
}

func TestInvalidDeclarations(t *testing.T) {
	var cycleError DelegationCycleError
	var tooWideError DelegationTooWideError
	var unknownError UnknownNamespaceError
	for _, test := range []struct {
		old, replacement, wantText string
		wantType                   any // pointer to an error type that the error wraps; nil is not checked
	}{
		{`version = 1`, `version = 2`, "charter.toml:1: version: 2", nil},
		{`whole = 1000`, `hole = 1000`, `charter.toml:5: unknown key "budget.hole"`, nil},
		{`whole = 1000`, `whole = "all"`, "charter.toml:5: ", nil},
		{`whole = 1000`, `whole = -1`, "charter.toml:5: budget[0].whole: -1 is negative", nil},
		{`hosts = ["*.example.org"]`, `hosts = ["Example"]`, "charter.toml:7: namespace[0]: hosts", nil},
		{`name = "settlement"`, `name = "dispatch"`, "charter.toml:20: namespace[2].name", nil},
		{`to = "dispatch"`, `to = "nobody"`,
			`charter.toml:25: delegation[0].to: the charter knows no namespace "nobody"`, &unknownError},
		{`hosts = ["*.kigali.example.org"]`, `hosts = ["*.org"]`,
			"charter.toml:23: delegation[0]: operations delegates to dispatch", &tooWideError},
		{`path_prefixes = ["/api/pay"]`, `path_prefixes = ["/apis"]`,
			`charter.toml:32: delegation[1]: dispatch delegates to settlement what it does not have: path "/apis"`,
			&tooWideError},
		{`settings = ["route", "class"]`, `settings = ["route", "block"]`,
			`what it does not have: setting "block"`, &tooWideError},
		{`classes = ["payout"]`, `zones = ["3"]`, `what it does not have: zone "3"`, &tooWideError},
		{`classes = ["payout"]`, `budgets = ["retries"]`, `there is no budget "retries"`, nil},
		{`from = "operations"`, `from = "settlement"`,
			"delegations run in a circle: dispatch, settlement", &cycleError},
		{`to = "settlement"`, `to = "dispatch"`, "delegations run in a circle: dispatch", &cycleError},
	} {
		text := replaceEach(t, validDeclaration, test.old, test.replacement)
		_, err := ParseDeclaration("charter.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), test.wantText) {
			t.Errorf("ParseDeclaration with %q replaced by %q = error %v, want an error that contains %q",
				test.old, test.replacement, err, test.wantText)
			continue
		}
		if !errors.As(err, new(FileError)) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("ParseDeclaration with %q replaced by %q = error of type %T (%v), want a FileError with advice",
				test.old, test.replacement, err, err)
		}
		if test.wantType != nil && !errors.As(err, test.wantType) {
			t.Errorf("ParseDeclaration with %q replaced by %q = error %v, want one that wraps a %T",
				test.old, test.replacement, err, test.wantType)
		}
	}
}

// overlappingDeclaration gives namespaces a and b domains that overlap without a delegation between them.
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
			t.Errorf("overlaps() with %q replaced by %q = %v, want one conflict that contains %q",
				test.old, test.replacement, got, test.want)
		}
	}
}
