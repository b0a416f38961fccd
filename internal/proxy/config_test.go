package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
)

// editedConfig returns a valid configuration file in which the first occurrence of from is replaced by to.
func editedConfig(t *testing.T, from, to string) string {
	t.Helper()
	text := string(configText("null"))
	if !strings.Contains(text, from) {
		t.Fatalf("the test configuration does not contain %s", from)
	}
	return strings.Replace(text, from, to, 1)
}

// loadConfigText writes a configuration file and calls LoadConfig with it, and with env as names and values of further
// environment variables. It returns the file's path too.
func loadConfigText(t *testing.T, text string, env ...string) (Config, string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("writing the configuration: %v", err)
	}
	vars := map[string]string{"BALANCER_CONFIG": path}
	for i := 0; i+1 < len(env); i += 2 {
		vars[env[i]] = env[i+1]
	}
	c, err := LoadConfig(func(name string) string { return vars[name] })
	return c, path, err
}

// An invalid configuration is rejected at the start and at a reload, with the file, the field's path and the reason.
func TestInvalidConfigNamesFileAndField(t *testing.T) {
	for _, c := range []struct{ from, to, field, reason string }{
		{`{"name"`, `{"name`, "", "invalid"},
		{`"127.0.0.1:0"`, `""`, "listen", "must be given"},
		{`"127.0.0.1:0"`, `"127.0.0.1"`, "listen", "missing port"},
		{`"127.0.0.1:1"`, `""`, "discovery", "must be given"},
		{`"127.0.0.1:1"`, `"discovery"`, "discovery", "missing port"},
		{`"127.0.0.1:1"`, `"127.0.0.1:"`, "discovery", "no port"},
		{`"127.0.0.1:1"`, `"127.0.0.1:99999"`, "discovery", "no port"},
		{`"8c1f30d27a5be964"`, `"no"`, "seed", "invalid"},
		{`"cores":1.0`, `"cores":0`, "limits.cores", "above 0"},
		{`"cores":1.0`, `"cores":"one"`, "limits.cores", "want a float64"},
		{`"memory_mb":192`, `"memory_mb":2`, "limits.memory_mb", "16 or more"},
		{`"sockets":1024`, `"sockets":-1`, "limits.sockets", "64 or more"},
		{`"settings":{`, `"Settings-":{`, "settings", "none given"},
		{`"settings":{`, `"settings":7,"old":{`, "settings", "number"},
		{`"Services":[`, `"Servants":[`, "settings.Services", "none given"},
		{`"Balancers":1`, `"Balancers":0`, "settings.Balancers", "1 or more"},
		{`"Balancers":1`, `"Balancers":1.5`, "settings.Balancers", "whole number"},
		{`"Tick":5.0`, `"Tick":"often"`, "settings.Tick", "not a number"},
		{`"Tick":5.0`, `"Tick":-1`, "settings.Tick", "negative"},
		{`"on_request"`, `"by_post"`, "settings.Discovery", "one of pushed, on_request"},
		{`"ConnectTimeout":250.0,`, ``, "settings.Caps.ConnectTimeout", "above 0"},
		{`"MaxAttempts":6`, `"MaxAttempts":0`, "settings.Caps.MaxAttempts", "1 or more"},
		{`"Cancel":true`, `"Cancel":"maybe"`, "settings.Caps.Cancel", "one of false, true"},
		{`"DrainGrace":250.0`, `"DrainGrace":-250.0`, "settings.Obligations.DrainGrace", "negative"},
		{`"Cold":23000.0`, `"Cold":1e300`, "settings.Obligations.Cold", "not a span"},
		{`"Effect":"fragile"`, `"Effect":"brittle"`, "settings.Services.1.Effect", "one of fragile"},
		{`"Effect":"fragile","Group":"all"`, `"Effect":"dedup","Group":"half"`, "settings.Services.1.Group",
			"one of cell"},
		{`"hand-in","Aim":8000.0`, `"hand-in","Aim":0`, "settings.Services.1.Aim", "above 0"},
		{`"GiveUp":20000.0,"Effect":"fragile"`, `"Effect":"fragile"`, "settings.Services.1.GiveUp", "above 0"},
		{`"hand-in"`, `"fetch-work"`, "settings.Services.1.Name", `"fetch-work" is the name of Services.0 too`},
	} {
		text := editedConfig(t, c.from, c.to)
		_, path, err := loadConfigText(t, text)
		bad := (*ConfigError)(nil)
		if !errors.As(err, &bad) || bad.File != path || bad.Field != c.field || !strings.Contains(bad.Err.Error(),
			c.reason) {
			t.Errorf("LoadConfig with %s: error %v, want a ConfigError for field %q that contains %q",
				c.to, err, c.field, c.reason)
		}
		if err != nil && (!strings.Contains(err.Error(), path+": "+c.field) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("LoadConfig with %s: error %q, want one line with the file and the field %q", c.to, err, c.field)
		}
		if c.field == "listen" { // a reload does not check it
			continue
		}
		getenv := func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] }
		if _, err := ReloadConfig(getenv); err == nil {
			t.Errorf("ReloadConfig with %s = nil, want an error", c.to)
		}
	}
	if _, _, err := loadConfigText(t, editedConfig(t, `"127.0.0.1:0"`, `""`), "BALANCER_PASSED_SOCKET",
		"3"); err != nil {
		t.Errorf("LoadConfig without a listen address but with a passed socket = %v, want nil", err)
	}
}

