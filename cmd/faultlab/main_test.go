package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lapisspread/internal/faultlab/report"
)

func command(args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = execute(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("name='x'\nnodes=4\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		args, out, errs string
		code            int
	}{
		{"list", "rain-evening", "", 0},
		{"--help", "simulate", "", 0},
		{"simulate nothing", "", `no ready experiment "nothing"`, 1},
		{"simulate " + bad, "", `bad.toml:2: unknown key "nodes"`, 1},
		{"simulate --policy best", "", `no policy "best"`, 1},
		{"simulate --nodes 1", "", "nodes: 1", 1},
		{"simulate --speed 3", "", "--speed", 2},
		{"simulate a b", "", "accepts at most 1", 2},
		{"compare one", "", "accepts 2", 2},
		{"load http://192.0.2.7/", "", "loopback", 1},
		{"load http://127.0.0.1/ --header x", "", "--header", 2},
		{"scale --nodes ten", "", `"ten"`, 2},
		{"flood calm", "", "it has no flood", 1},
		{"flood-client --targets 192.0.2.7:80", "", "loopback", 1},
		{"overload calm", "", "it has no sweep", 1},
		{"comeback calm", "", "it has no fault to come back from", 1},
		{"capacity --proxies 1", "", "proxies: 1 is not within", 2},
		{"capacity --proxy /nowhere/lapisspread --proxies 9000 --each 10", "", "too many processes", 1},
		{"comeback --seeds ten", "", `"ten"`, 2},
		{"run --policy best", "", `no policy "best"`, 1},
		{"run --proxy /nowhere/lapisspread --duration 1s", "", "/nowhere/lapisspread", 1},
		{"simulate calm --policy drops --duration 30s --quiet", `"rules_broken"`, "no final answer", 1},
	} {
		code, out, errs := command(strings.Fields(k.args)...)
		if code != k.code || !strings.Contains(out, k.out) || !strings.Contains(errs, k.errs) {
			t.Errorf("%s: code %d, want %d; printed %q and %q", k.args, code, k.code, out[:min(len(out), 200)], errs)
		}
	}
}

func TestDiameterDecode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "m.hex")
	text := "0100004c 80000118 00000000 11223344 55667788\n000001084000000e612e6578616d0000\n00000128400000106578616d706c652e\n" +
		"000001164000000c0000002a\n0000000bc000000c000028af\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, errs := command("diameter", "decode", "--hex", path)
	for _, want := range []string{"1: Device-Watchdog request", `Origin-Host: "a.exam"`, "Origin-State-Id: 42", "AVP 11 of vendor 10415", "wrong: "} {
		if !strings.Contains(out, want) {
			t.Errorf("%q lacks %q", out, want)
		}
	}
	if code != 1 || !strings.Contains(errs, "1 messages are wrong") {
		t.Errorf("code %d: %s", code, errs)
	}
	if code, _, errs := command("diameter", "decode", path); code != 1 || !strings.Contains(errs, "framing") {
		t.Errorf("digits for bytes: code %d: %s", code, errs)
	}
}

func TestSummariesCanBeReadBackAndCompared(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json")
	for path, policy := range map[string]string{a: "module", b: "random"} {
		if code, _, errs := command("simulate", "hang", "--duration", "6s", "--policy", policy, "--quiet", "--json", path); code != 0 {
			t.Fatalf("%s: %s", policy, errs)
		}
	}
	code, out, errs := command("compare", a, b)
	if code != 0 || !strings.Contains(out, "trip-close: p99 ms") || strings.Contains(out, "different worlds") {
		t.Errorf("code %d: %s%s", code, out, errs)
	}
	s, err := report.Read(a)
	if err != nil {
		t.Fatal(err)
	}
	page, err := report.Folder(filepath.Join(dir, "report"), s)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "trip-close", "hang", "Rules broken: 0"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, never := range []string{"http-equiv", "src=\"http", "<script", "<link"} {
		if strings.Contains(string(text), never) {
			t.Errorf("the page is not on its own: %q", never)
		}
	}
	lines, err := os.ReadFile(filepath.Join(dir, "report", "events.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(lines)), "\n") {
		if e := (report.Event{}); json.Unmarshal([]byte(line), &e) != nil || e.Event == "" {
			t.Errorf("line %d: %s", i, line)
		}
	}
	if err := os.WriteFile(b, []byte(`{"schema":99}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := command("compare", a, b); code != 1 || !strings.Contains(errs, "schema: 99") {
		t.Errorf("a newer schema: code %d, %s", code, errs)
	}
}

func TestExperimentTellsDifferences(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e.toml")
	text := "name='two'\nduration='5s'\nseeds=[1,2,3]\n[world]\nload=0.5\n[[fault]]\nkind='hang'\nat='1s'\nfor='3s'\nshare=0.2\n" +
		"[[variant]]\nname='ours'\npolicy='module'\n[[variant]]\nname='chance'\npolicy='random'\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(filepath.Dir(path), "out.json")
	code, printed, errs := command("experiment", path, "--json", out)
	if code != 0 || !strings.Contains(printed, "chance") || !strings.Contains(printed, "worse") {
		t.Fatalf("code %d: %s%s", code, printed, errs)
	}
	var res outcome
	file, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(file, &res); err != nil || len(res.Variants) != 2 || len(res.Variants[1].G) != 3 || res.Variants[1].Against == nil {
		t.Errorf("%v: %+v", err, res)
	}
}
