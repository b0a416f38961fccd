// Package admin serves the operators' second address: each connection carries one line, a call. The answer is a
// line that starts with 200 or 400; to INFO it is the figures, one JSON object on a line, and then a line EOF.
//
// A caller waits a second and no more. So each has a goroutine of its own, nothing here waits for the proxy's
// loop, and callers that say nothing cost a place at most until somebody needs it.
package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

// Proxy is what the console's calls act on. No method may block for long.
type Proxy interface {
	Serving() bool           // it takes clients
	Figures() json.Marshaler // what INFO shows
	Detach(id string) error  // takes a backend out
	Attach(id string) error  // ends that
	LameDuck()               // sends clients away
	Rejoin()                 // ends that
	// Routes reads the services and routes anew, and tells what then holds. A bad file changes nothing. It may take some
	// of the second that callers wait.
	Routes() (string, error)
	Admission() (any, error)                       // who holds places, as JSON
	Diameter() (any, error)                        // who the peers are, as JSON
	Comeback() (any, error)                        // what of the list is in doubt, as JSON
	Fleet() (any, error)                           // what is granted of the fleet's budgets, as JSON
	View() (any, error)                            // how far the list may be trusted, as JSON
	Block(prefix string, span time.Duration) error // turns an address or a prefix away for a time
	Unblock(prefix string) error                   // ends that
}

const (
	mostCallers  = 16              // at a time; one more takes the place of the one that has been silent for longest
	lineBytes    = 512             // the longest call
	callTimeout  = 5 * time.Second // for a line to arrive
	writeTimeout = time.Second     // for an answer to leave
	acceptRest   = 20 * time.Millisecond
)

// Server answers calls.
type Server struct {
	proxy Proxy
	log   *slog.Logger

	mu      sync.Mutex
	callers []net.Conn // those whose line is not there yet, the oldest first
	running sync.WaitGroup
}

// New makes a console for a proxy.
func New(p Proxy, log *slog.Logger) *Server { return &Server{proxy: p, log: log} }

// Serve answers calls until ctx ends or the listener is closed, and then waits for those under way.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer s.running.Wait()
	defer s.closeSilent()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		c, err := listener.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("console: %w", err)
		default: // most often no descriptor is left: it passes
			s.log.Warn("the console could not take a call", "err", err)
			select {
			case <-time.After(acceptRest):
			case <-ctx.Done():
			}
			continue
		}
		s.enter(c)
		s.running.Go(func() { s.call(c) })
	}
}

// enter makes place for a caller.
func (s *Server) enter(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= mostCallers {
		s.callers[0].Close() // its goroutine takes it off
		s.callers = s.callers[1:]
	}
	s.callers = append(s.callers, c)
}

func (s *Server) leave(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.callers {
		if o == c {
			s.callers = append(s.callers[:i:i], s.callers[i+1:]...)
			return
		}
	}
}

func (s *Server) closeSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		c.Close()
	}
}

func (s *Server) call(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := readLine(c)
	s.leave(c)
	var text []byte
	if err != nil {
		text = no(err)
	} else {
		text = s.answer(line)
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(text); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("a console answer did not get through", "err", err)
	}
}

// readLine reads a line, which may come in pieces and end with the caller's sending instead of a line feed.
func readLine(r io.Reader) (string, error) {
	in := bufio.NewReaderSize(io.LimitReader(r, lineBytes+1), lineBytes+1)
	line, err := in.ReadString('\n')
	switch {
	case len(line) > lineBytes:
		return "", fmt.Errorf("the line is longer than %d bytes", lineBytes)
	case err != nil && (err != io.EOF || strings.TrimSpace(line) == ""):
		return "", errors.New("no line came")
	}
	return line, nil
}

func yes(text string) []byte { return []byte("200 " + text + "\n") }

func no(err error) []byte {
	return fmt.Appendf(nil, "400 %s\n", strings.ReplaceAll(err.Error(), "\n", " "))
}

// wordsBehind are the calls, and how many words come behind each.
var wordsBehind = map[string]int{"PING": 0, "INFO": 0, "DETACH": 1, "ATTACH": 1, "LAMEDUCK": 0, "REJOIN": 0, "ROUTES": 0, "ADMISSION": 0, "DIAMETER": 0, "COMEBACK": 0, "FLEET": 0, "VIEW": 0,
	"BLOCK": 2, "UNBLOCK": 1}

// reported is a report of the proxy's, or why there is none.
func reported(report any, err error) []byte {
	if err != nil {
		return no(err)
	}
	return lines(report)
}

// answer carries a call out.
func (s *Server) answer(line string) []byte {
	words := strings.Fields(line)
	if len(words) == 0 {
		return no(errors.New("the line is empty"))
	}
	call, args := words[0], words[1:]
	want, known := wordsBehind[call]
	switch {
	case known && len(args) != want:
		return no(fmt.Errorf("%s: %d words behind the call, want %d", call, len(args), want))
	case !known:
		return no(fmt.Errorf("unknown call %.32q: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, ROUTES, ADMISSION, DIAMETER, COMEBACK, FLEET, VIEW, BLOCK ADDRESS SPAN and UNBLOCK ADDRESS are known", call))
	}
	switch call {
	case "PING":
		if !s.proxy.Serving() {
			return no(errors.New("not serving yet"))
		}
		return yes("serving")
	case "INFO":
		return lines(s.proxy.Figures())
	case "ADMISSION":
		return reported(s.proxy.Admission())
	case "DIAMETER":
		return reported(s.proxy.Diameter())
	case "COMEBACK":
		return reported(s.proxy.Comeback())
	case "FLEET":
		return reported(s.proxy.Fleet())
	case "VIEW":
		return reported(s.proxy.View())
	case "BLOCK":
		span, err := time.ParseDuration(args[1])
		if err != nil {
			return no(fmt.Errorf("BLOCK: %.64q is no span of time such as 10m or 2h", args[1]))
		}
		return s.order(call, args[0], func(prefix string) error { return s.proxy.Block(prefix, span) })
	case "UNBLOCK":
		return s.order(call, args[0], s.proxy.Unblock)
	case "DETACH":
		return s.order(call, args[0], s.proxy.Detach)
	case "ATTACH":
		return s.order(call, args[0], s.proxy.Attach)
	case "LAMEDUCK":
		s.proxy.LameDuck()
		s.log.Info("lame duck by the console")
		return yes("draining")
	case "ROUTES":
		text, err := s.proxy.Routes()
		if err != nil {
			return no(err)
		}
		s.log.Info("the routes were read anew by the console", "now", text)
		return yes(text)
	default: // REJOIN
		s.proxy.Rejoin()
		s.log.Info("back to work by the console")
		return yes("back")
	}
}

// lines is an object on one line, and a line EOF.
func lines(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return no(err)
	}
	return bytes.Join([][]byte{text, []byte("\nEOF\n")}, nil)
}

func (s *Server) order(call, id string, f func(string) error) []byte {
	if err := f(id); err != nil {
		return no(err)
	}
	s.log.Info("an order by the console", "call", call, "of", id)
	return yes(id)
}
