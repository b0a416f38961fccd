package diameter

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

func bytesOf(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A device watchdog request, laid out by hand after RFC 6733 sections 3, 4.1 and 5.5.1.
const watchdog = `
	01 00004c  80 000118  00000000  11223344  55667788
	00000108 40 00000e  612e6578616d 0000        -- Origin-Host a.exam, 14 bytes and 2 of padding
	00000128 40 000010  6578616d706c652e         -- Origin-Realm example., 16 bytes
	00000116 40 00000c  0000002a                 -- Origin-State-Id 42
	0000000b c0 00000c  000028af                 -- vendor 10415, code 11, without a value`

func vector(t testing.TB) []byte {
	var clean []string
	for line := range strings.Lines(watchdog) {
		line, _, _ = strings.Cut(line, "--")
		clean = append(clean, line)
	}
	return bytesOf(t, strings.Join(clean, ""))
}

func TestBytesByHand(t *testing.T) {
	b := vector(t)
	m, h, err := Parse(b, Base())
	if err != nil {
		t.Fatal(err)
	}
	if h != (Header{Length: 76, Flags: Request, Command: 280, HopByHop: 0x11223344, EndToEnd: 0x55667788}) || m.Header() != h {
		t.Errorf("%+v", h)
	}
	var got []string
	c := m.AVPs()
	for c.Next() {
		got = append(got, hex.EncodeToString(c.AVP.Raw()))
	}
	if c.Err() != nil || len(got) != 4 || got[0] != "000001084000000e612e6578616d" || got[3] != "0000000bc000000c000028af" {
		t.Errorf("%v, %v", got, c.Err())
	}
	host, _ := m.Find(0, 264)
	if name, err := host.Identity(); err != nil || name != "a.exam" {
		t.Errorf("%q, %v", name, err)
	}
	if state, ok := m.Find(0, 278); !ok {
		t.Error("no Origin-State-Id")
	} else if v, err := state.Uint32(); err != nil || v != 42 {
		t.Errorf("%d, %v", v, err)
	}
	if _, found := m.Find(0, 11); found {
		t.Error("a vendor's AVP was taken for one of the IETF's")
	}
	d := Base()
	w := NewBuilder(nil, h).Text(d.Named("Origin-Host"), "a.exam").Text(d.Named("Origin-Realm"), "example.").Uint32(d.Named("Origin-State-Id"), 42)
	built, err := w.Raw(bytesOf(t, "0000000b c0 00000c 000028af")).Message()
	if err != nil || !bytes.Equal(built, b) {
		t.Errorf("built %x, %v", []byte(built), err)
	}
	if err := d.Check(m); err == nil || err.(*Error).Code != AVPUnsupported {
		t.Errorf("an AVP that must be understood: %v", err)
	}
}

// Each kind of wrong bytes has the code and the failed AVP that section 7 names; only lost framing ends a stream.
func TestWrongBytes(t *testing.T) {
	for name, k := range map[string]struct {
		at      int
		bytes   string
		code    ResultCode
		framing bool
		failed  string
	}{
		"version 2":                  {0, "02", UnsupportedVersion, true, ""},
		"length under a header":      {1, "000010", InvalidMessageLength, true, ""},
		"length not of four":         {1, "00004d", InvalidMessageLength, true, ""},
		"length over all bounds":     {1, "ffffff", InvalidMessageLength, true, ""},
		"reserved command flag":      {4, "81", InvalidHdrBits, false, ""},
		"a request with E":           {4, "a0", InvalidHdrBits, false, ""},
		"an answer with T":           {4, "10", InvalidHdrBits, false, ""},
		"AVP shorter than its head":  {25, "000007", InvalidAVPLength, false, "0000010840000008"},
		"AVP longer than what comes": {25, "0000ff", InvalidAVPLength, false, "0000010840000008"},
		"vendor's AVP of 11 bytes":   {69, "00000b", InvalidAVPLength, false, "0000000bc000000c000028af"},
		"reserved AVP flag":          {24, "41", InvalidAVPBits, false, "000001084100000e612e6578616d"},
	} {
		b := vector(t)
		copy(b[k.at:], bytesOf(t, k.bytes))
		_, _, err := Parse(b, Base())
		e, ok := AsError(err)
		if !ok || e.Code != k.code || e.Framing != k.framing || hex.EncodeToString(e.Failed) != k.failed {
			t.Errorf("%s: %v, failed %x", name, err, e.Failed)
		}
	}
	if _, _, err := Parse(vector(t)[:72], nil); err == nil || !err.(*Error).Framing {
		t.Errorf("a message cut short: %v", err)
	}
}

func TestValues(t *testing.T) {
	d := &Dictionary{}
	text := "version = 1\n"
	for i, f := range formatNames {
		text += "[[avp]]\nname = \"" + f + "\"\ncode = " + string(rune('1'+i%9)) + string(rune('0'+i/9)) + "\nformat = \"" + f + "\"\n"
	}
	if err := d.add("t", []byte(text)); err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 1, 9, 30, 0, 0, time.UTC)
	late := time.Date(2040, 2, 29, 0, 0, 1, 0, time.UTC) // past the end of NTP's first era
	v6 := netip.MustParseAddr("2001:db8::7")
	m, err := NewBuilder(nil, Header{Command: 1}).Uint32(d.Named("integer32"), math.MaxUint32).Uint64(d.Named("integer64"), 1<<63).
		Float32(d.Named("float32"), 1.5).Float64(d.Named("float64"), -2.25).Time(d.Named("time"), at).Time(d.Named("time"), late).
		Address(d.Named("address"), v6).Address(d.Named("address"), netip.MustParseAddr("::ffff:10.1.2.3")).
		Text(d.Named("utf8-string"), "Kimironko").Begin(d.Named("grouped")).Begin(d.Named("grouped")).Uint32(d.Named("unsigned32"), 7).End().End().Message()
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Parse(m, d); err != nil {
		t.Fatal(err)
	}
	var all []AVP
	for c := m.AVPs(); c.Next(); {
		all = append(all, c.AVP)
	}
	i32, _ := all[0].Int32()
	i64, _ := all[1].Int64()
	f32, _ := all[2].Float32()
	f64, _ := all[3].Float64()
	t1, _ := all[4].Time()
	t2, _ := all[5].Time()
	a1, _ := all[6].Address()
	a2, _ := all[7].Address()
	inner, _ := all[9].Find(0, d.Named("grouped").Code)
	u, ok := inner.Find(0, d.Named("unsigned32").Code)
	n, _ := u.Uint32()
	if i32 != -1 || i64 != math.MinInt64 || f32 != 1.5 || f64 != -2.25 || !t1.Equal(at) || !t2.Equal(late) || a1 != v6 || a2.String() != "10.1.2.3" || !ok || n != 7 {
		t.Errorf("%v %v %v %v %v %v %v %v %v %v", i32, i64, f32, f64, t1, t2, a1, a2, ok, n)
	}
	for _, k := range []struct {
		format Format
		data   string
		code   ResultCode
	}{
		{Unsigned32, "0000", InvalidAVPLength}, {Float64, "00000000", InvalidAVPLength}, {UTF8String, "ff", InvalidAVPValue},
		{Address, "0001", InvalidAVPLength}, {Address, "00010a0102", InvalidAVPLength}, {Address, "0008313233", InvalidAVPValue},
		{DiameterIdentity, "", InvalidAVPValue}, {DiameterIdentity, "612062", InvalidAVPValue}, {DiameterURI, "687474703a2f2f78", InvalidAVPValue},
	} {
		err := AVP{Data: bytesOf(t, k.data)}.Check(k.format)
		if e, ok := AsError(err); !ok || e.Code != k.code {
			t.Errorf("%v %s: %v", k.format, k.data, err)
		}
	}
}

