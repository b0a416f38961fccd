// Package hotrestart is what one process of a proxy leaves to the next: the clients' listening socket, which the
// platform holds and every process inherits, and a few files in the folder that the processes share.
package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Listen gives the socket whose descriptor the text names, or listens on addr where it names none.
func Listen(descriptor, addr string) (net.Listener, error) {
	if descriptor == "" {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("listening: %w", err)
		}
		return listener, nil
	}
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd <= int(os.Stderr.Fd()) {
		return nil, fmt.Errorf("the passed socket: %q is no descriptor of one", descriptor)
	}
	file := os.NewFile(uintptr(fd), "passed socket")
	defer file.Close() // the listener has a copy of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("the passed socket, descriptor %d: %w", fd, err)
	}
	return listener, nil
}

// Store is the state that outlives a process: which backends are out by hand, and which process serves. With
// no folder it lasts as long as the process.
type Store struct {
	basePath  string // of all files' paths; empty without a folder
	processID string // names this process

	mu       sync.Mutex
	detached []string // ids, sorted
	lastFile fs.FileInfo
	lifeLock *os.File // locked for as long as this process lives
}

// Open makes the store of the proxy of that name. A folder is used by several proxies without harm.
func Open(dir, name string) *Store {
	s := &Store{processID: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())}
	if dir != "" {
		s.basePath = filepath.Join(dir, fmt.Sprintf("lapisspread-%x", name))
	}
	return s
}

func (s *Store) path(what string) string { return s.basePath + "." + what }

// Path is where something else of the proxy outlives a process, by its name; empty without a folder.
func (s *Store) Path(what string) string {
	if s.basePath == "" {
		return ""
	}
	return s.path(what)
}

// Detached is a copy of the ids that are out by hand, as far as this process has read.
func (s *Store) Detached() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.detached)
}

// Refresh reads the file if another process has replaced it, and tells whether it had.
func (s *Store) Refresh() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refresh()
}

func (s *Store) refresh() (bool, error) {
	if s.basePath == "" {
		return false, nil
	}
	info, err := os.Stat(s.path("out"))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	// Each version is a new file; one that takes the place of an older one has another time.
	if s.lastFile != nil && os.SameFile(s.lastFile, info) && s.lastFile.ModTime().Equal(info.ModTime()) {
		return false, nil
	}
	text, err := os.ReadFile(s.path("out"))
	if err != nil {
		return false, fmt.Errorf("handover: %w", err)
	}
	var out []string
	if err := json.Unmarshal(text, &out); err != nil {
		return false, fmt.Errorf("handover: %s: %w", s.path("out"), err)
	}
	slices.Sort(out)
	s.lastFile, s.detached = info, slices.Compact(out)
	return true, nil
}

// SetDetached takes a backend out, or ends that. The change holds in this process also where an error says that it
// could not be written down.
func (s *Store) SetDetached(id string, out bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, err := s.lock()
	if err == nil {
		defer unlock()
		_, err = s.refresh() // what the other process has changed
	}
	i, found := slices.BinarySearch(s.detached, id)
	switch {
	case out == found:
		return err
	case out:
		s.detached = slices.Insert(s.detached, i, id)
	default:
		s.detached = slices.Delete(s.detached, i, i+1)
	}
	if s.basePath == "" || err != nil {
		return err
	}
	text, err := json.Marshal(s.detached)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := replaceFile(s.path("out"), text); err != nil {
		return err
	}
	if s.lastFile, err = os.Stat(s.path("out")); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// lock keeps another process from changing the state between reading and writing it.
func (s *Store) lock() (unlock func(), err error) {
	if s.basePath == "" {
		return func() {}, nil
	}
	f, err := os.OpenFile(s.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		f.Close()
		return nil, fmt.Errorf("handover: locking: %w", err)
	}
	return func() { f.Close() }, nil
}

// replaceFile puts a new file in the place of the old one, so that nobody reads half of it.
func replaceFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	_, err = f.Write(text)
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// MarkServing marks this process as the one that serves: the newest that takes clients.
func (s *Store) MarkServing() error {
	if s.basePath == "" {
		return nil
	}
	return replaceFile(s.path("serving"), []byte(s.processID))
}

// Superseded tells whether a later process serves.
func (s *Store) Superseded() bool {
	if s.basePath == "" {
		return false
	}
	text, err := os.ReadFile(s.path("serving"))
	return err == nil && string(text) != s.processID
}

// OnlyProcess tells whether no other process of this proxy lives; once it has said so it keeps the place for as
// long as this process lives. A process's lock ends with it, however it ends.
func (s *Store) OnlyProcess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.basePath == "" || s.lifeLock != nil {
		return true
	}
	f, err := os.OpenFile(s.path("life"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return true // nothing can be known
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return false
	}
	s.lifeLock = f
	return true
}

// Watch calls changed whenever another process has changed the state, until ctx ends.
func (s *Store) Watch(ctx context.Context, every time.Duration, changed func(), failed func(error)) {
	if s.basePath == "" {
		return
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	said := false
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		switch news, err := s.Refresh(); {
		case err != nil && !said:
			said = true // once: it would be said again and again
			failed(err)
		case news:
			changed()
		}
	}
}
