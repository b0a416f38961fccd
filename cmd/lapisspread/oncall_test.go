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

// logMessages returns the messages of warnings and errors in the Go files below a directory, each with its place.
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
		t.Fatal(err)
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

// An engineer on call finds every warning and error of the log on the page for staff on call.
func TestOnCallPageHasEachWarningAndError(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "on-call.md"))
	if err != nil {
		t.Fatal(err)
	}
	messages := logMessages(t, filepath.Join("..", "..", "internal"))
	if len(messages) < 50 {
		t.Fatalf("%d messages found: the search has missed some", len(messages))
	}
	for message, path := range messages {
		if !strings.Contains(string(page), "`"+message) {
			t.Errorf("%s: %q is not on the page", path, message)
		}
	}
}
