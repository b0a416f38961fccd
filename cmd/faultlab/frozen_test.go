package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestSimulateGivesTheKeptBytes guards the decisions: whatever is renamed or moved, equal arguments give the bytes that
// the program of c8fad44 gave. Each line of the file is a SHA-256 sum, an experiment and a seed.
func TestSimulateGivesTheKeptBytes(t *testing.T) {
	file, err := os.Open("testdata/simulate.sha256")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	played := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 {
			t.Fatalf("want a sum, an experiment and a seed: %q", lines.Text())
		}
		sum, name, seed := fields[0], fields[1], fields[2]
		code, out, errs := command("simulate", name, "--seed", seed, "--duration", "6s", "--quiet")
		if code != 0 {
			t.Errorf("%s, seed %s: exit code %d: %s", name, seed, code, errs)
		}
		if got := fmt.Sprintf("%x", sha256.Sum256([]byte(out))); got != sum {
			t.Errorf("%s, seed %s: sum %s, kept is %s", name, seed, got, sum)
		}
		played++
	}
	if played != 48 {
		t.Errorf("%d plays, want 48", played)
	}
}