// Unknown keys, missing optional keys and extreme values are no reason to reject a configuration.
func TestUnusualConfigIsServed(t *testing.T) {
	for _, c := range []struct{ from, to string }{
		{`"WorthBy":"work"`, `"WorthBy":"mood","Brand":{"New":[1,{"a":null}],"":5,"a=b":1,"x\ny":2},"Kinds.0":3`},
		{`"WorthBy":"work",`, ``},
		{`"Tick":5.0,`, ``},
		{`"Balancers":1,"Rank":0,"Zone":0,`, ``},
		{`"Rank":0,"Zone":0`, `"Rank":-7,"Zone":99`},
		{`"FailureDomains":["dc one"]`, `"FailureDomains":[1,"a","a"]`},
		{`"FailureDomains":["dc one"],`, ``},
		{`"Kinds":["fast-5","slow-5"]`, `"kinds":3`},
		{`"Tenants":[]`, `"Tenants":[{"Name":"a","Share":7},{"Name":"a","Share":-1,"QuotaPerS":0}]`},
		{`"Tenants":[],`, ``},
		{`"MaxAttempts":6,"MaxRetryAfter":2000.0,`, ``},
		{`"ConnIdle":15000.0,`, ``},
		{`"ConnIdle":15000.0`, `"ConnIdle":0.001`},
		{`"StreamsPerConn":1`, `"StreamsPerConn":0,"MaxOpen":0`},
		{`"Obligations":{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":23000.0,"DrainGrace":250.0,"Fall":2000.0,"FallMultiple":2.5,"StartCapacity":0.13},`, ``},
		{`"StartCapacity":0.13`, `"StartCapacity":34`},
		{`"Fall":2000.0,"FallMultiple":2.5`, `"Fall":0,"FallMultiple":0`},
		{`"Cold":23000.0`, `"Cold":1e12`},
		{`"Value":8.0`, `"Value":-8.0,"LateShare":-1,"AimStretch":1e300`},
		{`"Aim":8000.0`, `"Aim":90000.0`},
		{`"Effect":"fragile","Group":"all"`, `"Group":"half"`},
		{`"hand-in"`, `"fetch_work"`},
		{`"memory_mb":192,"sockets":1024`, `"memory_mb":192.5,"sockets":1e12`},
		{`"memory_mb":192`, `"memory_mb":1e17`},
		{`"cores":1.0`, `"cores":1e17`},
		{`"known":null`, `"known":{"generation":1,"instances":[{}]}`},
		{`"known":null,`, ``},
	} {
		cfg, _, err := loadConfigText(t, editedConfig(t, c.from, c.to))
		if err != nil {
			t.Errorf("LoadConfig with %s = %v, want nil", c.to, err)
			continue
		}
		if bodyMemoryLimit(&cfg) < 1<<20 || maxClientConns(&cfg) < 19 {
			t.Errorf("LoadConfig with %s: limits of %d body bytes and %d client connections, want at least %d and 19",
				c.to, bodyMemoryLimit(&cfg), maxClientConns(&cfg), 1<<20)
		}
		if _, err := decision.New(cfg.Decision, 1, nil); err != nil {
			t.Errorf("decision.New with %s = %v, want nil", c.to, err)
		}
	}
}

