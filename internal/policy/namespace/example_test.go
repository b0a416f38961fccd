package namespace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// exampleNames lists the namespaces of the example fleet that have a policy file, by increasing delegation depth.
var exampleNames = []string{"dispatch", "settlement", "booking-desks"}

// exampleDeclaration is the file name, without .toml, of the example fleet's ownership declaration.
const exampleDeclaration = "charter"

// exampleFleet holds the declaration and the policy files of the example under deploy/fleet.
type exampleFleet struct {
	t           testing.TB
	declaration *Declaration
	texts       map[string]string // file contents, by file name without .toml
}

// newExampleFleet reads the example from deploy/fleet.
func newExampleFleet(t testing.TB) *exampleFleet {
	t.Helper()
	e := &exampleFleet{t: t, texts: map[string]string{}}
	for _, name := range append([]string{exampleDeclaration}, exampleNames...) {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "fleet", name+".toml"))
		if err != nil {
			t.Fatalf("read the example fleet: %v", err)
		}
		e.texts[name] = string(text)
	}
	e.declaration = e.declarationWith()
	return e
}

// replaceEach replaces, for each pair of an old and a new text, the first occurrence of the old text by the new one.
func replaceEach(t testing.TB, text string, pairs ...string) string {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("replaceEach: the text to replace, %q, is not in:\n%s", pairs[i], text)
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// mustParseDeclaration parses a valid declaration.
func mustParseDeclaration(t testing.TB, text string) *Declaration {
	t.Helper()
	d, err := ParseDeclaration("charter.toml", []byte(text))
	if err != nil {
		t.Fatalf("ParseDeclaration of a valid declaration: %v", err)
	}
	return d
}

// mustParse parses a valid policy file.
func mustParse(t testing.TB, text string) *File {
	t.Helper()
	f, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatalf("Parse of a valid file: %v", err)
	}
	return f
}

// declarationWith returns the example's declaration with texts replaced as replaceEach does.
func (e *exampleFleet) declarationWith(pairs ...string) *Declaration {
	e.t.Helper()
	return mustParseDeclaration(e.t, replaceEach(e.t, e.texts[exampleDeclaration], pairs...))
}

// file returns the file of a namespace with texts replaced as replaceEach does.
func (e *exampleFleet) file(name string, pairs ...string) *File {
	e.t.Helper()
	return mustParse(e.t, replaceEach(e.t, e.texts[name], pairs...))
}

// renumbered returns the file of a namespace with another number, and with texts replaced as replaceEach does.
func (e *exampleFleet) renumbered(name, number string, pairs ...string) *File {
	e.t.Helper()
	oldNumber := map[string]string{
		"dispatch": "number = 7", "settlement": "number = 12", "booking-desks": "number = 3",
	}[name]
	return e.file(name, append([]string{oldNumber, "number = " + number}, pairs...)...)
}

// files returns the files of all namespaces, unchanged.
func (e *exampleFleet) files() []*File {
	e.t.Helper()
	var files []*File
	for _, name := range exampleNames {
		files = append(files, e.file(name))
	}
	return files
}
