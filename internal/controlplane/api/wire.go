package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/operatorerror"
)

// Paths of a steward's calls. Bodies are CBOR but for the figures.
const (
	PathLease     = "/v1/ask"    // POST grant.Request, gives grant.Reply
	PathBootstrap = "/v1/found"  // POST Founding: an operator's word
	PathSetQuotas = "/v1/set"    // POST grant.SetBudgets: an operator's word
	PathStatus    = "/v1/status" // GET, gives Status
	PathMetrics   = "/metrics"   // GET, Prometheus
)

// MaxBodyBytes is the longest body that either side reads, in bytes.
const MaxBodyBytes = 1 << 20

// timeoutHeader tells for how long the caller waits, in milliseconds.
const timeoutHeader = "X-Timeout-Ms"

// RequestTimeout is for how long the caller of a steward waits; most if it doesn't say, or longer.
func RequestTimeout(r *http.Request, most time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return most
	}
	return min(most, time.Duration(ms)*time.Millisecond)
}

// BootstrapRequest asks a steward to make its store, and to begin the fleet under an epoch above all before.
type BootstrapRequest struct {
	Fleet            string   `json:"Fleet"`
	Epoch            uint64   `json:"Epoch"`
	MaxDrift         float64  `json:"Drift"`
	MaxLifetimeNanos int64    `json:"Longest"` // nanoseconds
	ServerIDs        []uint64 `json:"Members"`
	ServerID         uint64   `json:"ID"` // of the steward that is asked: a wrong address must not make a wrong store
}

// ServerStatus is how a steward stands.
type ServerStatus struct {
	Name               string            `json:"Name"`
	Fleet              string            `json:"Fleet"`
	ID                 uint64            `json:"ID"`
	Epoch              uint64            `json:"Epoch"` // 0 is not founded
	Role               string            `json:"Role"`
	Leader             string            `json:"Leader"` // the address of whom it believes to lead
	LeaderName         string            `json:"LeaderName"`
	Term               uint64            `json:"Term"`
	Commit             uint64            `json:"Commit"`
	Applied            uint64            `json:"Applied"`
	UnconfirmedServers []uint64          `json:"Silent"` // who has not confirmed its store yet
	RespondingVoters   int               `json:"Heard"`
	Voters             int               `json:"Voters"`
	ConfigVersion      uint64            `json:"Version"` // of the budgets
	QuotasUnset        bool              `json:"Unset"`   // no budgets are set: the time before the founding may not be over
	Quotas             []QuotaUsage      `json:"Budgets"`
	Fault              RemoteError       `json:"Trouble"` // why it takes no part; empty if it does
	Counters           map[string]uint64 `json:"Counts"`
}

// QuotaUsage is what of a budget is out.
type QuotaUsage struct {
	Name         string  `json:"Name"`
	Limit        float64 `json:"Whole"`
	Burst        float64 `json:"Burst"`
	Granted      float64 `json:"Granted"`    // with all floors
	GrantedBurst float64 `json:"BurstsHeld"` // with all floors
}

// RemoteError is an error as it goes over the wire: the name of its type, what it says, and what an operator can do.
type RemoteError struct {
	Code          string `json:"Name"`
	Message       string `json:"Text"`
	Help          string `json:"Help"`
	LeaderAddress string `json:"Leader"` // of NotLeader: where to ask instead; empty is not known
}

func (p RemoteError) Error() string { return p.Message }

// Advice is what an operator can do, as the steward said it.
func (p RemoteError) Advice() string { return p.Help }

// CodedError is an error that has a name in messages between processes which stays as it is when its type gets another name.
type CodedError interface {
	operatorerror.Error
	Code() string
}

// RemoteErrorOf is an error as it is told.
func RemoteErrorOf(err error) RemoteError {
	if err == nil {
		return RemoteError{}
	}
	var p RemoteError
	if errors.As(err, &p) {
		return p
	}
	name := "error"
	var typed operatorerror.Error
	if errors.As(err, &typed) {
		name = fmt.Sprintf("%T", typed)
	}
	if coded, ok := typed.(CodedError); ok {
		name = coded.Code()
	}
	return RemoteError{Code: name, Message: err.Error(), Help: operatorerror.Of(err)}
}

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // constants
	}
	return m
}()

// DecodeBody decodes a body into v.
func DecodeBody(r io.Reader, v any) error {
	text, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MaxBodyBytes {
		return MalformedMessageError{fmt.Sprintf("it has over %d bytes", MaxBodyBytes)}
	}
	if err := decodeMode.Unmarshal(text, v); err != nil {
		return MalformedMessageError{err.Error()}
	}
	return nil
}

// WriteReply answers with v, or with a Problem.
func WriteReply(w http.ResponseWriter, status int, v any) {
	text, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(text) // who asked is gone
}

// Call asks a steward and reads its answer into out. An error is a Problem if the steward gave one, and Unreachable otherwise. ctx
// must have an end.
func Call(ctx context.Context, client *http.Client, address, path string, in, out any) error {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if in != nil {
		text, err := cbor.Marshal(in)
		if err != nil {
			return err
		}
		method, body = http.MethodPost, bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return ServerUnreachableError{address, err}
	}
	r.Header.Set("Content-Type", "application/cbor")
	if end, ok := ctx.Deadline(); ok {
		r.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	}
	a, err := client.Do(r)
	if err != nil {
		return ServerUnreachableError{address, err}
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		var p RemoteError
		if err := DecodeBody(a.Body, &p); err != nil || p.Message == "" {
			return ServerUnreachableError{address, fmt.Errorf("it answers %s", a.Status)}
		}
		return p
	}
	if out == nil {
		return nil
	}
	if err := DecodeBody(a.Body, out); err != nil {
		return ServerUnreachableError{address, err}
	}
	return nil
}
