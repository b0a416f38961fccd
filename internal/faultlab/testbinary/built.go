// Package testbinary gives tests the proxy's program, built once for all tests of a package.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

var proxy = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lapisspread-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "lapisspread")
	if text, err := exec.Command("go", "build", "-o", path, "lapisspread/cmd/lapisspread").CombinedOutput(); err != nil {
		return path, fmt.Errorf("building the proxy: %w: %s", err, text)
	}
	return path, nil
})

// Proxy is the path of the program.
func Proxy(t testing.TB) string {
	t.Helper()
	path, err := proxy()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// Main runs a package's tests and removes the program. A package that uses Proxy calls it from its TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if path, _ := proxy(); path != "" {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}
