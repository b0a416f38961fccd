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
	PathAsk     = "/v1/ask"    // POST grant.Request, gives grant.Reply
	PathFound   = "/v1/found"  // POST Founding: an operator's word
	PathSet     = "/v1/set"    // POST grant.SetBudgets: an operator's word
	PathStatus  = "/v1/status" // GET, gives Status
	PathMetrics = "/metrics"   // GET, Prometheus
)

// MostBody is the longest body that either side reads, in bytes.
const MostBody = 1 << 20

// headerWait tells for how long the caller waits, in milliseconds.
const headerWait = "X-Timeout-Ms"

// Waits is for how long the caller of a steward waits; most if it doesn't say, or longer.
func Waits(r *http.Request, most time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(headerWait), 10, 32)
	if err != nil || ms <= 0 {
		return most
	}
	return min(most, time.Duration(ms)*time.Millisecond)
}

// Founding asks a steward to make its store, and to begin the fleet under an epoch above all before.
type Founding struct {
	Fleet   string   `json:"Fleet"`
	Epoch   uint64   `json:"Epoch"`
	Drift   float64  `json:"Drift"`
	Longest int64    `json:"Longest"` // nanoseconds
	Members []uint64 `json:"Members"`
	ID      uint64   `json:"ID"` // of the steward that is asked: a wrong address must not make a wrong store
}

// Status is how a steward stands.
type Status struct {
	Name       string            `json:"Name"`
	Fleet      string            `json:"Fleet"`
	ID         uint64            `json:"ID"`
	Epoch      uint64            `json:"Epoch"` // 0 is not founded
	Role       string            `json:"Role"`
	Leader     string            `json:"Leader"` // the address of whom it believes to lead
	LeaderName string            `json:"LeaderName"`
	Term       uint64            `json:"Term"`
	Commit     uint64            `json:"Commit"`
	Applied    uint64            `json:"Applied"`
	Silent     []uint64          `json:"Silent"` // who has not confirmed its store yet
	Heard      int               `json:"Heard"`
	Voters     int               `json:"Voters"`
	Version    uint64            `json:"Version"` // of the budgets
	Unset      bool              `json:"Unset"`   // no budgets are set: the time before the founding may not be over
	Budgets    []Counted         `json:"Budgets"`
	Trouble    Problem           `json:"Trouble"` // why it takes no part; empty if it does
	Counts     map[string]uint64 `json:"Counts"`
}

// Counted is what of a budget is out.
type Counted struct {
	Name       string  `json:"Name"`
	Whole      float64 `json:"Whole"`
	Burst      float64 `json:"Burst"`
	Granted    float64 `json:"Granted"`    // with all floors
	BurstsHeld float64 `json:"BurstsHeld"` // with all floors
}

// Problem is an error as it goes over the wire: the name of its type, what it says, and what an operator can do.
type Problem struct {
	Name   string `json:"Name"`
	Text   string `json:"Text"`
	Help   string `json:"Help"`
	Leader string `json:"Leader"` // of NotLeader: where to ask instead; empty is not known
}

func (p Problem) Error() string { return p.Text }

// Advice is what an operator can do, as the steward said it.
func (p Problem) Advice() string { return p.Help }

// Coded is an error that has a name in messages between processes which stays as it is when its type gets another name.
type Coded interface {
	operatorerror.Error
	Code() string
}

// ProblemOf is an error as it is told.
func ProblemOf(err error) Problem {
	if err == nil {
		return Problem{}
	}
	var p Problem
	if errors.As(err, &p) {
		return p
	}
	name := "error"
	var typed operatorerror.Error
	if errors.As(err, &typed) {
		name = fmt.Sprintf("%T", typed)
	}
	if coded, ok := typed.(Coded); ok {
		name = coded.Code()
	}
	return Problem{Name: name, Text: err.Error(), Help: operatorerror.Of(err)}
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // constants
	}
	return m
}()

// Read decodes a body into v.
func Read(r io.Reader, v any) error {
	text, err := io.ReadAll(io.LimitReader(r, MostBody+1))
	if err != nil {
		return err
	}
	if len(text) > MostBody {
		return BadMessage{fmt.Sprintf("it has over %d bytes", MostBody)}
	}
	if err := decoder.Unmarshal(text, v); err != nil {
		return BadMessage{err.Error()}
	}
	return nil
}

// Write answers with v, or with a Problem.
func Write(w http.ResponseWriter, status int, v any) {
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
		return Unreachable{address, err}
	}
	r.Header.Set("Content-Type", "application/cbor")
	if end, ok := ctx.Deadline(); ok {
		r.Header.Set(headerWait, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	}
	a, err := client.Do(r)
	if err != nil {
		return Unreachable{address, err}
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		var p Problem
		if err := Read(a.Body, &p); err != nil || p.Text == "" {
			return Unreachable{address, fmt.Errorf("it answers %s", a.Status)}
		}
		return p
	}
	if out == nil {
		return nil
	}
	if err := Read(a.Body, out); err != nil {
		return Unreachable{address, err}
	}
	return nil
}
