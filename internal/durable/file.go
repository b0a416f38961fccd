package durable

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Errors of File.Load and Journal.Load, which errors.Is finds.
var (
	// ErrDamaged is returned for a file that is not what was written, or is of another kind.
	ErrDamaged = errors.New("it is damaged")
	// ErrNewerVersion is returned for a file whose version is higher than the reader's.
	ErrNewerVersion = errors.New("a newer program has written it")
)

// maxFileBytes is the length of the longest file that is read.
const maxFileBytes = 64 << 20

// temporaryPattern is appended to the path of a file, for the one that replaces it.
const temporaryPattern = ".*"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is a value on disk. It is not safe for concurrent use, neither by goroutines nor by processes.
type File struct {
	Path    string
	Kind    string // names the type of the value, without blanks
	Version int    // of the value's format, from 1 on; higher ones are not read
}

// fileHeader is the format of the first line: kind, version, length of the value in bytes, and its checksum.
const fileHeader = "%s %d %d %08x\n"

// Save replaces the value in one step, so that no reader sees a part of it. The value is stored as JSON.
func (f *File) Save(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("durable: %s: %w", f.Path, err)
	}
	next, err := createNext(f.Path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(next, fileHeader+"%s", f.Kind, f.Version, len(text), crc32.Checksum(text, castagnoli), text)
	if err := replace(f.Path, next, err); err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	return nil
}

// createNext creates the file that will replace another.
func createNext(path string) (*os.File, error) {
	next, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+temporaryPattern)
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	return next, nil
}

// replace closes a file and puts it in the place of the one at path. After an error, its own or of writing, it removes
// the file instead.
func replace(path string, next *os.File, writeErr error) error {
	err := writeErr
	if closeErr := next.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(next.Name(), path)
	}
	if err != nil {
		_ = os.Remove(next.Name()) // the first error is what matters
	}
	return err
}

// Load reads the value into v. Its error is fs.ErrNotExist if none was written, ErrDamaged, or ErrNewerVersion; the
// content of v is then undefined.
func (f *File) Load(v any) error {
	text, err := readFile(f.Path)
	if err != nil {
		return err
	}
	if err := f.decode(string(text), v); err != nil {
		return fmt.Errorf("durable: %s: %w", f.Path, err)
	}
	return nil
}

// readFile reads a file, one byte more than maxFileBytes at most.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	return text, nil
}

// decode checks the text of a file and decodes its value into v.
func (f *File) decode(text string, v any) error {
	head, body, found := strings.Cut(text, "\n")
	var kind string
	var version, length int
	var checksum uint32
	format := strings.TrimSuffix(fileHeader, "\n")
	if _, err := fmt.Sscanf(head, format, &kind, &version, &length, &checksum); err != nil || !found {
		return ErrDamaged
	}
	if err := checkHeader(kind, f.Kind, version, f.Version); err != nil {
		return err
	}
	if length != len(body) || checksum != crc32.Checksum([]byte(body), castagnoli) {
		return ErrDamaged
	}
	if err := json.Unmarshal([]byte(body), v); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// checkHeader compares the kind and version of a file with those that are read.
func checkHeader(kind, wantKind string, version, maxVersion int) error {
	if kind != wantKind || version < 1 {
		return ErrDamaged
	}
	if version > maxVersion {
		return fmt.Errorf("%w: form %d, this one reads up to %d", ErrNewerVersion, version, maxVersion)
	}
	return nil
}
