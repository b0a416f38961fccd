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
		t.Fatal(err)
	}
	if time.Duration(c.Wait) != 90*time.Second || c.Limit.Count != 3 {
		t.Errorf("got %+v", c)
	}
	for text, want := range map[string]string{
		"wait = \"1s\"\n[limit]\ncounts = 3\n":    `a.toml:3: unknown key "limit.counts"`,
		"wait = \"soon\"\n":                       `a.toml:1: `,
		"wait = \"1s\"\n[limit]\ncount = \"3\"\n": `a.toml:3: limit.count: `,
		"wait =\n": `a.toml:1: `,
	} {
		if err := Decode("a.toml", []byte(text), &config{}); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.toml")
	if _, err := ReadFile(path, "the settings", 4); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a file: %v", err)
	}
	if err := os.WriteFile(path, []byte("a=1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, err := ReadFile(path, "the settings", 4); err != nil || string(text) != "a=1\n" {
		t.Errorf("got %q, %v", text, err)
	}
	if _, err := ReadFile(path, "the settings", 3); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("a file that is too long: %v", err)
	}
}

func TestValidName(t *testing.T) {
	for name, want := range map[string]bool{
		"a": true, "pay-1": true, strings.Repeat("a", 64): true,
		"": false, "Pay": false, "a.b": false, strings.Repeat("a", 65): false,
	} {
		if got := ValidName(name); got != want {
			t.Errorf("%q: %v", name, got)
		}
	}
}
