package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxSilentConnections is the maximum number of connections that have not sent a line yet. One more connection
	// closes the oldest of them.
	maxSilentConnections = 16
	// maxLineBytes is the maximum length of a command line.
	maxLineBytes = 512
	// readTimeout is how long a connection may take to send its line.
	readTimeout = 5 * time.Second
	// writeTimeout is how long a reply may take to be written.
	writeTimeout = time.Second
	// acceptRetryDelay is the pause after a failed Accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server replies to operators' commands. Create it with New. It is safe for concurrent use.
type Server struct {
	backend Backend
	log     *slog.Logger

	mu      sync.Mutex
	silent  []net.Conn // connections whose line has not arrived yet, oldest first
	running sync.WaitGroup
}

// New returns a server that executes commands on a backend.
func New(backend Backend, log *slog.Logger) *Server {
	return &Server{backend: backend, log: log}
}

// Serve replies to commands until ctx ends or the listener is closed, and then waits for the commands that are still
// running. It closes the listener when ctx ends. It returns nil if ctx has ended, and else the error of the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer s.running.Wait()
	defer s.closeSilent()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.track(conn)
			s.running.Go(func() { s.handle(conn) })
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("admin server: %w", err)
		default:
			// The usual cause is a temporary shortage of file descriptors.
			s.log.Warn("accepting an admin connection failed", "err", err)
			pause(ctx, acceptRetryDelay)
		}
	}
}

// pause returns after d, or earlier if ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// track adds a connection to the silent connections, and closes the oldest of them if there are too many.
func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.silent) >= maxSilentConnections {
		_ = s.silent[0].Close() // the goroutine that reads it gets an error
		s.silent = s.silent[1:]
	}
	s.silent = append(s.silent, conn)
}

// untrack removes a connection from the silent connections.
func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.silent, conn); i >= 0 {
		s.silent = append(s.silent[:i:i], s.silent[i+1:]...)
	}
}

// closeSilent closes all silent connections.
func (s *Server) closeSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.silent {
		_ = conn.Close() // the goroutine that reads it gets an error
	}
}

// handle reads one line from a connection, writes the reply, and closes the connection.
func (s *Server) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	// Setting a deadline fails only if the connection is closed, and then the read or write returns an error.
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := readLine(conn)
	s.untrack(conn)
	var reply []byte
	if err != nil {
		reply = errorReply(err)
	} else {
		reply = s.execute(line)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(reply); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("writing an admin reply failed", "err", err)
	}
}

// readLine reads one line, which may arrive in several pieces, and which may end at the end of the stream instead of a
// line feed.
func readLine(r io.Reader) (string, error) {
	in := bufio.NewReaderSize(io.LimitReader(r, maxLineBytes+1), maxLineBytes+1)
	line, err := in.ReadString('\n')
	if len(line) > maxLineBytes {
		return "", fmt.Errorf("the line is longer than %d bytes", maxLineBytes)
	}
	ended := errors.Is(err, io.EOF) && strings.TrimSpace(line) != ""
	if err != nil && !ended {
		return "", errors.New("no line came")
	}
	return line, nil
}
