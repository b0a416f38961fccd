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
	PathPolicyStatus  = "/v1/policy"        // GET, gives PolicyStatus; the leader's is the newest
	PathPolicyCommand = "/v1/policy/order"  // POST policybook.Command: an operator's word
	PathPolicyReport  = "/v1/policy/report" // POST PolicyReport, gives PolicyReply; the leader answers
	PathPolicyChunks  = "/v1/policy/pieces" // POST PiecesRequest, gives PiecesReply; any steward answers
)

// Bounds on pieces (package pieces) in one message. A body that has as many is far under MostBody.
const (
	MaxChunkNames = 256       // that a request asks for
	MaxChunkBytes = 256 << 10 // bytes of pieces in a reply
)

// PolicyReport is what a proxy tells: see rollout.Report.
type PolicyReport struct {
	Fleet         string          `json:"Fleet"`
	Proxy         string          `json:"Proxy"`
	Sequence      uint64          `json:"Number"`
	Current       rollout.Version `json:"Has"`
	Rejected      rollout.Version `json:"Refused" cbor:"Refused,omitzero"` // that it has the content of and can't take up yet: it tries by itself
	Good          int64           `json:"Good"`
	Bad           int64           `json:"Bad"`
	AcceptsChunks bool            `json:"Pieces" cbor:"Pieces,omitempty"` // it takes pieces; one that doesn't is of an older release
	MaxChunkBytes int             `json:"Most" cbor:"Most,omitempty"`     // bytes of pieces that the reply shall have at most; 0 is MostPieces
}

// PolicyReply is what a proxy shall have. With InPieces the offer's hash is the root of a tree of pieces, and Pieces are some that the
// proxy lacks, top first; it fetches all others by name. Else the hash is the SHA-256 of Text, which is the whole policy, if the
// proxy doesn't have it.
type PolicyReply struct {
	Fleet   string          `json:"Fleet"`
	Target  rollout.Version `json:"Offer"`
	Text    []byte          `json:"Text" cbor:"Text,omitempty"`
	Chunked bool            `json:"InPieces" cbor:"InPieces,omitempty"`
	Chunks  [][]byte        `json:"Pieces" cbor:"Pieces,omitempty"`
}

// ChunksRequest asks for pieces by name, MostNames at most.
type ChunksRequest struct {
	Fleet string   `json:"Fleet"`
	Proxy string   `json:"Proxy"`
	Root  string   `json:"Root"`  // of the tree that they are of, in hexadecimal
	Names [][]byte `json:"Names"` // SHA-256 each
}

// ChunksReply has pieces in the order of their names in the request, as many as MostPieces allows. Lacks counts those that this steward
// doesn't have. If too many proxies fetch at once it has none, and says after how many nanoseconds to come back.
type ChunksReply struct {
	Chunks          [][]byte `json:"Pieces" cbor:"Pieces,omitempty"`
	Missing         int      `json:"Lacks" cbor:"Lacks,omitempty"`
	RetryAfterNanos int64    `json:"Later" cbor:"Later,omitempty"`
}

// PolicyStatus is how the policy stands, as one steward knows it.
type PolicyStatus struct {
	Policy           store.Standing `json:"Standing"`
	IsLeader         bool           `json:"Leads"`                          // whoever says so; the rest is known by it alone
	RolloutState     string         `json:"State"`                          // of the roll-out
	ProxyCount       int            `json:"Proxies"`                        // that report
	Updated          int            `json:"Have"`                           // of them, what goes out, or what all shall have
	Rejected         int            `json:"Refused"`                        // of them, that can't take it up
	Behind           []string       `json:"Behind" cbor:"Behind,omitempty"` // of them, some that don't have yet what all have: MostBehind names at most, sorted
	BehindCount      int            `json:"Late" cbor:"Late,omitempty"`     // how many there are of these
	LegacyCount      int            `json:"Older" cbor:"Older,omitempty"`   // of them, that take whole texts alone
	Regression       string         `json:"Worse" cbor:"Worse,omitempty"`   // what the watch of all of them has to tell of the last hour; empty is nothing
	RegressionAdvice string         `json:"WorseHelp" cbor:"WorseHelp,omitempty"`
}

// MaxBehindNames is how many proxies are told by name in a PolicyStatus.
const MaxBehindNames = 20

// SendPolicyCommand gives whoever leads an operator's word about the policy.
func (f *Config) SendPolicyCommand(ctx context.Context, client *http.Client, c store.Command) error {
	var tried []error
	for _, s := range f.Servers {
		err := CallWithTimeout(ctx, client, s.Address, PathPolicyCommand, c, nil)
		if err == nil {
			return nil
		}
		tried = append(tried, fmt.Errorf("%s: %w", s.Name, err))
		name := RemoteErrorOf(err).Code
		if strings.HasPrefix(name, "policybook.") || strings.HasPrefix(name, "namespace.") {
			return tried[len(tried)-1] // the book's own word: no other steward says otherwise
		}
	}
	return errors.Join(tried...)
}

// PolicyStatus asks how the policy stands: the leader's word, or the newest of the others'.
func (f *Config) PolicyStatus(ctx context.Context, client *http.Client) (PolicyStatus, error) {
	var best PolicyStatus
	var errs []error
	for _, s := range f.Servers {
		var one PolicyStatus
		if err := CallWithTimeout(ctx, client, s.Address, PathPolicyStatus, nil, &one); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
			continue
		}
		if one.IsLeader {
			return one, nil
		}
		if one.Policy.Next.NewerThan(best.Policy.Next) || one.Policy.Base.NewerThan(best.Policy.Base) {
			best = one
		}
	}
	if len(errs) == len(f.Servers) {
		return best, errors.Join(errs...)
	}
	return best, nil
}
