package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const goodConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"Services":[{"Name":"hand-in","Aim":800,"GiveUp":2000}],"Caps":{"ConnIdle":15000,"ConnectTimeout":250}}}`

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, from, to string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Replace(goodConfig, from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.json", "", "")
	for _, c := range []struct {
		name, args, out, errs string
		code                  int
	}{
		{"a good file", "config check " + good, `proxy "n0", 1 classes`, "", 0},
		{"no seed", "config check " + write("seed.json", `"1f"`, `"none"`), "", "seed.json: seed:", 1},
		{
			"few sockets", "config check " + write("few.json", "1024", "10"), "",
			"few.json: limits.sockets: 10, must be 64", 1,
		},
		{
			"an aim of nothing", "config check " + write("aim.json", "800", "0"), "",
			"aim.json: settings.Services.0.Aim: must be above 0", 1,
		},
		{"not JSON", "config check " + write("json.json", "{", ""), "", "json.json: ", 1},
		{
			"nowhere to listen", "config check " + write("addr.json", "127.0.0.1:0", ""), "",
			"addr.json: listen: must be given", 1,
		},
		{
			"a name twice",
			"config check " + write(
				"twice.json", `"GiveUp":2000}`, `"GiveUp":2000},{"Name":"hand-in","Aim":1,"GiveUp":1}`,
			),
			"", `twice.json: settings.Services.1.Name: "hand-in" is the name of Services.0 too`, 1,
		},
		{
			"a number that is none", "config check " + write("number.json", `15000`, `"soon"`), "",
			`number.json: settings.Caps.ConnIdle: "soon" is not a number`, 1,
		},
		{
			"a list that is none",
			"config check " + write("known.json", `"settings"`, `"known":{"generation":1,"instances":[{}]},"settings"`),
			"known.json: known: ", "", 0,
		},
		{"no such file", "config check " + dir + "/none", "", "no such file", 1},
		{"no file named", "config check", "", "takes one FILE", 2},
		{"the shipped services", "routes check ../../deploy/services.toml", "2 services, 2 routes", "", 0},
		{
			"a route", "routes explain ../../deploy/services.toml --path /api/x --class driver-payout",
			"* payouts: first", "", 0,
		},
		{"the default", "routes explain ../../deploy/services.toml --path /x", "* default: the default", "", 0},
		{"an unclear path", "routes explain ../../deploy/services.toml --path /x/../y", "", "read in two ways", 1},
		{
			"the shipped admission", "admission check ../../deploy/admission.toml", "25 % of them for known clients",
			"", 0,
		},
		{"the shipped comeback", "comeback check ../../deploy/comeback.toml", "in doubt for 30s", "", 0},
		{"bad comeback", "comeback check " + good, "", "good.json:", 1},
		{"bad admission", "admission check " + good, "", "good.json:", 1},
		{"bad services", "routes check " + good, "", "good.json:", 1},
		{"unknown command", "sreve", "", `"sreve"`, 2},
		{"unknown flag", "serve --fast", "", "--fast", 2},
		{"too much", "serve now", "", `"now"`, 2},
		{"version", "version", "lapisspread ", "", 0},
		{"help", "--help", "BALANCER_CONFIG", "", 0},
		{"completion", "completion bash", "bash completion", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errs strings.Builder
			if code := execute(strings.Fields(c.args), &out, &errs); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.errs) {
				t.Errorf("printed\n%s\nand to standard error\n%s", out.String(), errs.String())
			}
			if c.code == 1 && strings.Count(errs.String(), "\n") != 1 {
				t.Errorf("not one line:\n%s", errs.String())
			}
		})
	}
}
