package strictconfig

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type config struct {
	Wait  Duration `toml:"wait"`
	Limit struct {
		Count int `toml:"count"`
	} `toml:"limit"`
}

func TestDecode(t *testing.T) {
	var c config
	if err := Decode("a.toml", []byte("wait = \"1m30s\"\n[limit]\ncount = 3\n"), &c); err != nil {
		t.Fatalf("Decode of a valid text: %v", err)
	}
	if time.Duration(c.Wait) != 90*time.Second || c.Limit.Count != 3 {
		t.Errorf("Decode of a valid text set %+v, want Wait 1m30s and Limit.Count 3", c)
	}
	for text, want := range map[string]string{
		"wait = \"1s\"\n[limit]\ncounts = 3\n":    `a.toml:3: unknown key "limit.counts"`,
		"wait = \"soon\"\n":                       `a.toml:1: `,
		"wait = \"1s\"\n[limit]\ncount = \"3\"\n": `a.toml:3: limit.count: `,
		"wait =\n": `a.toml:1: `,
	} {
		if err := Decode("a.toml", []byte(text), &config{}); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("Decode(%q) returned error %v, want one that starts with %q", text, err, want)
		}
	}
}

func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.toml")
	if _, err := ReadFile(path, "the settings", 4); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("ReadFile of a missing file returned error %v, want fs.ErrNotExist", err)
	}
	if err := os.WriteFile(path, []byte("a=1\n"), 0o600); err != nil {
		t.Fatalf("writing a file of 4 bytes: %v", err)
	}
	if text, err := ReadFile(path, "the settings", 4); err != nil || string(text) != "a=1\n" {
		t.Errorf("ReadFile of 4 bytes with limit 4 = %q, %v; want \"a=1\\n\", nil", text, err)
	}
	if _, err := ReadFile(path, "the settings", 3); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("ReadFile of 4 bytes with limit 3 returned error %v, want one that contains %s", err, path)
	}
}

func TestValidName(t *testing.T) {
	for name, want := range map[string]bool{
		"a": true, "pay-1": true, strings.Repeat("a", 64): true,
		"": false, "Pay": false, "a.b": false, strings.Repeat("a", 65): false,
	} {
		if got := ValidName(name); got != want {
			t.Errorf("ValidName(%q) = %v, want %v", name, got, want)
		}
	}
}
