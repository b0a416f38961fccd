package decision

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// A file that is too long or too wide can't be read at night.
func TestFilesAreShortAndNamedInOverview(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for n, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if w := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); w > 110 {
				t.Errorf("%s, line %d is %d characters wide", file, n+1, w)
			}
		}
		if lines > 1200 {
			t.Errorf("%s has %d lines that are not blank, 1200 at most", file, lines)
		}
	}
	text, err := os.ReadFile("balancer.go")
	if err != nil {
		t.Fatal(err)
	}
	if top := strings.Join(strings.SplitN(string(text), "\n", 6)[:5], "\n"); !strings.Contains(top, "api.go") {
		t.Error("the top does not name api.go")
	}
}
