package wire

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"lapisspread/decision"
)

// maxListLength is the maximum length that a settings text may state for a list. An index has at most four
// bytes in a frame, and no list is longer than this.
const maxListLength = 4096

// LineError reports the line of a settings text that is malformed or has an invalid value.
type LineError struct {
	Line int // line number, from 1
	Err  error
}

// Error implements error. The text is one line.
func (e *LineError) Error() string { return fmt.Sprintf("settings line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause, which is a *decision.SettingError unless the line is not of the form
// key=value.
func (e *LineError) Unwrap() error { return e.Err }

// settings holds the lines of a settings text by key. Each of its methods reads one value and returns a default if the
// key is absent. The first invalid value is kept as an error in err.
type settings struct {
	lines map[string]settingLine
	err   error
}

type settingLine struct {
	number int // line number, from 1
	value  string
}

// splitLines parses the lines of a settings text, which have the form key=value. If a key is repeated, the last line
// is used.
func splitLines(text string) (*settings, error) {
	s := &settings{lines: map[string]settingLine{}}
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimRight(line, "\r\n")
		if strings.TrimSpace(line) == "" {
			continue
		}
		key, value, found := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		if !found || key == "" {
			return nil, &LineError{Line: number, Err: fmt.Errorf("%q is not of the form key=value", line)}
		}
		s.lines[key] = settingLine{number: number, value: strings.TrimSpace(value)}
	}
	return s, nil
}

// reject records that the value of key is invalid; want says what was expected. Only the first error is kept.
func (s *settings) reject(key, want string) {
	if s.err != nil {
		return
	}
	line := s.lines[key]
	reason := fmt.Sprintf("%q is not %s", line.value, want)
	s.err = &LineError{Line: line.number, Err: &decision.SettingError{Field: key, Reason: reason}}
}

func (s *settings) text(key string) string { return s.lines[key].value }

func (s *settings) number(key string, absent float64) float64 {
	line, found := s.lines[key]
	if !found {
		return absent
	}
	n, err := strconv.ParseFloat(line.value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.reject(key, "a number")
		return absent
	}
	return n
}

// duration reads a value in milliseconds; the default is 0.
func (s *settings) duration(key string) time.Duration {
	d, err := durationFromMillis(s.number(key, 0))
	if err != nil {
		s.reject(key, "a span")
	}
	return d
}

func (s *settings) integer(key string, absent int) int {
	n := s.number(key, float64(absent))
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		s.reject(key, "a whole number")
		return absent
	}
	return int(n)
}

func (s *settings) listLength(key string) int {
	n := s.integer(key, 0)
	if n < 0 || n > maxListLength {
		s.reject(key, "a list's length")
		return 0
	}
	return n
}

func (s *settings) boolean(key string) bool { return s.choice(key, "false", "true") == "true" }

// choice reads a value that must be one of words. The first word is the default.
func (s *settings) choice(key string, words ...string) string {
	line, found := s.lines[key]
	if !found {
		return words[0]
	}
	if slices.Contains(words, line.value) {
		return line.value
	}
	s.reject(key, "one of "+strings.Join(words, ", "))
	return words[0]
}
