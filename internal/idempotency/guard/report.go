package guard

import "sync/atomic"

// Counts are the events of a Guard since it was created.
type Counts struct {
	Started    atomic.Int64 // requests that ran, or were rejected because their intent could not be written
	Joined     atomic.Int64 // copies that waited for one in flight
	Replayed   atomic.Int64 // copies that got an earlier answer
	MayHaveRun atomic.Int64 // requests of unknown outcome
	Full       atomic.Int64 // requests that were rejected, and have not run
	DiskErrors atomic.Int64 // writes that failed or took too long
}

// Report is a Guard's state and counts, as the admin protocol shows them.
type Report struct {
	Ready      bool  `json:"ready"` // the ledger is read, and requests run
	Durable    bool  `json:"durable"`
	Entries    int   `json:"entries"`
	Bytes      int   `json:"bytes"` // of answers
	InFlight   int   `json:"in_hand"`
	Started    int64 `json:"begun"`
	Joined     int64 `json:"joined"`
	Replayed   int64 `json:"repeated"`
	MayHaveRun int64 `json:"may_have_run"`
	Full       int64 `json:"full"`
	DiskErrors int64 `json:"disk_errors"`
	Flushes    int64 `json:"flushes"`
	FileBytes  int64 `json:"file_bytes"`
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
		r.FileBytes, _ = s.Size() // stays 0 if it cannot be read
	}
	r.Started = g.Counts.Started.Load()
	r.Joined = g.Counts.Joined.Load()
	r.Replayed = g.Counts.Replayed.Load()
	r.MayHaveRun = g.Counts.MayHaveRun.Load()
	r.Full = g.Counts.Full.Load()
	r.DiskErrors = g.Counts.DiskErrors.Load()
	return r
}
