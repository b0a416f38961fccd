package claim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/diameter"
)

const good = `
version = 1
host = "proxy.kigali.example"
realm = "kigali.example"
[[peer]]
host = "claims.partner.example"
realm = "partner.example"
tenant = "partner"
[[peer]]
realm = "agents.example"
agent = true
[[command]]
command = "Credit-Control"
request_type = 4
requested_action = 1
class = "payout"
give_up = "3s"
deadline = "CC-Time"
path = "/claims"
[[command]]
command = "Credit-Control"
request_type = 4
requested_action = 2
class = "balance"
give_up = "1s"
`

func rules(t testing.TB) *Rules {
	t.Helper()
	_, r, err := Parse("d.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// request is a claim; change may say otherwise by an AVP's name, "" leaves it out, and add more.
func request(t testing.TB, flags diameter.Flags, change map[string]string, more func(w *diameter.Builder)) diameter.Message {
	t.Helper()
	d := diameter.Base()
	w := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request | diameter.Proxiable | flags, Command: 272, App: 4, EndToEnd: 99})
	for _, k := range [][2]string{{"Session-Id", "claims.partner.example;1;2"}, {"Origin-Host", "claims.partner.example"}, {"Origin-Realm", "partner.example"},
		{"Destination-Realm", "kigali.example"}, {"Service-Context-Id", "payout@kigali.example"}} {
		if v, said := change[k[0]]; said {
			k[1] = v
		}
		if k[1] != "" {
			w.Text(d.Named(k[0]), k[1])
		}
	}
	w.Uint32(d.Named("Auth-Application-Id"), 4).Uint32(d.Named("CC-Request-Type"), 4).Uint32(d.Named("CC-Request-Number"), 0)
	if change["action"] != "none" {
		action := uint32(1)
		if change["action"] != "" {
			action = uint32(change["action"][0] - '0')
		}
		w.Uint32(d.Named("Requested-Action"), action)
	}
	if more != nil {
		more(w)
	}
	m, err := w.Message()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

var partner = From{"claims.partner.example", "partner.example"}

func TestWhatARequestIs(t *testing.T) {
	r := rules(t)
	d := diameter.Base()
	a, e := r.Classify(request(t, diameter.Retransmitted, nil, func(w *diameter.Builder) { w.Uint32(d.Named("CC-Time"), 800) }), partner)
	if e != nil || a.Class != "payout" || a.Tenant != "partner" || a.Path != "/claims" || a.GiveUp != 800*time.Millisecond || !a.Repeat ||
		a.Name.Origin != "claims.partner.example" || a.Name.ID != 99 || a.Session != "claims.partner.example;1;2" {
		t.Errorf("%+v, %v", a, e)
	}
	if a, e := r.Classify(request(t, 0, map[string]string{"action": "2"}, nil), partner); e != nil || a.Class != "balance" || a.Path != "/" || a.GiveUp != time.Second || a.Repeat {
		t.Errorf("%+v, %v", a, e)
	}
	if a, e := r.Classify(request(t, 0, nil, func(w *diameter.Builder) { w.Uint32(d.Named("CC-Time"), 1e6) }), partner); e != nil || a.GiveUp != 3*time.Second {
		t.Errorf("a client may not have more time than the file gives: %+v, %v", a, e)
	}
	if a, e := r.Classify(request(t, 0, nil, nil), From{"relay.agents.example", "agents.example"}); e != nil || a.Name.Origin != "claims.partner.example" {
		t.Errorf("by an agent: %+v, %v", a, e)
	}
	for name, k := range map[string]struct {
		m    diameter.Message
		from From
		want diameter.ResultCode
		what string
	}{
		"a loop": {request(t, 0, nil, func(w *diameter.Builder) {
			w.Text(d.Named("Route-Record"), "a.example").Text(d.Named("Route-Record"), "proxy.kigali.example")
		}), partner, diameter.LoopDetected, "before"},
		"another realm":        {request(t, 0, map[string]string{"Destination-Realm": "x.example"}, nil), partner, diameter.RealmNotServed, "x.example"},
		"a server by name":     {request(t, 0, nil, func(w *diameter.Builder) { w.Text(d.Named("Destination-Host"), "n7.example") }), partner, diameter.UnableToDeliver, "n7.example"},
		"nobody":               {request(t, 0, nil, nil), From{"x.example", "example"}, diameter.UnknownPeer, "x.example"},
		"a name in a realm":    {request(t, 0, nil, nil), From{"claims.partner.example", "agents.example"}, diameter.UnknownPeer, "agents"},
		"another's realm":      {request(t, 0, map[string]string{"Origin-Realm": "other.example"}, nil), partner, diameter.InvalidAVPValue, "other.example"},
		"another's host":       {request(t, 0, map[string]string{"Origin-Host": "x.partner.example"}, nil), partner, diameter.InvalidAVPValue, "no agent"},
		"no session":           {request(t, 0, map[string]string{"Session-Id": ""}, nil), partner, diameter.MissingAVP, "Session-Id"},
		"no action":            {request(t, 0, map[string]string{"action": "none"}, nil), partner, diameter.MissingAVP, "Requested-Action"},
		"an action not taken":  {request(t, 0, map[string]string{"action": "3"}, nil), partner, diameter.InvalidAVPValue, "Requested-Action 3"},
		"no time":              {request(t, 0, nil, func(w *diameter.Builder) { w.Uint32(d.Named("CC-Time"), 0) }), partner, diameter.InvalidAVPValue, "CC-Time"},
		"a command not taken":  {watchdog(t), partner, diameter.CommandUnsupported, "280"},
		"a command not known":  {plain(t, 4, 999), partner, diameter.CommandUnsupported, "999"},
		"an application alike": {plain(t, 77, 272), partner, diameter.ApplicationUnsupport, "77"},
	} {
		if _, e := r.Classify(k.m, k.from); e == nil || e.Code != k.want || !strings.Contains(e.What, k.what) {
			t.Errorf("%s: %v", name, e)
		}
	}
}

func plain(t *testing.T, app, command uint32) diameter.Message {
	m, err := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: command, App: app}).Message()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func watchdog(t *testing.T) diameter.Message {
	d := diameter.Base()
	m, err := diameter.NewBuilder(nil, diameter.Header{Flags: diameter.Request, Command: 280}).Text(d.Named("Origin-Host"), "a").Text(d.Named("Origin-Realm"), "b").Message()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestFiles(t *testing.T) {
	if _, _, err := Load(filepath.Join("..", "..", "..", "deploy", "diameter.toml")); err != nil {
		t.Errorf("the example: %v", err)
	}
	for change, want := range map[string]string{
		"version = 1|version = 2":                                     "d.toml: version: 2",
		"tenant = |tenants = ":                                        `d.toml:8: unknown key "peer.tenants"`,
		"host = \"proxy.kigali.example\"|host = \"a b\"":              `host: "a b"`,
		"class = \"payout\"|class = \"\"":                             "command[0]: class",
		"give_up = \"1s\"|give_up = \"2m\"":                           "command[1]: give_up: 2m",
		"give_up = \"1s\"|give_up = \"soon\"":                         `"soon" is no span`,
		"command = \"Credit-Control\"|command = \"Pay\"":              `"Pay"`,
		"deadline = \"CC-Time\"|deadline = \"Session-Id\"":            "deadline",
		"path = \"/claims\"|path = \"claims\"":                        "path",
		"agent = true|certificate = \"x\"":                            "peer[1]: certificate: there is no [tls]",
		"realm = \"kigali.example\"|watchdog = \"1s\"":                "watchdog: 1s",
		"[[peer]]\nrealm|dictionary = \"none.toml\"\n[[peer]]\nrealm": "dictionary",
	} {
		from, to, _ := strings.Cut(change, "|")
		if !strings.Contains(good, from) {
			t.Errorf("%q is not there", from)
		}
		if _, _, err := Parse("d.toml", []byte(strings.Replace(good, from, to, 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", change, err)
		}
	}
	dir := t.TempDir()
	site := "version = 1\n[[avp]]\nname = \"Kigali-Wait\"\ncode = 7\nvendor = 99999\nformat = \"unsigned32\"\n"
	if err := os.WriteFile(filepath.Join(dir, "site.toml"), []byte(site), 0o600); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(strings.Replace(good, "version = 1", "version = 1\ndictionary = \"site.toml\"", 1), "CC-Time", "Kigali-Wait", 1)
	if _, _, err := Parse(filepath.Join(dir, "d.toml"), []byte(text)); err != nil {
		t.Errorf("a site's own AVP: %v", err)
	}
}

func TestWhoMayCome(t *testing.T) {
	_, r, err := Parse("d.toml", []byte(strings.Replace(good, "tenant = ", "certificate = \"claims.partner.example\"\ntenant = ", 1)+"[tls]\ncertificate = \"c\"\nkey = \"k\"\nca = \"a\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	has := func(names string) func(string) error {
		return func(name string) error {
			if !strings.Contains(names, name) {
				return os.ErrPermission
			}
			return nil
		}
	}
	for _, k := range []struct {
		from From
		cert func(string) error
		ok   bool
	}{
		{partner, has("claims.partner.example"), true}, {partner, has("other.example"), false}, {partner, nil, false},
		{From{"x.agents.example", "agents.example"}, nil, true}, {From{"x.example", "example"}, has("x.example"), false},
	} {
		if err := r.Allow(k.from, k.cert); (err == nil) != k.ok {
			t.Errorf("%v: %v", k.from, err)
		}
	}
}

// What a server's answer says of its request: only 3004 says that it has not run.
func TestFates(t *testing.T) {
	d := diameter.Base()
	for code, want := range map[uint32]Fate{2001: Final, 4012: Final, 5003: Final, 3004: NeverRan, 3002: Trouble, 3010: Trouble, 5012: Trouble, 4002: Trouble, 7: Nonsense, 0: Nonsense} {
		w := diameter.NewBuilder(nil, diameter.Header{Command: 272, App: 4})
		if code != 0 {
			w.Uint32(d.Named("Result-Code"), code)
		}
		m, err := w.Message()
		if err != nil {
			t.Fatal(err)
		}
		if got := FateOf(m, d); got != want {
			t.Errorf("%d: %v, want %v", code, got, want)
		}
	}
	for _, e := range []End{Refused, Undeliver, MayHaveRun, RanBefore, Full, TooLong, Unfit} {
		err, after := e.Answer(1500 * time.Millisecond)
		// A client that hears 3004 or 3002 sends it again, elsewhere or later.
		if again := err.Code == diameter.TooBusy || err.Code == diameter.UnableToDeliver; again != (e == Refused || e == Undeliver || e == Full) {
			t.Errorf("%d: %v", e, err)
		}
		if (after > 0) != (err.Code == diameter.TooBusy) || Seconds(after) > 2 {
			t.Errorf("%d: after %v", e, after)
		}
	}
}

// Whatever comes is classed, or refused in the RFC's terms; nobody speaks for another.
func FuzzClassify(f *testing.F) {
	r := rules(f)
	d := diameter.Base()
	f.Add([]byte(request(f, 0, nil, nil)), true)
	f.Add([]byte(request(f, diameter.Retransmitted, map[string]string{"Origin-Realm": "other.example"}, func(w *diameter.Builder) {
		w.Text(d.Named("Route-Record"), "proxy.kigali.example").Uint32(d.Named("CC-Time"), 7)
	})), false)
	f.Fuzz(func(t *testing.T, b []byte, agent bool) {
		m, h, err := diameter.Parse(b, d)
		if err != nil {
			return
		}
		from := partner
		if agent {
			from = From{"relay.agents.example", "agents.example"}
		}
		a, e := r.Classify(m, from)
		switch {
		case e != nil:
			if _, err := d.Refusal(m, h, e, "a.example", "example"); err != nil && len(m) < diameter.MostMessage/2 {
				t.Fatalf("%v can't be told: %v", e, err)
			}
		case a.Class == "" || a.GiveUp <= 0 || a.Name.Origin == "" || a.Session == "" && text(m, r.avp.session) != "":
			t.Fatalf("%+v", a)
		case !agent && a.Name.Origin != partner.Host:
			t.Fatalf("%q speaks for %q", partner.Host, a.Name.Origin)
		}
	})
}
