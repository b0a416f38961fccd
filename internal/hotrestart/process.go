package hotrestart

import (
	"os"
	"syscall"
)

// MarkServing marks this process as the one that serves: the newest that takes clients.
func (s *Store) MarkServing() error {
	if s.basePath == "" {
		return nil
	}
	return replaceFile(s.path(servingFile), []byte(s.processID))
}

// Superseded reports whether a later process serves.
func (s *Store) Superseded() bool {
	if s.basePath == "" {
		return false
	}
	text, err := os.ReadFile(s.path(servingFile))
	return err == nil && string(text) != s.processID
}

// OnlyProcess reports whether no other process of this proxy lives. Once it has returned true it does for as long as
// this process lives, and false in every other one. A file lock decides, which ends with its process however that
// ends; if the file cannot be opened, it returns true.
func (s *Store) OnlyProcess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.basePath == "" || s.lifeLock != nil {
		return true
	}
	f, err := os.OpenFile(s.path(lifeFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return true
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written to it
		return false
	}
	s.lifeLock = f
	return true
}
