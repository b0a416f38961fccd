// Package strictconfig reads TOML files in which every key must be known. An error names the file, the line and the key.
package strictconfig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time in a file: "500ms", "2s", "1m30s".
type Duration time.Duration

// UnmarshalText reads a span.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time such as \"500ms\" or \"2s\"", text)
	}
	*s = Duration(d)
	return nil
}

// ReadFile gives a file's text, unless it is longer than most bytes. What is for errors: what the file is of.
func ReadFile(path, what string, most int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", what, err)
	}
	if info.Size() > most {
		return nil, fmt.Errorf("%s: %d bytes; %d are the most", path, info.Size(), most)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", what, err)
	}
	return text, nil
}

// Load reads a file and parses it. What is for errors: what the file is of.
func Load[T any](path, what string, most int64, parse func(path string, text []byte) (T, error)) (T, error) {
	text, err := ReadFile(path, what, most)
	if err != nil {
		var none T
		return none, err
	}
	return parse(path, text)
}

// ValidName tells whether a name is of small letters, digits and hyphens, 64 at most.
func ValidName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// Decode reads text into v. Path is for errors alone.
func Decode(path string, text []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown key %q", path, row, strings.Join(strict.Errors[0].Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		at := ""
		if key := decode.Key(); len(key) > 0 {
			at = strings.Join(key, ".") + ": "
		}
		return fmt.Errorf("%s:%d: %s%s", path, row, at, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}
