package api

import (
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

// Paths of a server's calls about the policy.
const (
	PathPolicyStatus  = "/v1/policy"        // GET, returns PolicyStatus; the leader's is the most recent
	PathPolicyCommand = "/v1/policy/order"  // POST store.Command; only the leader answers
	PathPolicyReport  = "/v1/policy/report" // POST PolicyReport, returns PolicyReply; only the leader answers
	PathPolicyChunks  = "/v1/policy/pieces" // POST ChunksRequest, returns ChunksReply; any server answers
)

// Bounds on chunks (package policy/merkle) in one message. They keep a body well under MaxBodyBytes.
const (
	MaxChunkNames = 256       // names in a ChunksRequest
	MaxChunkBytes = 256 << 10 // bytes of chunks in a reply
)

// MaxBehindNames bounds PolicyStatus.Behind.
const MaxBehindNames = 20

// PolicyReport is a proxy's periodic report of the policy that it runs and of its request counts under that policy; see
// rollout.Report.
type PolicyReport struct {
	Fleet    string          `json:"Fleet"`
	Proxy    string          `json:"Proxy"`
	Sequence uint64          `json:"Number"`
	Current  rollout.Version `json:"Has"`
	// Rejected is a version that the proxy has fetched but cannot install yet. The proxy retries without a new offer.
	Rejected rollout.Version `json:"Refused" cbor:"Refused,omitzero"`
	Good     int64           `json:"Good"` // requests since the last report
	Bad      int64           `json:"Bad"`  // requests since the last report that were rejected, failed or late
	// AcceptsChunks is false for a proxy of an older release, which takes a policy as one text.
	AcceptsChunks bool `json:"Pieces" cbor:"Pieces,omitempty"`
	// MaxChunkBytes bounds the chunks in the reply, in bytes. 0 means the constant MaxChunkBytes.
	MaxChunkBytes int `json:"Most" cbor:"Most,omitempty"`
}

// PolicyReply names the version that a proxy must install.
//
// If Chunked is true, Target.Hash is the root of a Merkle tree, and Chunks are some of the chunks that the proxy lacks,
// parents first; the proxy fetches the others by name. Otherwise Text is the whole policy and Target.Hash its SHA-256;
// Text is empty if the proxy has the policy already.
type PolicyReply struct {
	Fleet   string          `json:"Fleet"`
	Target  rollout.Version `json:"Offer"`
	Text    []byte          `json:"Text" cbor:"Text,omitempty"`
	Chunked bool            `json:"InPieces" cbor:"InPieces,omitempty"`
	Chunks  [][]byte        `json:"Pieces" cbor:"Pieces,omitempty"`
}

// ChunksRequest requests chunks by name, at most MaxChunkNames.
type ChunksRequest struct {
	Fleet string   `json:"Fleet"`
	Proxy string   `json:"Proxy"`
	Root  string   `json:"Root"`  // of the tree that contains the chunks, in hexadecimal
	Names [][]byte `json:"Names"` // SHA-256 of each chunk
}

// ChunksReply contains the chunks in the order of the requested names, up to MaxChunkBytes in total.
type ChunksReply struct {
	Chunks [][]byte `json:"Pieces" cbor:"Pieces,omitempty"`
	// Missing counts requested chunks that the server does not have.
	Missing int `json:"Lacks" cbor:"Lacks,omitempty"`
	// RetryAfterNanos is the time to wait before the next request. It is set if too many proxies are fetching.
	RetryAfterNanos int64 `json:"Later" cbor:"Later,omitempty"`
}

// PolicyStatus is the state of the policy as one server sees it. Only the leader sets the fields other than Policy.
type PolicyStatus struct {
	Policy       store.Status `json:"Standing"`
	IsLeader     bool         `json:"Leads"`
	RolloutState string       `json:"State"`
	ProxyCount   int          `json:"Proxies"` // proxies that report
	Updated      int          `json:"Have"`    // proxies that run the newest version
	Rejected     int          `json:"Refused"` // proxies that cannot install the newest version
	// Behind are names of proxies that run an older version than the active one, sorted, at most MaxBehindNames.
	Behind           []string `json:"Behind" cbor:"Behind,omitempty"`
	BehindCount      int      `json:"Late" cbor:"Late,omitempty"`
	LegacyCount      int      `json:"Older" cbor:"Older,omitempty"` // proxies that do not accept chunks
	Regression       string   `json:"Worse" cbor:"Worse,omitempty"` // found in the last hour; empty if none
	RegressionAdvice string   `json:"WorseHelp" cbor:"WorseHelp,omitempty"`
}
