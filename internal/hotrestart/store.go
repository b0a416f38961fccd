package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The suffixes of a proxy's file names; see the package comment.
const (
	detachedBackendsFile = "out"     // the IDs of the detached backends, as a JSON array
	servingFile          = "serving" // the ID of the newest process that accepts clients
	lockFile             = "lock"    // locked by a process while it changes detachedBackendsFile
	lifeFile             = "life"    // locked by a process from its first successful OnlyProcess until it ends
)

// fileMode gives access to the owner only.
const fileMode = 0o600

// Store holds the state that outlives a process: which backends are detached, and which process serves. Without a
// directory the state is lost when the process ends. It is safe for concurrent use.
type Store struct {
	basePath  string // path of the files without their suffixes; empty without a directory
	processID string // identifies this process in servingFile

	mu          sync.Mutex
	detached    []string    // IDs of the detached backends, sorted
	lastVersion fs.FileInfo // describes the version of detachedBackendsFile that was last read or written
	lifeLock    *os.File    // locked for as long as this process lives
}

// Open returns the store of the proxy with the given name. Several proxies may share a directory. With an empty dir the
// store uses no files.
func Open(dir, name string) *Store {
	s := &Store{processID: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())}
	if dir != "" {
		s.basePath = filepath.Join(dir, fmt.Sprintf("lapisspread-%x", name))
	}
	return s
}

func (s *Store) path(suffix string) string { return s.basePath + "." + suffix }

// Path returns the path of another file of the proxy, whose name ends with the suffix. It returns "" without a
// directory.
func (s *Store) Path(suffix string) string {
	if s.basePath == "" {
		return ""
	}
	return s.path(suffix)
}

// Detached returns the sorted IDs of the detached backends, as of the last Refresh or SetDetached of this process.
func (s *Store) Detached() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.detached)
}

// Refresh reads the detached backends if another process has changed them, and reports whether it has. It returns an
// error if the file cannot be read or is malformed.
func (s *Store) Refresh() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refresh()
}

// refresh is Refresh for a caller that holds s.mu.
func (s *Store) refresh() (bool, error) {
	if s.basePath == "" {
		return false, nil
	}
	path := s.path(detachedBackendsFile)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("hotrestart: %w", err)
	}
	if s.isLastVersion(info) {
		return false, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("hotrestart: %w", err)
	}
	var detached []string
	if err := json.Unmarshal(text, &detached); err != nil {
		return false, fmt.Errorf("hotrestart: %s: %w", path, err)
	}
	slices.Sort(detached)
	s.lastVersion = info
	s.detached = slices.Compact(detached)
	return true, nil
}

// isLastVersion reports whether info describes the version of the file that was last read or written. Each version is a
// new file; if it reuses the inode of an older version, its modification time differs.
func (s *Store) isLastVersion(info fs.FileInfo) bool {
	return s.lastVersion != nil && os.SameFile(s.lastVersion, info) && s.lastVersion.ModTime().Equal(info.ModTime())
}

// SetDetached detaches the backend with the given ID, or attaches it again if detached is false. It first reads the
// changes of other processes. If it returns an error, the change was not written, but applies in this process. It
// blocks while another process changes the file.
func (s *Store) SetDetached(id string, detached bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, err := s.lock()
	if err == nil {
		defer unlock()
		_, err = s.refresh()
	}
	i, found := slices.BinarySearch(s.detached, id)
	switch {
	case detached == found:
		return err
	case detached:
		s.detached = slices.Insert(s.detached, i, id)
	default:
		s.detached = slices.Delete(s.detached, i, i+1)
	}
	if s.basePath == "" || err != nil {
		return err
	}
	return s.writeDetachedBackends()
}

// writeDetachedBackends writes the IDs of the detached backends to detachedBackendsFile, which it replaces. The caller
// holds s.mu and the lock on lockFile.
func (s *Store) writeDetachedBackends() error {
	text, err := json.Marshal(s.detached)
	if err != nil {
		return fmt.Errorf("hotrestart: %w", err)
	}
	if err := replaceFile(s.path(detachedBackendsFile), text); err != nil {
		return err
	}
	if s.lastVersion, err = os.Stat(s.path(detachedBackendsFile)); err != nil {
		return fmt.Errorf("hotrestart: %w", err)
	}
	return nil
}

// lock takes the file lock under which a process reads and then writes the state. It blocks while another process holds
// the lock.
func (s *Store) lock() (unlock func(), err error) {
	if s.basePath == "" {
		return func() {}, nil
	}
	f, err := os.OpenFile(s.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("hotrestart: %w", err)
	}
	unlock = func() { _ = f.Close() } // nothing was written to it
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		unlock()
		return nil, fmt.Errorf("hotrestart: locking: %w", err)
	}
	return unlock, nil
}

// replaceFile replaces a file atomically, so that no process reads a partly written one.
func replaceFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("hotrestart: %w", err)
	}
	_, err = f.Write(text)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // the earlier error is the one to report
		return fmt.Errorf("hotrestart: %w", err)
	}
	return nil
}

// Watch checks once per interval whether another process has changed the detached backends, and calls onChange if so.
// It blocks until ctx ends. onError is called for the first error only, because the same error would recur at each
// check.
func (s *Store) Watch(ctx context.Context, interval time.Duration, onChange func(), onError func(error)) {
	if s.basePath == "" {
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	reported := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		changed, err := s.Refresh()
		switch {
		case err != nil && !reported:
			reported = true
			onError(err)
		case changed:
			onChange()
		}
	}
}
