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

// Errors of File.Load and Journal.Load. The returned errors wrap them; use errors.Is.
var (
	// ErrDamaged is returned for a file that is malformed, fails its checksum, or is of another kind.
	ErrDamaged = errors.New("it is damaged")
	// ErrNewerVersion is returned for a file whose version is higher than the reader's.
	ErrNewerVersion = errors.New("a newer program has written it")
)

// maxFileBytes is the maximum size of a file in bytes.
const maxFileBytes = 64 << 20

// temporaryPattern is appended to a file's path to name the temporary file that replaces it; see os.CreateTemp.
const temporaryPattern = ".*"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is a value that is stored on disk. It is not safe for concurrent use by goroutines or processes.
type File struct {
	Path    string
	Kind    string // name of the value's type, without spaces
	Version int    // version of the value's format, at least 1; files of a higher version are not read
}

// fileHeader is the format of the first line: kind, version, length of the value in bytes, and the value's checksum.
const fileHeader = "%s %d %d %08x\n"

// Save atomically replaces the value, so that no reader sees a partial one. The value is stored as JSON. If Save
// returns an error, the file is unchanged.
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

// createNext creates the temporary file that will replace the file at path.
func createNext(path string) (*os.File, error) {
	next, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+temporaryPattern)
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	return next, nil
}

// replace closes the file next and renames it to path. writeErr is the error of writing next; if it is not nil, or if
// closing or renaming fails, replace removes next and returns the first error.
func replace(path string, next *os.File, writeErr error) error {
	err := writeErr
	if closeErr := next.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(next.Name(), path)
	}
	if err != nil {
		_ = os.Remove(next.Name()) // the earlier error is the one to report
	}
	return err
}

// Load reads the value into v, which must be a pointer. It returns an error that wraps fs.ErrNotExist if no value was
// written, ErrDamaged, ErrNewerVersion, or an error of reading the file. After an error the content of v is undefined.
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

// readFile reads at most maxFileBytes+1 bytes of a file, so that the caller can detect a file that is too long.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	defer func() { _ = file.Close() }() // an error does not matter: the file was only read
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

// checkHeader checks that the kind of a file is wantKind and that its version is from 1 to maxVersion.
func checkHeader(kind, wantKind string, version, maxVersion int) error {
	if kind != wantKind || version < 1 {
		return ErrDamaged
	}
	if version > maxVersion {
		return fmt.Errorf("%w: version %d; this program reads up to version %d", ErrNewerVersion, version, maxVersion)
	}
	return nil
}
