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
	// maxSilentConnections bounds the connections that have sent no line yet; one more closes the oldest of them.
	maxSilentConnections = 16
	// maxLineBytes bounds the line of a command.
	maxLineBytes = 512
	// readTimeout is how long a connection may take to send its line.
	readTimeout = 5 * time.Second
	// writeTimeout is how long a reply may take to be written.
	writeTimeout = time.Second
	// acceptRetryDelay is the pause after an Accept that failed.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server answers operators' commands. Make it with New.
type Server struct {
	backend Backend
	log     *slog.Logger

	mu      sync.Mutex
	silent  []net.Conn // connections whose line has not arrived, the oldest first
	running sync.WaitGroup
}

// New returns a server that has the backend carry out commands.
func New(backend Backend, log *slog.Logger) *Server {
	return &Server{backend: backend, log: log}
}

// Serve answers commands until ctx ends or the listener is closed, and then waits for those under way. It returns nil
// if ctx has ended.
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
			return fmt.Errorf("console: %w", err)
		default:
			// Usually no file descriptor is left, which passes.
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

// track adds a connection to the silent ones, and closes the oldest if there are too many.
func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.silent) >= maxSilentConnections {
		_ = s.silent[0].Close() // its own goroutine handles the error
		s.silent = s.silent[1:]
	}
	s.silent = append(s.silent, conn)
}

// untrack removes a connection from the silent ones.
func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.silent, conn); i >= 0 {
		s.silent = append(s.silent[:i:i], s.silent[i+1:]...)
	}
}

func (s *Server) closeSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.silent {
		_ = conn.Close() // its own goroutine handles the error
	}
}

// handle serves one connection: a line in, a reply out.
func (s *Server) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	// A deadline that can't be set means that the connection is closed, which the read and the write report.
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

// readLine reads one line, which may arrive in pieces and may end with the end of the stream in place of a line feed.
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
