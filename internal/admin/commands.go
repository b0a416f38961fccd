package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Backend executes the commands; the proxy implements it. Its methods are called concurrently. None may block for long,
// because an operator's tool waits only about a second.
type Backend interface {
	// Serving reports whether the proxy accepts clients.
	Serving() bool
	// Counters returns the counters that INFO replies with.
	Counters() json.Marshaler
	// Detach stops new requests and health checks to the backend with this id, even if the endpoint list contains it.
	Detach(id string) error
	// Attach undoes Detach.
	Attach(id string) error
	// StartDraining makes clients leave the proxy while its listener stays open.
	StartDraining()
	// StopDraining undoes StartDraining.
	StopDraining()
	// ReloadRoutes reads the file of services and routes again and returns a summary of the new configuration. It
	// returns an error and changes nothing if the file is invalid or cannot be applied.
	ReloadRoutes() (string, error)
	// Admission returns a report on the client connections by address, to be encoded as JSON.
	Admission() (any, error)
	// Diameter returns a report on the Diameter peers, to be encoded as JSON.
	Diameter() (any, error)
	// ListGuard returns a report on the endpoints that are retained although the endpoint list lacks them, to be
	// encoded as JSON.
	ListGuard() (any, error)
	// QuotaLeases returns a report on the leased parts of the fleet's quotas, to be encoded as JSON.
	QuotaLeases() (any, error)
	// Freshness returns a report on the freshness of the endpoint list, to be encoded as JSON.
	Freshness() (any, error)
	// Block rejects new connections from an address or prefix for a duration.
	Block(prefix string, duration time.Duration) error
	// Unblock undoes Block.
	Unblock(prefix string) error
}

// A command is one command of the protocol. arguments is the number of its arguments; run executes it and returns the
// reply.
type command struct {
	name      string
	arguments int
	run       func(s *Server, arguments []string) []byte
}

// commands lists all commands, in the same order as usage.
var commands = []command{
	{"PING", 0, (*Server).ping},
	{"INFO", 0, func(s *Server, _ []string) []byte { return objectReply(s.backend.Counters()) }},
	{"DETACH", 1, func(s *Server, arguments []string) []byte {
		return s.executeLogged("DETACH", arguments[0], s.backend.Detach)
	}},
	{"ATTACH", 1, func(s *Server, arguments []string) []byte {
		return s.executeLogged("ATTACH", arguments[0], s.backend.Attach)
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
		return s.executeLogged("UNBLOCK", arguments[0], s.backend.Unblock)
	}},
}

// usage lists the commands with their arguments, for the reply to an unknown command.
const usage = "PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, ROUTES, ADMISSION, DIAMETER, COMEBACK, FLEET, " +
	"VIEW, BLOCK ADDRESS SPAN and UNBLOCK ADDRESS"

// execute parses and executes the command on a line, and returns the reply.
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
		if len(arguments) != c.arguments { // in the reply, "words behind the call" are the command's arguments
			return errorReply(fmt.Errorf("%s: %d words behind the call, want %d", name, len(arguments), c.arguments))
		}
		return c.run(s, arguments)
	}
	// Operators' tools may match the reply; in it, "call" means the command.
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
	duration, err := time.ParseDuration(arguments[1])
	if err != nil {
		return errorReply(fmt.Errorf("BLOCK: %.64q is no span of time such as 10m or 2h", arguments[1]))
	}
	block := func(prefix string) error { return s.backend.Block(prefix, duration) }
	return s.executeLogged("BLOCK", arguments[0], block)
}

// executeLogged calls run with the subject of a command, which is a backend ID or an address prefix. It logs the
// command if it succeeds.
func (s *Server) executeLogged(name, subject string, run func(string) error) []byte {
	if err := run(subject); err != nil {
		return errorReply(err)
	}
	s.log.Info("command carried out for an operator", "command", name, "subject", subject)
	return okReply(subject)
}

// okReply returns the reply for success.
func okReply(text string) []byte { return []byte("200 " + text + "\n") }

// errorReply returns the reply for an error, whose text it puts on one line.
func errorReply(err error) []byte {
	return fmt.Appendf(nil, "400 %s\n", strings.ReplaceAll(err.Error(), "\n", " "))
}

// reportReply returns the reply with a report, or with the error if there is no report.
func reportReply(report any, err error) []byte {
	if err != nil {
		return errorReply(err)
	}
	return objectReply(report)
}

// objectReply returns the reply with an object: its JSON encoding on one line, followed by the line EOF.
func objectReply(object any) []byte {
	text, err := json.Marshal(object)
	if err != nil {
		return errorReply(err)
	}
	return bytes.Join([][]byte{text, []byte("\nEOF\n")}, nil)
}
