// Package strictconfig reads TOML files in which an unknown key is an error. Its errors name the file, the line if
// there is one, and the key.
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

// maxNameLength is the maximum length of a valid name in bytes.
const maxNameLength = 64

// Duration is a duration that a file gives as text, such as "500ms", "2s" or "1m30s"; see time.ParseDuration.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if the text is not a valid duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time such as \"500ms\" or \"2s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// ReadFile returns the text of a file. It returns an error if the file cannot be read or is longer than maxBytes. what
// describes the content of the file in errors, for example "the services".
func ReadFile(path, what string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", what, err)
	}
	if info.Size() > maxBytes {
		// The reply to the admin command ROUTES can contain this text, which must not change: maxBytes is the maximum.
		return nil, fmt.Errorf("%s: %d bytes; %d are the most", path, info.Size(), maxBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", what, err)
	}
	return text, nil
}

// Load reads a file like ReadFile and returns the result of parse for its text.
func Load[T any](path, what string, maxBytes int64, parse func(path string, text []byte) (T, error)) (T, error) {
	text, err := ReadFile(path, what, maxBytes)
	if err != nil {
		var zero T
		return zero, err
	}
	return parse(path, text)
}

// ValidName reports whether a name consists of 1 to 64 lower-case letters, digits and hyphens.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// Decode decodes the TOML text of a file into v, which must be a pointer. An unknown key is an error. path is used in
// errors only.
func Decode(path string, text []byte, v any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		return nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %q", path, line, strings.Join(first.Key(), "."))
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		key := ""
		if parts := invalid.Key(); len(parts) > 0 {
			key = strings.Join(parts, ".") + ": "
		}
		return fmt.Errorf("%s:%d: %s%s", path, line, key, strings.TrimPrefix(invalid.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}
