package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

// Paths of a steward's calls about the policy.
const (
	PathPolicy = "/v1/policy"        // GET, gives PolicyStatus; the leader's is the newest
	PathOrder  = "/v1/policy/order"  // POST policybook.Command: an operator's word
	PathReport = "/v1/policy/report" // POST PolicyReport, gives PolicyReply; the leader answers
	PathPieces = "/v1/policy/pieces" // POST PiecesRequest, gives PiecesReply; any steward answers
)

// Bounds on pieces (package pieces) in one message. A body that has as many is far under MostBody.
const (
	MostNames  = 256       // that a request asks for
	MostPieces = 256 << 10 // bytes of pieces in a reply
)

// PolicyReport is what a proxy tells: see rollout.Report.
type PolicyReport struct {
	Fleet   string        `json:"Fleet"`
	Proxy   string        `json:"Proxy"`
	Number  uint64        `json:"Number"`
	Has     rollout.Offer `json:"Has"`
	Refused rollout.Offer `json:"Refused" cbor:"Refused,omitzero"` // that it has the content of and can't take up yet: it tries by itself
	Good    int64         `json:"Good"`
	Bad     int64         `json:"Bad"`
	Pieces  bool          `json:"Pieces" cbor:"Pieces,omitempty"` // it takes pieces; one that doesn't is of an older release
	Most    int           `json:"Most" cbor:"Most,omitempty"`     // bytes of pieces that the reply shall have at most; 0 is MostPieces
}

// PolicyReply is what a proxy shall have. With InPieces the offer's hash is the root of a tree of pieces, and Pieces are some that the
// proxy lacks, top first; it fetches all others by name. Else the hash is the SHA-256 of Text, which is the whole policy, if the
// proxy doesn't have it.
type PolicyReply struct {
	Fleet    string        `json:"Fleet"`
	Offer    rollout.Offer `json:"Offer"`
	Text     []byte        `json:"Text" cbor:"Text,omitempty"`
	InPieces bool          `json:"InPieces" cbor:"InPieces,omitempty"`
	Pieces   [][]byte      `json:"Pieces" cbor:"Pieces,omitempty"`
}

// PiecesRequest asks for pieces by name, MostNames at most.
type PiecesRequest struct {
	Fleet string   `json:"Fleet"`
	Proxy string   `json:"Proxy"`
	Root  string   `json:"Root"`  // of the tree that they are of, in hexadecimal
	Names [][]byte `json:"Names"` // SHA-256 each
}

// PiecesReply has pieces in the order of their names in the request, as many as MostPieces allows. Lacks counts those that this steward
// doesn't have. If too many proxies fetch at once it has none, and says after how many nanoseconds to come back.
type PiecesReply struct {
	Pieces [][]byte `json:"Pieces" cbor:"Pieces,omitempty"`
	Lacks  int      `json:"Lacks" cbor:"Lacks,omitempty"`
	Later  int64    `json:"Later" cbor:"Later,omitempty"`
}

// PolicyStatus is how the policy stands, as one steward knows it.
type PolicyStatus struct {
	Standing  store.Standing `json:"Standing"`
	Leads     bool           `json:"Leads"`                          // whoever says so; the rest is known by it alone
	State     string         `json:"State"`                          // of the roll-out
	Proxies   int            `json:"Proxies"`                        // that report
	Have      int            `json:"Have"`                           // of them, what goes out, or what all shall have
	Refused   int            `json:"Refused"`                        // of them, that can't take it up
	Behind    []string       `json:"Behind" cbor:"Behind,omitempty"` // of them, some that don't have yet what all have: MostBehind names at most, sorted
	Late      int            `json:"Late" cbor:"Late,omitempty"`     // how many there are of these
	Older     int            `json:"Older" cbor:"Older,omitempty"`   // of them, that take whole texts alone
	Worse     string         `json:"Worse" cbor:"Worse,omitempty"`   // what the watch of all of them has to tell of the last hour; empty is nothing
	WorseHelp string         `json:"WorseHelp" cbor:"WorseHelp,omitempty"`
}

// MostBehind is how many proxies are told by name in a PolicyStatus.
const MostBehind = 20

// Order gives whoever leads an operator's word about the policy.
func (f *File) Order(ctx context.Context, client *http.Client, c store.Command) error {
	var tried []error
	for _, s := range f.Stewards {
		err := One(ctx, client, s.Address, PathOrder, c, nil)
		if err == nil {
			return nil
		}
		tried = append(tried, fmt.Errorf("%s: %w", s.Name, err))
		name := ProblemOf(err).Name
		if strings.HasPrefix(name, "policybook.") || strings.HasPrefix(name, "namespace.") {
			return tried[len(tried)-1] // the book's own word: no other steward says otherwise
		}
	}
	return errors.Join(tried...)
}

// Policies asks how the policy stands: the leader's word, or the newest of the others'.
func (f *File) Policies(ctx context.Context, client *http.Client) (PolicyStatus, error) {
	var best PolicyStatus
	var errs []error
	for _, s := range f.Stewards {
		var one PolicyStatus
		if err := One(ctx, client, s.Address, PathPolicy, nil, &one); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
			continue
		}
		if one.Leads {
			return one, nil
		}
		if one.Standing.Next.After(best.Standing.Next) || one.Standing.Base.After(best.Standing.Base) {
			best = one
		}
	}
	if len(errs) == len(f.Stewards) {
		return best, errors.Join(errs...)
	}
	return best, nil
}
