package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"Services":[{"Name":"hand-in","Aim":800,"GiveUp":2000}],"Caps":{"ConnIdle":15000,"ConnectTimeout":250}}}`

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, from, to string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Replace(validConfig, from, to, 1)), 0o600); err != nil {
			t.Fatalf("writing configuration %s: %v", name, err)
		}
		return path
	}
	good := write("good.json", "", "")
	for _, c := range []struct {
		name, args     string
		stdout, stderr string // substrings of what the command prints
		exitCode       int
	}{
		{"valid configuration", "config check " + good, `proxy "n0", 1 classes`, "", 0},
		{"invalid seed", "config check " + write("seed.json", `"1f"`, `"none"`), "", "seed.json: seed:", 1},
		{
			"too few sockets", "config check " + write("few.json", "1024", "10"), "",
			"few.json: limits.sockets: 10, must be 64", 1,
		},
		{
			"zero Aim", "config check " + write("aim.json", "800", "0"), "",
			"aim.json: settings.Services.0.Aim: must be above 0", 1,
		},
		{"not JSON", "config check " + write("json.json", "{", ""), "", "json.json: ", 1},
		{
			"no listen address", "config check " + write("addr.json", "127.0.0.1:0", ""), "",
			"addr.json: listen: must be given", 1,
		},
		{
			"duplicate service name",
			"config check " + write(
				"twice.json", `"GiveUp":2000}`, `"GiveUp":2000},{"Name":"hand-in","Aim":1,"GiveUp":1}`,
			),
			"", `twice.json: settings.Services.1.Name: "hand-in" is the name of Services.0 too`, 1,
		},
		{
			"text in place of a number", "config check " + write("number.json", `15000`, `"soon"`), "",
			`number.json: settings.Caps.ConnIdle: "soon" is not a number`, 1,
		},
		{
			"invalid initial endpoint list",
			"config check " + write("known.json", `"settings"`, `"known":{"generation":1,"instances":[{}]},"settings"`),
			"known.json: known: ", "", 0,
		},
		{"missing file", "config check " + dir + "/none", "", "no such file", 1},
		{"no file argument", "config check", "", "takes one FILE", 2},
		{
			"check of the shipped services file", "routes check ../../deploy/services.toml",
			"2 services, 2 routes", "", 0,
		},
		{
			"explain a request that matches a route",
			"routes explain ../../deploy/services.toml --path /api/x --class driver-payout",
			"* payouts: first", "", 0,
		},
		{
			"explain a request that matches no route", "routes explain ../../deploy/services.toml --path /x",
			"* default: the default", "", 0,
		},
		{"ambiguous path", "routes explain ../../deploy/services.toml --path /x/../y", "", "read in two ways", 1},
		{
			"check of the shipped admission file", "admission check ../../deploy/admission.toml",
			"25 % of them for known clients", "", 0,
		},
		{
			"check of the shipped endpoint list guard file", "comeback check ../../deploy/comeback.toml",
			"in doubt for 30s", "", 0,
		},
		{"invalid endpoint list guard file", "comeback check " + good, "", "good.json:", 1},
		{"invalid admission file", "admission check " + good, "", "good.json:", 1},
		{"invalid services file", "routes check " + good, "", "good.json:", 1},
		{"unknown command", "sreve", "", `"sreve"`, 2},
		{"unknown flag", "serve --fast", "", "--fast", 2},
		{"extra argument", "serve now", "", `"now"`, 2},
		{"version", "version", "lapisspread ", "", 0},
		{"help", "--help", "BALANCER_CONFIG", "", 0},
		{"completion", "completion bash", "bash completion", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr strings.Builder
			if code := execute(strings.Fields(c.args), &stdout, &stderr); code != c.exitCode {
				t.Errorf("lapisspread %s: exit code %d, want %d", c.args, code, c.exitCode)
			}
			if !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr) {
				t.Errorf("lapisspread %s: standard output %q, want it to contain %q; "+
					"standard error %q, want it to contain %q",
					c.args, stdout.String(), c.stdout, stderr.String(), c.stderr)
			}
			if c.exitCode == 1 && strings.Count(stderr.String(), "\n") != 1 {
				t.Errorf("lapisspread %s: standard error %q, want exactly one line", c.args, stderr.String())
			}
		})
	}
}
