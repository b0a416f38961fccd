// Package peerfaults plays clients and servers that fall silent, leave, reset or dribble at each point of a request,
// against a real proxy process on loopback addresses. Each case has a proxy of its own, serving or in a drain, and is
// judged by what the client and the server have seen.
package peerfaults

import "strings"

// Peer is the side that misbehaves.
type Peer string

// The peers.
const (
	Client Peer = "client"
	Server Peer = "server"
)

// Framing is how the end of the body is told: of the answer if a server misbehaves while it writes, else of the request.
type Framing string

// The framings.
const (
	NoBody      Framing = "no body"
	ShortLength Framing = "short length" // a body that the proxy buffers
	LongLength  Framing = "long length"  // a body that the proxy streams
	HugeLength  Framing = "huge length"  // a body that does not fit into the buffers of the two systems
	OneChunk    Framing = "one chunk"
	ManyChunks  Framing = "many chunks"
	Unframed    Framing = "no length" // the end of the connection ends the body; answers only
)

// Point is how far a message has come when its sender, or its receiver, begins to misbehave.
type Point string

// The points. BeforeReading and WhileReading are those of a server that reads a request.
const (
	BeforeHead     Point = "before head"
	InHead         Point = "in head"
	AfterHead      Point = "after head"
	AfterChunkSize Point = "after chunk size"
	AfterFirstByte Point = "after first byte"
	Middle         Point = "middle"
	BeforeEnd      Point = "before end"
	Whole          Point = "whole"
	BeforeReading  Point = "before reading"
	WhileReading   Point = "while reading"
)

// Fault is what the peer does from the point on.
type Fault string

// The faults. A client that is silent after a whole request is a usual client.
const (
	Silent     Fault = "silent"
	Closes     Fault = "closes"
	HalfCloses Fault = "half-closes"
	Resets     Fault = "resets"
	Dribbles   Fault = "dribbles"
)

// Case is one request with one misbehaving peer.
type Case struct {
	Peer           Peer    `json:"peer"`
	Framing        Framing `json:"framing"`
	Point          Point   `json:"point"`
	Fault          Fault   `json:"fault"`
	LateConnection bool    `json:"late_connection"` // the connection to the server comes up one SYN retransmission late
	Draining       bool    `json:"draining"`        // the request comes after the proxy's SIGTERM
}

// String returns the case's name.
func (c Case) String() string {
	parts := []string{string(c.Peer), string(c.Framing), string(c.Point), string(c.Fault)}
	if c.LateConnection {
		parts = append(parts, "late connection")
	}
	if c.Draining {
		parts = append(parts, "draining")
	}
	return strings.Join(parts, ", ")
}

// requestFraming returns the framing of the case's request.
func (c Case) requestFraming() Framing {
	if c.Peer == Server && c.Point != BeforeReading && c.Point != WhileReading {
		return NoBody
	}
	return c.Framing
}

// Cases returns all cases.
func Cases() []Case {
	var all []Case
	for _, draining := range []bool{false, true} {
		for _, list := range [][]Case{answerCases(), readingCases(), clientCases()} {
			for _, c := range list {
				c.Draining = draining
				all = append(all, c)
			}
		}
	}
	return all
}

// answerCases returns the cases of servers that misbehave while they answer.
func answerCases() []Case {
	points := map[Framing][]Point{
		ShortLength: {BeforeHead, InHead, AfterHead, AfterFirstByte, Middle, BeforeEnd},
		LongLength:  {AfterHead, AfterFirstByte, Middle, BeforeEnd},
		OneChunk:    {AfterHead, AfterChunkSize, AfterFirstByte, Middle, BeforeEnd},
		ManyChunks:  {AfterHead, AfterChunkSize, AfterFirstByte, Middle, BeforeEnd},
		Unframed:    {AfterHead, AfterFirstByte, Middle, BeforeEnd},
	}
	var all []Case
	for _, framing := range []Framing{ShortLength, LongLength, OneChunk, ManyChunks, Unframed} {
		for _, point := range points[framing] {
			for _, fault := range []Fault{Silent, Closes, Resets, Dribbles} {
				all = append(all, Case{Peer: Server, Framing: framing, Point: point, Fault: fault})
			}
		}
	}
	return all
}

// readingCases returns the cases of servers that misbehave while they read a request.
func readingCases() []Case {
	var all []Case
	for _, framing := range []Framing{NoBody, ShortLength, LongLength, OneChunk, ManyChunks} {
		for _, point := range []Point{BeforeReading, WhileReading} {
			if framing == NoBody && point == WhileReading {
				continue
			}
			for _, fault := range []Fault{Silent, Closes, Resets, Dribbles} {
				all = append(all, Case{Peer: Server, Framing: framing, Point: point, Fault: fault})
			}
		}
	}
	return all
}

// clientCases returns the cases of clients that misbehave.
func clientCases() []Case {
	var all []Case
	for _, framing := range []Framing{NoBody, ShortLength, LongLength, HugeLength, OneChunk, ManyChunks} {
		points := []Point{InHead, AfterHead, AfterFirstByte, Middle, BeforeEnd, Whole}
		switch framing {
		case NoBody:
			points = []Point{InHead, Whole}
		case HugeLength:
			points = []Point{Whole}
		}
		for _, point := range points {
			for _, fault := range []Fault{Silent, Closes, HalfCloses, Resets, Dribbles} {
				if point == Whole && fault == Dribbles {
					continue
				}
				for _, late := range []bool{false, true} {
					if late && (point == InHead || fault == Dribbles || fault == Silent && point != Whole) {
						continue
					}
					all = append(all, Case{Peer: Client, Framing: framing, Point: point, Fault: fault, LateConnection: late})
				}
			}
		}
	}
	return all
}
