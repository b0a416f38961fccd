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

// The example configuration in deploy, its namespace files and its quotas must be valid.
func TestExampleIsValid(t *testing.T) {
	config, err := api.Load(exampleFile)
	if err != nil {
		t.Fatalf("Load(%s) = error %v, want nil", exampleFile, err)
	}
	if findings, err := config.CheckNamespaces(); err != nil || len(findings) > 0 {
		t.Errorf("CheckNamespaces() of the example = findings %v, error %v; want none, nil", findings, err)
	}
	quotas := config.QuotaConfig()
	if quotas.Check() != nil || len(quotas.Quotas) != 2 || quotas.Quotas[0].Limit != 12000 {
		t.Errorf("QuotaConfig() of the example = %+v, Check() = %v; want 2 quotas, the first with limit 12000, and nil",
			quotas, quotas.Check())
	}
}

// Parse must reject each invalid change of the example file. The error must name the line or the key.
func TestErrorsNameKeyAndLine(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatalf("reading the example file: %v", err)
	}
	for _, test := range []struct{ old, new, want string }{
		{"burst = 1200.0", "bust = 1200.0", `fleet.toml:31: unknown key "budgets.bust"`},
		{`longest = "10s"`, `longest = "2s"`, "attempts: lease 3s"},
		{`longest = "10s"`, `longest = "ten"`, "fleet.toml:6: longest"},
		{"number = 2", "number = 1", "stewards[1]: number: 1 is already used"},
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
		{`name = "s3"`, `name = "s1"`, `stewards[2]: name: "s1" is already used`},
		{"[[stewards]]\nname = \"s3\"\nnumber = 3\naddress = \"127.0.0.1:7403\"\n", "", "stewards: 2"},
	} {
		changed := strings.Replace(string(text), test.old, test.new, 1)
		if changed == string(text) {
			t.Fatalf("replacing %q by %q left the example file unchanged, want a changed file", test.old, test.new)
		}
		_, err := api.Parse("fleet.toml", []byte(changed))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Parse of the example with %q replaced by %q = error %v, want one that contains %q",
				test.old, test.new, err, test.want)
		}
	}
}

// DecodeBody must reject bodies that are empty, truncated, longer than MaxBodyBytes, or that announce a huge array.
func TestBodiesAreBounded(t *testing.T) {
	var status api.ServerStatus
	for _, body := range [][]byte{
		nil, []byte("x"), make([]byte, api.MaxBodyBytes+1), {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		if err := api.DecodeBody(bytes.NewReader(body), &status); !errors.As(err, &api.MalformedMessageError{}) {
			t.Errorf("DecodeBody(%d bytes, first %x) = error %v, want MalformedMessageError",
				len(body), body[:min(len(body), 9)], err)
		}
	}
}
