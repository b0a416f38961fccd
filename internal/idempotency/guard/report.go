package guard

import "sync/atomic"

// Counts holds the number of events of each kind since a Guard was created.
type Counts struct {
	Started    atomic.Int64 // new requests, including those rejected because their intent could not be written
	Joined     atomic.Int64 // copies that waited for another copy in flight
	Replayed   atomic.Int64 // copies that got the answer of an earlier copy
	MayHaveRun atomic.Int64 // copies of a request whose outcome is unknown
	Full       atomic.Int64 // requests rejected without having run, also because the store was not loaded
	DiskErrors atomic.Int64 // writes that failed, took longer than WriteTimeout, or whose client gave up
}

// Report is the state of a Guard and its counts, as encoded in the admin protocol.
type Report struct {
	Ready      bool  `json:"ready"`   // the ledger is loaded, and requests can run
	Durable    bool  `json:"durable"` // the ledger is persisted on disk
	Entries    int   `json:"entries"` // number of remembered requests
	Bytes      int   `json:"bytes"`   // total length of remembered answers
	InFlight   int   `json:"in_hand"`
	Started    int64 `json:"begun"`
	Joined     int64 `json:"joined"`
	Replayed   int64 `json:"repeated"`
	MayHaveRun int64 `json:"may_have_run"`
	Full       int64 `json:"full"`
	DiskErrors int64 `json:"disk_errors"`
	Flushes    int64 `json:"flushes"`    // transactions written to disk
	FileBytes  int64 `json:"file_bytes"` // size of the store's file
}

// Report returns the guard's state and counts.
func (g *Guard) Report() Report {
	g.mu.Lock()
	r := Report{Ready: g.ledger != nil, Durable: g.options.Path != "", InFlight: len(g.inFlight)}
	if g.ledger != nil {
		r.Entries, r.Bytes = g.ledger.Len()
	}
	s := g.store
	g.mu.Unlock()
	if s != nil {
		r.Flushes = s.Commits()
		r.FileBytes, _ = s.Size() // 0 if the size cannot be read
	}
	r.Started = g.Counts.Started.Load()
	r.Joined = g.Counts.Joined.Load()
	r.Replayed = g.Counts.Replayed.Load()
	r.MayHaveRun = g.Counts.MayHaveRun.Load()
	r.Full = g.Counts.Full.Load()
	r.DiskErrors = g.Counts.DiskErrors.Load()
	return r
}
