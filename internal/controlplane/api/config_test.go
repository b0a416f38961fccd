package api_test

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"lapisspread/internal/controlplane/api"
)

const exampleFile = "../../../deploy/fleet.toml"

func TestExampleIsValid(t *testing.T) {
	f, err := api.Load(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	if held, err := f.CheckNamespaces(); err != nil || len(held) > 0 {
		t.Errorf("its namespaces: %v, %v", held, err)
	}
	if g := f.QuotaConfig(); g.Check() != nil || len(g.Quotas) != 2 || g.Quotas[0].Limit != 12000 {
		t.Errorf("%+v", g)
	}
}

// Each change of the example is rejected, and the error names the place.
func TestErrorsNameKeyAndLine(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"burst = 1200.0", "bust = 1200.0", `fleet.toml:31: unknown key "budgets.bust"`},
		{`longest = "10s"`, `longest = "2s"`, "attempts: lease 3s"},
		{`longest = "10s"`, `longest = "ten"`, "fleet.toml:6: longest"},
		{"number = 2", "number = 1", "stewards[1]: number: 1 is another's too"},
		{`address = "127.0.0.1:7402"`, `address = "nowhere"`, "stewards[1]: address"},
		{`counts = "retries"`, `counts = "tries"`, "budgets[1]: of: counts"},
		{"version = 1", "version = 2", "version: 2"},
		{"version = 1", "version = 1\npolicy = { routes = true, wach = \"1m\" }", `unknown key "wach"`},
		{"version = 1", "version = 1\npolicy = { enough = -1 }", "policy: enough: -1"},
		{"whole = 1200.0", "whole = -1.0", "retries: whole"},
		{"act = false", "act = 1", "fleet.toml:42: view.act"},
		{"transit =", "tansit =", `fleet.toml:43: unknown key "view.tansit"`},
		{`transit = "250ms"`, `transit = "2m"`, "view: staleness: transit: 2m0s"},
		{"ageing = 0.8", "ageing = 0.98", "view: staleness: levels: must be"},
		{`name = "s3"`, `name = "s1"`, `stewards[2]: name: "s1" is another's too`},
		{"[[stewards]]\nname = \"s3\"\nnumber = 3\naddress = \"127.0.0.1:7403\"\n", "", "stewards: 2"},
	} {
		changed := strings.Replace(string(text), c.old, c.new, 1)
		if changed == string(text) {
			t.Fatalf("the example has no %q", c.old)
		}
		if _, err := api.Parse("fleet.toml", []byte(changed)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.new, err, c.want)
		}
	}
}

func TestBodiesAreBounded(t *testing.T) {
	var s api.ServerStatus
	for _, body := range [][]byte{
		nil, []byte("x"), make([]byte, api.MaxBodyBytes+1), {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		if err := api.DecodeBody(bytes.NewReader(body), &s); !errors.As(err, &api.MalformedMessageError{}) {
			t.Errorf("%d bytes: %v", len(body), err)
		}
	}
}
