package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Backend carries out the commands; the proxy implements it. Its methods are called from many goroutines at once. None
// may block for long: the caller waits for about a second.
type Backend interface {
	// Serving reports whether the proxy takes clients.
	Serving() bool
	// Counters returns the counters that INFO shows.
	Counters() json.Marshaler
	// Detach stops new requests and health checks to the backend with this id, whatever the endpoint list says.
	Detach(id string) error
	// Attach ends a Detach.
	Attach(id string) error
	// StartDraining sends clients away while the listener stays open.
	StartDraining()
	// StopDraining ends StartDraining.
	StopDraining()
	// ReloadRoutes reads the file of services and routes again and describes what then holds. A file that can't be served
	// changes nothing and gives an error.
	ReloadRoutes() (string, error)
	// Admission reports who holds client connections, as a value for JSON.
	Admission() (any, error)
	// Diameter reports the Diameter peers, as a value for JSON.
	Diameter() (any, error)
	// ListGuard reports which endpoints are retained against the endpoint list, as a value for JSON.
	ListGuard() (any, error)
	// QuotaLeases reports the leased parts of the fleet's quotas, as a value for JSON.
	QuotaLeases() (any, error)
	// Freshness reports how far the endpoint list may be trusted, as a value for JSON.
	Freshness() (any, error)
	// Block rejects connections from an address or a prefix for the given time.
	Block(prefix string, span time.Duration) error
	// Unblock ends a Block.
	Unblock(prefix string) error
}

// A command is one word of the protocol.
type command struct {
	name      string
	arguments int
	run       func(s *Server, arguments []string) []byte
}

// commands are all commands, in the order in which an error names them.
var commands = []command{
	{"PING", 0, (*Server).ping},
	{"INFO", 0, func(s *Server, _ []string) []byte { return objectReply(s.backend.Counters()) }},
	{"DETACH", 1, func(s *Server, arguments []string) []byte {
		return s.order("DETACH", arguments[0], s.backend.Detach)
	}},
	{"ATTACH", 1, func(s *Server, arguments []string) []byte {
		return s.order("ATTACH", arguments[0], s.backend.Attach)
	}},
	{"LAMEDUCK", 0, (*Server).startDraining},
	{"REJOIN", 0, (*Server).stopDraining},
	{"ROUTES", 0, (*Server).reloadRoutes},
	{"ADMISSION", 0, func(s *Server, _ []string) []byte { return reportReply(s.backend.Admission()) }},
	{"DIAMETER", 0, func(s *Server, _ []string) []byte { return reportReply(s.backend.Diameter()) }},
	{"COMEBACK", 0, func(s *Server, _ []string) []byte { return reportReply(s.backend.ListGuard()) }},
	{"FLEET", 0, func(s *Server, _ []string) []byte { return reportReply(s.backend.QuotaLeases()) }},
	{"VIEW", 0, func(s *Server, _ []string) []byte { return reportReply(s.backend.Freshness()) }},
	{"BLOCK", 2, (*Server).block},
	{"UNBLOCK", 1, func(s *Server, arguments []string) []byte {
		return s.order("UNBLOCK", arguments[0], s.backend.Unblock)
	}},
}

// usage lists the commands with their arguments.
const usage = "PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, ROUTES, ADMISSION, DIAMETER, COMEBACK, FLEET, VIEW, " +
	"BLOCK ADDRESS SPAN and UNBLOCK ADDRESS"

// execute carries out the command on a line and returns the reply.
func (s *Server) execute(line string) []byte {
	words := strings.Fields(line)
	if len(words) == 0 {
		return errorReply(errors.New("the line is empty"))
	}
	name, arguments := words[0], words[1:]
	for _, c := range commands {
		if c.name != name {
			continue
		}
		if len(arguments) != c.arguments {
			return errorReply(fmt.Errorf("%s: %d words behind the call, want %d", name, len(arguments), c.arguments))
		}
		return c.run(s, arguments)
	}
	return errorReply(fmt.Errorf("unknown call %.32q: %s are known", name, usage))
}

func (s *Server) ping(_ []string) []byte {
	if !s.backend.Serving() {
		return errorReply(errors.New("not serving yet"))
	}
	return okReply("serving")
}

func (s *Server) startDraining(_ []string) []byte {
	s.backend.StartDraining()
	s.log.Info("draining started by an operator")
	return okReply("draining")
}

func (s *Server) stopDraining(_ []string) []byte {
	s.backend.StopDraining()
	s.log.Info("draining ended by an operator")
	return okReply("back")
}

func (s *Server) reloadRoutes(_ []string) []byte {
	summary, err := s.backend.ReloadRoutes()
	if err != nil {
		return errorReply(err)
	}
	s.log.Info("routes reloaded by an operator", "routes", summary)
	return okReply(summary)
}

func (s *Server) block(arguments []string) []byte {
	span, err := time.ParseDuration(arguments[1])
	if err != nil {
		return errorReply(fmt.Errorf("BLOCK: %.64q is no span of time such as 10m or 2h", arguments[1]))
	}
	return s.order("BLOCK", arguments[0], func(prefix string) error { return s.backend.Block(prefix, span) })
}

// order carries out a command on one backend id or address prefix, and logs it.
func (s *Server) order(name, subject string, carryOut func(string) error) []byte {
	if err := carryOut(subject); err != nil {
		return errorReply(err)
	}
	s.log.Info("command carried out for an operator", "command", name, "subject", subject)
	return okReply(subject)
}

func okReply(text string) []byte { return []byte("200 " + text + "\n") }

func errorReply(err error) []byte {
	return fmt.Appendf(nil, "400 %s\n", strings.ReplaceAll(err.Error(), "\n", " "))
}

// reportReply is the reply with a report, or with the reason why there is none.
func reportReply(report any, err error) []byte {
	if err != nil {
		return errorReply(err)
	}
	return objectReply(report)
}

// objectReply is a JSON object on one line, and a line EOF.
func objectReply(object any) []byte {
	text, err := json.Marshal(object)
	if err != nil {
		return errorReply(err)
	}
	return bytes.Join([][]byte{text, []byte("\nEOF\n")}, nil)
}