// Settings in which random parts are missing, of another type or extreme are either rejected with the field's name, or
// can be served.
func TestRandomSettingsAreServedOrRejectedByField(t *testing.T) {
	replacements := []any{nil, true, "", "words, and more", -1, 0, 1e-9, 0.5, 1e9, 1e300, []any{}, []any{1, "a"},
		[]any{map[string]any{"Name": "a"}}, map[string]any{"Name": "b"}}
	served := 0
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 27))
		var tree map[string]any
		if err := json.Unmarshal([]byte(settings), &tree); err != nil {
			t.Fatalf("parsing the test settings: %v", err)
		}
		var corrupt func(v any)
		corrupt = func(v any) {
			switch v := v.(type) {
			case map[string]any:
				var keys []string
				for key := range v {
					keys = append(keys, key)
				}
				slices.Sort(keys)
				for _, key := range keys {
					switch rng.IntN(60) {
					case 0:
						delete(v, key)
					case 1:
						v[key] = replacements[rng.IntN(len(replacements))]
					default:
						corrupt(v[key])
					}
				}
			case []any:
				for _, item := range v {
					corrupt(item)
				}
			}
		}
		corrupt(tree)
		text, err := json.Marshal(tree)
		if err != nil {
			t.Fatalf("encoding the settings of seed %d: %v", seed, err)
		}
		cfg, err := parseConfig(fmt.Appendf(nil,
			`{"name":"n0","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, text))
		if err != nil {
			if bad := (*ConfigError)(nil); !errors.As(err, &bad) || !strings.HasPrefix(bad.Field, "settings") {
				t.Errorf("parseConfig with seed %d: error %v, want a ConfigError with a field under settings", seed, err)
			}
			continue
		}
		served++
		if _, err := decision.New(cfg.Decision, 1, nil); err != nil {
			t.Errorf("decision.New with the accepted settings of seed %d = %v, want nil; settings:\n%s", seed, err, text)
		}
		if _, err := newGate(&cfg.Decision); err != nil {
			t.Errorf("newGate with the accepted settings of seed %d = %v, want nil; settings:\n%s", seed, err, text)
		}
		if n := len(cfg.Decision.Classes); n != len(cfg.Names.Classes) ||
			len(cfg.Decision.Tenants) > len(cfg.Names.Tenants) {
			t.Errorf("parseConfig with seed %d: %d classes and %d tenants in Decision, Names %q; want as many class names "+
				"and at least as many tenant names", seed, n, len(cfg.Decision.Tenants), cfg.Names)
		}
	}
	if served < 100 {
		t.Errorf("parseConfig accepted %d of 500 random settings, want at least 100", served)
	}
}

// Class names that differ only by a space or a comma are distinct classes: one may be idempotent and retried while the
// other must never run twice.
func TestNamesDifferingByASpaceAreDistinct(t *testing.T) {
	text := strings.NewReplacer(`"fetch-work"`, `"close trip"`, `"hand-in"`, `"close_trip"`, `"Tenants":[]`,
		`"Tenants":[{"Name":"a,b","Share":0.5},{"Name":"a_b","Share":0.4},{"Name":"c d","Share":0.1}]`).
		Replace(string(configText("null")))
	cfg, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatalf("parseConfig: %v", err)
	}
	cfg.InitialEndpoints, cfg.Discovery = List{Version: 1, Full: true}, "127.0.0.1:1"
	c := newCatalog(t)
	p := startProxy(t, listText(1, true), c, func(to *Config) {
		cfg.Discovery, cfg.timing = to.Discovery, to.timing
		*to = cfg
	})
	within(t, c.queries, "discovery got no call")
	svc := p.proxy.services.current.Load().only
	for name, want := range map[string]int{"close trip": 0, "close_trip": 1, "close,trip": 1} {
		if got, known := lookupName(svc.classes, name); !known || got != want {
			t.Errorf("lookupName(classes, %q) = %d, %v, want %d, true", name, got, known, want)
		}
	}
	for name, want := range map[string]int{"a,b": 0, "a_b": 1, "c d": 2, "c_d": 2} {
		if got, known := lookupName(svc.tenants, name); !known || got != want {
			t.Errorf("lookupName(tenants, %q) = %d, %v, want %d, true", name, got, known, want)
		}
	}
	if _, known := lookupName(svc.classes, "open trip"); known {
		t.Error("lookupName(classes, \"open trip\") found a class, want none")
	}
}

// A proxy whose configuration has an invalid initial endpoint list serves without it, and fetches the list from
// discovery.
func TestInvalidInitialListIsIgnored(t *testing.T) {
	got := make(chan *http.Request, 8)
	c := newCatalog(t)
	p := startProxy(t,
		`{"generation":7,"reset":true,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:1","lifecycle":"active"},{}]}`, c, nil)
	if q := within(t, c.queries, "discovery got no call"); strings.HasPrefix(q, "from=7&") {
		t.Errorf("first discovery query %q, want one for the whole list instead of changes since the unreadable list", q)
	}
	c.lists <- listText(8, true, memberText("a", countingBackend(t, got), "active"))
	within(t, c.queries, "discovery got no call after it sent the list")
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	if !strings.Contains(p.logs.String(), "initial endpoint list in the configuration is invalid") {
		t.Errorf("the log has no message about the unreadable initial list:\n%s", p.logs.String())
	}
	if cfg, err := parseConfig(configText(`{"generation":1,"instances":[{}]}`)); err != nil ||
		cfg.InitialEndpointsError == nil || len(cfg.InitialEndpoints.Endpoints) > 0 {
		t.Errorf("parseConfig with an invalid list: InitialEndpoints %+v, InitialEndpointsError %v, error %v; "+
			"want no endpoints, an InitialEndpointsError and no error",
			cfg.InitialEndpoints, cfg.InitialEndpointsError, err)
	}
}

// The time that discovery may hold a watch stays between 1 s and 20 s whatever AskEvery, the polling interval in
// milliseconds, is set to.
func TestDiscoveryTimingStaysWithinBounds(t *testing.T) {
	for _, every := range []string{"0", "1", "1e12"} {
		cfg, err := parseConfig([]byte(editedConfig(t, `"AskEvery":10000.0`, `"AskEvery":`+every)))
		if err != nil {
			t.Fatalf("parseConfig with AskEvery %s: %v", every, err)
		}
		if cfg.timing.watchHold < time.Second || cfg.timing.watchHold > 20*time.Second {
			t.Errorf("watchHold with AskEvery %s = %v, want 1s to 20s", every, cfg.timing.watchHold)
		}
	}
}

// A valid configuration file is parsed into the values that it contains; invalid files are rejected.
func TestConfig(t *testing.T) {
	c, err := parseConfig(configText(listText(41, true, memberText("a", "127.0.0.1:9", "active"))))
	if err != nil {
		t.Fatalf("parseConfig: %v", err)
	}
	settings := c.Decision
	if settings.Classes[1].Name != "hand-in" || settings.Classes[1].Idempotency != decision.NotIdempotent ||
		settings.Classes[0].Idempotency != decision.Idempotent ||
		!settings.PolledDiscovery || settings.Capabilities.ConnectTimeout != 250*time.Millisecond ||
		settings.Constraints.OverloadFactor != 2.5 {
		t.Errorf("parseConfig: decision settings %+v, want class 1 hand-in not idempotent, class 0 idempotent, polled "+
			"discovery, ConnectTimeout 250ms and OverloadFactor 2.5", settings)
	}
	if c.InitialEndpoints.Version != 41 || c.Seed != 0x8c1f30d27a5be964 || c.Kinds[1] != "slow-5" ||
		c.Zones[0] != "dc one" {
		t.Errorf("parseConfig: list version %d, seed %x, kinds %q, zones %q; want 41, 8c1f30d27a5be964, "+
			"slow-5 as kind 1 and \"dc one\" as zone 0", c.InitialEndpoints.Version, c.Seed, c.Kinds, c.Zones)
	}
	for name, text := range map[string]string{
		"invalid JSON":            "{",
		"seed is not hexadecimal": strings.Replace(string(configText("null")), "8c1f30d27a5be964", "xyz", 1),
		"no sockets":              strings.Replace(string(configText("null")), `"sockets":1024`, `"sockets":0`, 1),
		"setting is not a number": strings.Replace(string(configText("null")), `"Tick":5.0`, `"Tick":"often"`, 1),
		"no connect timeout":      strings.Replace(string(configText("null")), `"ConnectTimeout":250.0,`, "", 1),
	} {
		if _, err := parseConfig([]byte(text)); err == nil {
			t.Errorf("parseConfig with %s = nil, want an error", name)
		}
	}
}
