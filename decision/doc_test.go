package decision

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxFileLines     = 500
	maxLineWidth     = 110 // with tabs of four
	maxTestLineWidth = 120
	overviewFile     = "doc.go"
	deployFile       = "../deploy/balancer.toml"
)

// Each rule can be found in the overview, and its file read from top to bottom.
func TestFilesAreShortAndNamedInOverview(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	overview, err := os.ReadFile(overviewFile)
	if err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		width := maxLineWidth
		if strings.HasSuffix(file, "_test.go") {
			width = maxTestLineWidth
		}
		lines := strings.Split(string(text), "\n")
		for n, line := range lines {
			if w := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); w > width {
				t.Errorf("%s:%d is %d characters wide", file, n+1, w)
			}
		}
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, %d at most", file, len(lines), maxFileLines)
		}
		if width == maxLineWidth && file != overviewFile && !strings.Contains(string(overview), file) {
			t.Errorf("%s does not name %s", overviewFile, file)
		}
		if width == maxLineWidth && file != overviewFile && !strings.Contains(string(deploy), `"decision/`+file+`"`) {
			t.Errorf("%s does not name %s", deployFile, file)
		}
	}
}
