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

// The files of a proxy, by the end of their names.
const (
	detachedFile = "out"
	servingFile  = "serving"
	lockFile     = "lock"
	lifeFile     = "life"
)

// fileMode is for the owner alone.
const fileMode = 0o600

// Store is the state that outlives a process: which backends are detached, and which process serves. Without a
// directory it lasts as long as the process. It is safe for concurrent use.
type Store struct {
	basePath  string // of all files; empty without a directory
	processID string // names this process in servingFile

	mu       sync.Mutex
	detached []string    // IDs, sorted
	lastFile fs.FileInfo // of the detachedFile that was read or written last
	lifeLock *os.File    // locked for as long as this process lives
}

// Open makes the store of the proxy of a name. Several proxies may use one directory; an empty one is none.
func Open(dir, name string) *Store {
	s := &Store{processID: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())}
	if dir != "" {
		s.basePath = filepath.Join(dir, fmt.Sprintf("lapisspread-%x", name))
	}
	return s
}

func (s *Store) path(file string) string { return s.basePath + "." + file }

// Path returns where another file of the proxy is kept, by the end of its name; empty without a directory.
func (s *Store) Path(file string) string {
	if s.basePath == "" {
		return ""
	}
	return s.path(file)
}

// Detached returns the IDs of the backends that are detached, as far as this process has read.
func (s *Store) Detached() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.detached)
}

// Refresh reads the detached backends if another process has changed them, and reports whether it had.
func (s *Store) Refresh() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refresh()
}

// refresh is Refresh with the lock held.
func (s *Store) refresh() (bool, error) {
	if s.basePath == "" {
		return false, nil
	}
	path := s.path(detachedFile)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	if s.sameAsLast(info) {
		return false, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	var detached []string
	if err := json.Unmarshal(text, &detached); err != nil {
		return false, fmt.Errorf("handover: %s: %w", path, err)
	}
	slices.Sort(detached)
	s.lastFile = info
	s.detached = slices.Compact(detached)
	return true, nil
}

// sameAsLast reports whether a file is the one that was read or written last. Each version is a new file; one that has
// got the inode of an older version has another time.
func (s *Store) sameAsLast(info fs.FileInfo) bool {
	return s.lastFile != nil && os.SameFile(s.lastFile, info) && s.lastFile.ModTime().Equal(info.ModTime())
}

// SetDetached detaches a backend or attaches it again, on top of what other processes have changed. In this process the
// change holds also where an error says that it could not be written.
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
	return s.writeDetached()
}

// writeDetached writes detachedFile. Both locks are held.
func (s *Store) writeDetached() error {
	text, err := json.Marshal(s.detached)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := replaceFile(s.path(detachedFile), text); err != nil {
		return err
	}
	if s.lastFile, err = os.Stat(s.path(detachedFile)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// lock keeps other processes from changing the state between reading and writing it. It blocks while one does.
func (s *Store) lock() (unlock func(), err error) {
	if s.basePath == "" {
		return func() {}, nil
	}
	f, err := os.OpenFile(s.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	unlock = func() { _ = f.Close() } // nothing was written to it
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		unlock()
		return nil, fmt.Errorf("handover: locking: %w", err)
	}
	return unlock, nil
}

// replaceFile puts a new file in the place of the old one, so that nobody reads half of it.
func replaceFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	_, err = f.Write(text)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // the first error says more
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Watch calls onChange whenever another process has changed the detached backends, until ctx ends; it looks every
// interval. onError is called with the first error alone, which would else come again and again.
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
