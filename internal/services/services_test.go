package services

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lapisspread/internal/processquota"
	"lapisspread/internal/route"
)

const validFile = `version = 1
default = "dispatch"

[limits]
in_hand = 300

[[service]]
name = "dispatch"
share = { min = 0.5, weight = 3.0 }

[[service]]
name = "settlement"
kinds = ["pay-1"]
share = { min = 0.25, cap = 0.6 }

[[service.class]]
name = "driver-payout"
aim = "500ms"
give_up = "2s"
effect = "unsafe"
worth = 10.0

[[route]]
name = "payouts"
host = "pay.kigali.example.org"
to = [{ service = "settlement" }]

[[route]]
name = "moving"
classes = ["trip-close"]
sticky = "tenant"
to = [{ service = "dispatch", weight = 9.0 }, { service = "settlement", weight = 1.0 }]
`

func TestParseValidFile(t *testing.T) {
	c, err := Parse("services.toml", []byte(validFile))
	if err != nil {
		t.Fatalf("Parse of a valid file: %v", err)
	}
	found, result := c.Table.Lookup(&route.Request{Host: "pay.kigali.example.org", Path: "/x"})
	if result != route.Found || found.Pick(7) != "settlement" {
		t.Errorf("Lookup(host pay.kigali.example.org) = %+v, %v; want a route to settlement and %v",
			found, result, route.Found)
	}
	if fallback, _ := c.Table.Lookup(&route.Request{Host: "else", Path: "/x"}); fallback.Pick(7) != "dispatch" {
		t.Errorf("Lookup of a host without a route = %+v, want a route to the default service dispatch", fallback)
	}
	pool, err := processquota.NewPool(c.File.PoolSettings(300), c.File.Shares(300))
	if err != nil {
		t.Fatalf("NewPool with 300 units and the shares of the file: %v", err)
	}
	if usage := pool.Usage(0)["settlement"]; usage.Min != 75 || usage.Cap != 180 {
		t.Errorf("settlement's share of 300 units = %+v, want Min 75 and Cap 180", usage)
	}
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	// Each case replaces old in validFile; want is a part of the error.
	for _, c := range []struct{ old, replacement, want string }{
		{"version = 1", "version = 2", "s.toml: version: 2"},
		{"in_hand = 300", "in_hands = 300", `s.toml:5: unknown key "limits.in_hands"`},
		{"in_hand = 300", "in_hand = 'many'", "s.toml:5: "},
		{"in_hand = 300", "lend = 2.0", "limits: lend: 2"},
		{`aim = "500ms"`, `aim = "soon"`, "s.toml:18: "},
		{`aim = "500ms"`, `aim = "5s"`, `class[0] "driver-payout": aim 5s and give_up 2s`},
		{`effect = "unsafe"`, `effect = "maybe"`, `effect: "maybe"`},
		{"min = 0.5", "min = 0.9", "come to 1.150"},
		{`kinds = ["pay-1"]`, "repeats = 3.0", "repeats: 3 is not within 0 and 1"},
		{`name = "settlement"`, `name = "dispatch"`, "it is there twice"},
		{`name = "settlement"`, `name = "Pay Out"`, "name: wanted small letters"},
		{`default = "dispatch"`, `default = "none"`, `default: there is no service "none"`},
		{
			`{ service = "settlement" }`, `{ service = "setlement" }`,
			`route[0] "payouts": to[0]: there is no service "setlement"`,
		},
		{`sticky = "tenant"`, `sticky = "luck"`, `sticky: "luck"`},
		{
			`classes = ["trip-close"]`, `host = "pay.kigali.example.org"`,
			`route[1] "moving": ties with route[0] "payouts"`,
		},
	} {
		_, err := Parse("s.toml", []byte(strings.Replace(validFile, c.old, c.replacement, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), "s.toml") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Parse with %q in place of %q returned error %v, want one that starts with s.toml and contains %q",
				c.replacement, c.old, err, c.want)
		}
	}
	_, err := Parse("s.toml", []byte("version = 1\n"))
	if err == nil || !strings.Contains(err.Error(), "nothing would be served") {
		t.Errorf("Parse of a file without services returned error %v, want \"nothing would be served\"", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("Load of a missing file returned no error")
	}
}

// The deployed services.toml is valid.
func TestShippedFileIsValid(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "services.toml")
	if _, err := os.Stat(path); err != nil {
		t.Fatalf("the deployed file is missing: %v", err)
	}
	if _, err := Load(path); err != nil {
		t.Errorf("Load of the deployed file: %v", err)
	}
}
