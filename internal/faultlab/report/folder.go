package report

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f %%", 100*v) },
	"seconds": func(ms float64) float64 { return ms / 1000 },
}).Parse(pageText))

// Folder writes a run's report into a folder: summary.json, events.jsonl and index.html, which opens without a
// network. It gives the page's path.
func Folder(dir string, s *Summary) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("the report: %w", err)
	}
	if err := s.Write(filepath.Join(dir, "summary.json")); err != nil {
		return "", err
	}
	if err := writeFile(filepath.Join(dir, "events.jsonl"), s.Events); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "index.html")
	return path, writeFile(path, s.Page)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("the report: %w", err)
	}
	w := bufio.NewWriter(f)
	if err := errors.Join(write(w), w.Flush(), f.Close()); err != nil {
		return fmt.Errorf("the report %s: %w", path, err)
	}
	return nil
}

// Page writes the report for people.
func (s *Summary) Page(w io.Writer) error {
	var plots []template.HTML
	for _, draw := range []func() (string, error){s.worthPlot, s.ratePlot, s.latencyPlot, s.nodePlot} {
		p, err := draw()
		if err != nil {
			return err
		}
		plots = append(plots, template.HTML(p))
	}
	return page.Execute(w, map[string]any{"S": s, "Plots": plots})
}

// Event is a line of events.jsonl.
type Event struct {
	At     float64 `json:"at_s"`
	Event  string  `json:"event"` // "second", "fault", "breach", "problem", "end"
	Detail any     `json:"detail"`
}

// Events writes what happened, one JSON object a line, by kind and in each by time.
func (s *Summary) Events(w io.Writer) error {
	e := json.NewEncoder(w)
	put := func(at float64, event string, detail any) error { return e.Encode(Event{at, event, detail}) }
	var errs []error
	for _, f := range s.Faults {
		errs = append(errs, put(f.From, "fault", f))
	}
	for i, x := range s.Seconds {
		errs = append(errs, put(float64(i), "second", x))
	}
	for _, b := range s.Breaches {
		errs = append(errs, put(b.AtMs/1000, "breach", b))
	}
	for _, p := range s.Problems {
		errs = append(errs, put(s.Duration, "problem", p))
	}
	errs = append(errs, put(s.Duration, "end", s.Worth))
	return errors.Join(errs...)
}
