package namespace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// exampleNames are the namespaces of the example fleet in the order of their depth.
var exampleNames = []string{"dispatch", "settlement", "booking-desks"}

// exampleDeclaration is the name of the example's ownership declaration.
const exampleDeclaration = "charter"

// exampleFleet is the example under deploy/fleet.
type exampleFleet struct {
	t           testing.TB
	declaration *Declaration
	texts       map[string]string
}

func newExampleFleet(t testing.TB) *exampleFleet {
	t.Helper()
	e := &exampleFleet{t: t, texts: map[string]string{}}
	for _, name := range append([]string{exampleDeclaration}, exampleNames...) {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "fleet", name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		e.texts[name] = string(text)
	}
	e.declaration = e.declarationWith()
	return e
}

// replaceEach replaces the first of each pair of texts by the second, once.
func replaceEach(t testing.TB, text string, pairs ...string) string {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("%q is not in the text", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

func mustParseDeclaration(t testing.TB, text string) *Declaration {
	t.Helper()
	d, err := ParseDeclaration("charter.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func mustParse(t testing.TB, text string) *File {
	t.Helper()
	f, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// declarationWith returns the example's declaration with texts replaced.
func (e *exampleFleet) declarationWith(pairs ...string) *Declaration {
	e.t.Helper()
	return mustParseDeclaration(e.t, replaceEach(e.t, e.texts[exampleDeclaration], pairs...))
}

// file returns the file of a namespace with texts replaced.
func (e *exampleFleet) file(name string, pairs ...string) *File {
	e.t.Helper()
	return mustParse(e.t, replaceEach(e.t, e.texts[name], pairs...))
}

// renumbered returns the file of a namespace with another number and with texts replaced.
func (e *exampleFleet) renumbered(name, number string, pairs ...string) *File {
	e.t.Helper()
	old := map[string]string{
		"dispatch": "number = 7", "settlement": "number = 12", "booking-desks": "number = 3",
	}[name]
	return e.file(name, append([]string{old, "number = " + number}, pairs...)...)
}

// files returns all files.
func (e *exampleFleet) files() []*File {
	e.t.Helper()
	var files []*File
	for _, name := range exampleNames {
		files = append(files, e.file(name))
	}
	return files
}