// claim is a payout claim as a partner sends it.
func claim(t testing.TB, d *Dictionary, change func(*Builder)) Message {
	w := NewBuilder(nil, Header{Flags: Request | Proxiable, Command: 272, App: 4, HopByHop: 9, EndToEnd: 77})
	w.Text(d.Named("Session-Id"), "partner.example;1;2").Text(d.Named("Origin-Host"), "partner.example").Text(d.Named("Origin-Realm"), "example").
		Text(d.Named("Destination-Realm"), "pay.kigali.example").Uint32(d.Named("Auth-Application-Id"), 4).
		Text(d.Named("Service-Context-Id"), "payout@kigali.example").Uint32(d.Named("CC-Request-Type"), 4).Uint32(d.Named("CC-Request-Number"), 0).
		Uint32(d.Named("Requested-Action"), 0).Begin(d.Named("Requested-Service-Unit")).Begin(d.Named("CC-Money")).
		Begin(d.Named("Unit-Value")).Uint64(d.Named("Value-Digits"), 12500).End().Uint32(d.Named("Currency-Code"), 646).End().End()
	if change != nil {
		change(w)
	}
	m, err := w.Message()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestRulesOfCommands(t *testing.T) {
	d := Base()
	if err := d.Check(claim(t, d, nil)); err != nil {
		t.Fatal(err)
	}
	for name, k := range map[string]struct {
		change func(*Builder)
		code   ResultCode
	}{
		"twice what may be there once": {func(w *Builder) { w.Uint32(d.Named("CC-Request-Number"), 1) }, AVPOccursTooManyTimes},
		"a value that is none":         {func(w *Builder) { w.Uint32(d.Named("Requested-Action"), 9) }, InvalidAVPValue},
		"a wrong length within a group": {func(w *Builder) {
			w.Begin(d.Named("Subscription-Id")).Bytes(d.Named("Subscription-Id-Type"), []byte{1}).End()
		}, InvalidAVPLength},
		"an unknown one that must be understood": {func(w *Builder) { w.Raw(bytesOf(t, "00ffff00 40 000008")) }, AVPUnsupported},
		"an unknown one that need not be":        {func(w *Builder) { w.Raw(bytesOf(t, "00ffff00 00 000008")) }, 0},
	} {
		err := d.Check(claim(t, d, k.change))
		if e, ok := AsError(err); ok != (k.code != 0) || ok && (e.Code != k.code || len(e.Failed) < avpLen) {
			t.Errorf("%s: %v", name, err)
		}
	}
	empty, _ := NewBuilder(nil, Header{Flags: Request, Command: 272, App: 4}).Message()
	if e, ok := AsError(d.Check(empty)); !ok || e.Code != MissingAVP || hex.EncodeToString(e.Failed) != "0000010740000008" {
		t.Errorf("nothing: %+v", e)
	}
	for _, h := range []Header{{Flags: Request, Command: 999, App: 4}, {Flags: Request, Command: 272, App: 99}} {
		m, _ := NewBuilder(nil, h).Message()
		if e, ok := AsError(d.Check(m)); !ok || !e.Code.Protocol() {
			t.Errorf("%+v: %v", h, e)
		}
	}
	request := claim(t, d, func(w *Builder) {
		w.Begin(d.Named("Proxy-Info")).Text(d.Named("Proxy-Host"), "p.example").Bytes(d.Named("Proxy-State"), []byte("x")).End()
	})
	e := &Error{Code: TooBusy, Failed: bytesOf(t, "000001074000000961"), What: "come again"}
	answer, err := d.Refusal(request, request.Header(), e, "proxy.kigali", "kigali")
	if err != nil {
		t.Fatal(err)
	}
	if _, h, err := Parse(answer, d); err != nil || h.Flags != Proxiable|ErrorFlag || h.EndToEnd != 77 || h.HopByHop != 9 {
		t.Errorf("%+v, %v", h, err)
	}
	_, session := answer.Find(0, 263)
	_, info := answer.Find(0, 284)
	failed, _ := answer.Find(0, 279)
	if err := d.Check(answer); err != nil || !session || !info || !bytes.HasPrefix(failed.Data, e.Failed) {
		t.Errorf("%v %v %v %x", err, session, info, failed.Data)
	}
}

func TestDictionaryFiles(t *testing.T) {
	d := Base()
	path := filepath.Join(t.TempDir(), "site.toml")
	for text, want := range map[string]string{
		"version = 2": "site.toml: version: 2",
		"version = 1\n[[avp]]\nname = \"Session-Id\"\ncode = 9999\nformat = \"grouped\"":                                 `avp[0] "Session-Id"`,
		"version = 1\n[[avp]]\nname = \"x\"\ncode = 9999\nformat = \"words\"":                                            "site.toml:5",
		"version = 1\n[[avp]]\nname = \"x\"\ncode = 9999\nkind = 1":                                                      `site.toml:5: unknown key "avp.kind"`,
		"version = 1\n[[command]]\nname = \"C\"\ncode = 9\napplication = 7\nrequest = [{ avp = \"Nothing\" }]":           `there is no AVP "Nothing"`,
		"version = 1\n[[command]]\nname = \"C\"\ncode = 9\napplication = 7\nrequest = [{ avp = \"Class\", least = -1 }]": "least -1",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := d.With(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	good := "version = 1\n[[avp]]\nname = \"Depot\"\ncode = 7\nvendor = 64999\nformat = \"utf8-string\"\n"
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	site, err := d.With(path)
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewBuilder(nil, Header{Command: 1}).Text(site.Named("Depot"), "Remera").Message()
	if a, ok := m.Find(64999, 7); err != nil || !ok || string(a.Data) != "Remera" || a.Flags != VendorFlag|Mandatory {
		t.Errorf("%+v %v", a, err)
	}
	if d.AVP(64999, 7) != nil {
		t.Error("the base dictionary has changed")
	}
}

// What is built comes back as it was, whatever is built; and what is read can be handed on byte for byte.
func TestRoundTrips(t *testing.T) {
	d := Base()
	names := []string{"Session-Id", "User-Name", "Class", "Proxy-State", "Origin-State-Id", "CC-Total-Octets", "Event-Timestamp"}
	rapid.Check(t, func(t *rapid.T) {
		h := Header{Flags: Request, Command: uint32(rapid.IntRange(0, longestField).Draw(t, "command")), App: rapid.Uint32().Draw(t, "app"),
			HopByHop: rapid.Uint32().Draw(t, "hop"), EndToEnd: rapid.Uint32().Draw(t, "end")}
		w := NewBuilder(nil, h)
		depth := 0
		for range rapid.IntRange(0, 20).Draw(t, "AVPs") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if depth < MostDepth {
					w.Begin(d.Named("Proxy-Info"))
					depth++
				}
			case 1:
				if depth > 0 {
					w.End()
					depth--
				}
			default:
				w.Bytes(d.Named(rapid.SampledFrom(names).Draw(t, "name")), rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "value"))
			}
		}
		for ; depth > 0; depth-- {
			w.End()
		}
		m, err := w.Message()
		if err != nil {
			t.Fatal(err)
		}
		got, back, err := Parse(m, d)
		if h.Length = len(m); err != nil || back != h {
			t.Fatalf("%+v, %v", back, err)
		}
		again := NewBuilder(nil, h)
		for c := got.AVPs(); c.Next(); {
			again.Raw(c.AVP.Raw())
		}
		if copied, err := again.Message(); err != nil || !bytes.Equal(copied, m) {
			t.Fatalf("%x is not %x, %v", []byte(copied), []byte(m), err)
		}
		d.Check(got) // must not panic
	})
}

