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
	maxLineWidth     = 110 // characters, with a tab counted as four
	maxTestLineWidth = 120
	overviewFile     = "doc.go"
	deployFile       = "../deploy/balancer.toml"
)

// The overview in doc.go names the file of each rule, and the files are short enough to be read from top to bottom.
func TestFilesAreShortAndNamedInOverview(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("Glob(*.go) = %d files, error %v, want at least one", len(files), err)
	}
	overview, err := os.ReadFile(overviewFile)
	if err != nil {
		t.Fatalf("reading the overview: %v", err)
	}
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		t.Fatalf("reading the deployment settings: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatalf("reading a source file: %v", err)
		}
		width := maxLineWidth
		if strings.HasSuffix(file, "_test.go") {
			width = maxTestLineWidth
		}
		lines := strings.Split(string(text), "\n")
		for n, line := range lines {
			if w := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); w > width {
				t.Errorf("%s:%d is %d characters wide, want at most %d", file, n+1, w, width)
			}
		}
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, want at most %d", file, len(lines), maxFileLines)
		}
		if width == maxLineWidth && file != overviewFile && !strings.Contains(string(overview), file) {
			t.Errorf("%s does not name the file %s, want each source file in its list", overviewFile, file)
		}
		if width == maxLineWidth && file != overviewFile && !strings.Contains(string(deploy), `"decision/`+file+`"`) {
			t.Errorf("%s does not name the file %s, want each source file in its list", deployFile, file)
		}
	}
}
