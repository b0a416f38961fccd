package quotalease

import "time"

// Request is what a process sends to the servers, as CBOR. It may arrive late, repeatedly and out of order.
type Request struct {
	FleetID string `json:"Fleet"`
	// Epoch is the highest that the process knows.
	Epoch uint64 `json:"Epoch"`
	HolderID
	// Seq numbers the requests of a process, from 1.
	Seq uint64 `json:"Seq"`
	// SeenVersion is the newest configuration version that the process saw.
	SeenVersion uint64 `json:"Seen"`
	// FloorsVersion is the version whose floors it has adopted; 0 without the claim to them.
	FloorsVersion uint64 `json:"Floors"`
	// Leaving says that the process will spend nothing more.
	Leaving bool           `json:"Leaving"`
	Quotas  []QuotaRequest `json:"Wants"`
}

// QuotaRequest is what a process requests of a quota, beyond its floor, and what it holds of it.
type QuotaRequest struct {
	Quota string `json:"Budget"`
	// Wanted is units a second, or units in flight.
	Wanted Amount `json:"Units"`
	// Token is the newest that the process took. It will never use an older lease.
	Token Token `json:"Token"`
	// Ended says that the process will never again use that lease either.
	Ended bool `json:"Ended"`
	// InFlight is the units in flight now, under leases.
	InFlight Amount `json:"Held"`
}

// Reply is what a server sends to a holder, as CBOR: all that the holder has by this server's state machine. It may
// arrive late, repeatedly and out of order.
type Reply struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	ConfigVersion uint64 `json:"Version"`
	// Leases are the newest of each quota.
	Leases []Lease `json:"Grants"`
	// Floors are those of the holder's name, by quota.
	Floors map[string]Floor `json:"Floors"`
}

// Floor is what a holder has of a quota by its name, without a lease.
type Floor struct {
	Kind        Kind          `json:"Kind"`
	Amount      Amount        `json:"Amount"`
	Burst       Amount        `json:"Burst"`
	MaxHoldTime time.Duration `json:"Life"`
}