func TestBuilderTellsWhatItCannotWrite(t *testing.T) {
	d := Base()
	h := Header{Command: 1}
	for name, w := range map[string]*Builder{
		"a number for text": NewBuilder(nil, h).Uint32(d.Named("Session-Id"), 1),
		"an open group":     NewBuilder(nil, h).Begin(d.Named("Proxy-Info")),
		"an end too many":   NewBuilder(nil, h).End(),
		"too long":          NewBuilder(nil, h).Bytes(d.Named("Class"), make([]byte, MostMessage)),
		"command too large": NewBuilder(nil, Header{Command: 1 << 24}),
	} {
		if _, err := w.Message(); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	deep := NewBuilder(nil, h)
	for range MostDepth + 2 {
		deep.Begin(d.Named("Proxy-Info"))
	}
	for range MostDepth + 2 {
		deep.End()
	}
	m, err := deep.Message()
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Parse(m, d); err == nil {
		t.Error("groups without a bound on their depth")
	}
	many := NewBuilder(nil, h)
	for range MostAVPs + 1 {
		many.Bytes(d.Named("Class"), nil)
	}
	if m, err = many.Message(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Parse(m, d); err == nil {
		t.Error("AVPs without a bound on their number")
	}
}

// A stream in single bytes gives the same messages; a wrong message that has an end does not stop it; lost framing does.
func TestStreams(t *testing.T) {
	d := Base()
	one, two := claim(t, d, nil), Message(vector(t))
	wrong := append(Message(nil), two...)
	copy(wrong[25:], bytesOf(t, "0000ff"))
	all := bytes.Join([][]byte{one, wrong, two}, nil)
	for name, in := range map[string]io.Reader{"whole": bytes.NewReader(all), "bytes": iotest.OneByteReader(bytes.NewReader(all))} {
		r := NewReader(in, d)
		for i, want := range []ResultCode{0, InvalidAVPLength, 0} {
			m, h, err := r.Next()
			if e, ok := AsError(err); ok != (want != 0) || ok && (e.Code != want || e.Framing) || len(m) != h.Length || len(m) == 0 {
				t.Errorf("%s: message %d: %d bytes, %v", name, i, len(m), err)
			}
		}
		if _, _, err := r.Next(); err != io.EOF {
			t.Errorf("%s: at the end: %v", name, err)
		}
	}
	for cut := range len(one) {
		_, _, err := NewReader(bytes.NewReader(one[:cut]), d).Next()
		if cut == 0 && err != io.EOF || cut > 0 && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at %d: %v", cut, err)
		}
	}
	if _, _, err := NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\n"), d).Next(); err == nil || !err.(*Error).Framing {
		t.Errorf("another protocol: %v", err)
	}
}

