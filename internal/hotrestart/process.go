package hotrestart

import (
	"os"
	"syscall"
)

// MarkServing records that this process is the newest one that accepts clients. It returns an error if the file cannot
// be replaced. Without a directory it does nothing.
func (s *Store) MarkServing() error {
	if s.basePath == "" {
		return nil
	}
	return replaceFile(s.path(servingFile), []byte(s.processID))
}

// Superseded reports whether another process was the last one to call MarkServing. It returns false if the file cannot
// be read.
func (s *Store) Superseded() bool {
	if s.basePath == "" {
		return false
	}
	text, err := os.ReadFile(s.path(servingFile))
	return err == nil && string(text) != s.processID
}

// OnlyProcess reports whether no other process of this proxy is running. Once it has returned true, it returns true for
// the rest of this process's life, and false in all other processes. It takes a file lock, which the kernel releases
// when the process ends, even after a crash. If the file cannot be opened, OnlyProcess returns true.
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
