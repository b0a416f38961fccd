package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// alertingCalls are the functions whose first argument is the message of a warning or an error in the log.
var alertingCalls = map[string]bool{"Warn": true, "Error": true, "warn": true, "reloadFailed": true}

// logMessages returns the messages of warnings and errors in the Go files below a directory, each with the path of its
// file.
func logMessages(t *testing.T, directory string) map[string]string {
	t.Helper()
	messages := map[string]string{}
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "faultlab" || entry.Name() == "enginetest") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if message := alertMessage(node); message != "" {
				messages[message] = path
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatalf("parsing the Go files below %s: %v", directory, err)
	}
	return messages
}

// alertMessage returns the literal message of a call that logs a warning or an error, or its first literal part.
func alertMessage(node ast.Node) string {
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !alertingCalls[selector.Sel.Name] {
		return ""
	}
	argument := call.Args[0]
	if sum, ok := argument.(*ast.BinaryExpr); ok {
		argument = sum.X
	}
	literal, ok := argument.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	message, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return message
}

// Every warning and error message of the log is on the on-call page.
func TestOnCallPageHasEachWarningAndError(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "on-call.md"))
	if err != nil {
		t.Fatalf("reading the on-call page: %v", err)
	}
	messages := logMessages(t, filepath.Join("..", "..", "internal"))
	if len(messages) < 50 {
		t.Fatalf("found %d log messages in internal, want at least 50: the search misses calls", len(messages))
	}
	for message, path := range messages {
		if !strings.Contains(string(page), "`"+message) {
			t.Errorf("%s: log message %q is missing in docs/on-call.md", path, message)
		}
	}
}