func TestWalkingDoesNotAllocate(t *testing.T) {
	d := Base()
	m := claim(t, d, nil)
	if n := testing.AllocsPerRun(100, func() {
		if _, _, err := Parse(m, d); err != nil {
			t.Fatal(err)
		}
		if err := d.Check(m); err != nil {
			t.Fatal(err)
		}
		m.Find(0, 263)
	}); n > 0 {
		t.Errorf("%v allocations a message", n)
	}
}

func FuzzParse(f *testing.F) {
	d := Base()
	f.Add([]byte(claim(f, d, nil)))
	f.Add(vector(f))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b), d)
		for {
			m, h, err := r.Next()
			e, ours := AsError(err)
			if err != nil && !ours {
				return
			}
			if ours && e.Framing {
				return
			}
			if err == nil {
				err = d.Check(m)
				e, ours = AsError(err)
			}
			if ours { // whatever is wrong can be told to who sent it, and that can be read
				a, err := d.Refusal(m, h, e, "a.example", "example")
				if err != nil {
					if len(m) > MostMessage/2 {
						continue
					}
					t.Fatalf("no answer to %x: %v", []byte(m), err)
				}
				if _, _, err := Parse(a, nil); err != nil {
					t.Fatalf("the answer %x: %v", []byte(a), err)
				}
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	d := Base()
	m := claim(b, d, nil)
	b.SetBytes(int64(len(m)))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Parse(m, d); err != nil {
			b.Fatal(err)
		}
		if err := d.Check(m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	d := Base()
	b.ReportAllocs()
	for b.Loop() {
		claim(b, d, nil)
	}
}

// Whatever is a good message has a JSON form that is one, or an error in the RFC's terms.
func FuzzJSON(f *testing.F) {
	d := Base()
	f.Add([]byte(claim(f, d, nil)))
	f.Add(vector(f))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, _, err := Parse(b, d)
		if err != nil {
			return
		}
		text, err := d.JSON(m.AVPs())
		if _, ours := AsError(err); err != nil && !ours {
			t.Fatalf("%x: %v", b, err)
		}
		if err == nil && !json.Valid(text) {
			t.Fatalf("%x: %s", b, text)
		}
	})
}

// The JSON of a claim, written by hand: money is no float, what is unknown is kept, what is there twice is a list.
func TestJSON(t *testing.T) {
	d := Base()
	m, err := NewBuilder(nil, Header{Flags: Request, Command: 272, App: 4}).Text(d.Named("Session-Id"), "a;1").
		Begin(d.Named("CC-Money")).Begin(d.Named("Unit-Value")).Uint64(d.Named("Value-Digits"), 9007199254740993).Uint32(d.Named("Exponent"), math.MaxUint32-1).End().
		Uint32(d.Named("Currency-Code"), 646).End().Text(d.Named("Route-Record"), "x").Text(d.Named("Route-Record"), "y").
		Raw(bytesOf(t, "0000000b c0 000010 000028af 00ff0102")).Bytes(d.Named("CC-Correlation-Id"), []byte{0xfb}).
		Address(d.Named("Host-IP-Address"), netip.MustParseAddr("10.1.2.3")).Message()
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Session-Id":"a;1","CC-Money":{"Unit-Value":{"Value-Digits":"9007199254740993","Exponent":-2},"Currency-Code":646},` +
		`"Route-Record":["x","y"],"CC-Correlation-Id":"+w==","Host-IP-Address":"10.1.2.3","unknown":[{"code":11,"vendor":10415,"data":"AP8BAg=="}]}`
	if got, err := d.JSON(m.AVPs()); err != nil || string(got) != want {
		t.Errorf("%s, %v\nwant %s", got, err, want)
	}
}
