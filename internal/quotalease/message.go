package quotalease

import "time"

// Request is the message from a holder process to the servers, encoded as CBOR. It may arrive late, repeatedly and out
// of order.
type Request struct {
	FleetID string `json:"Fleet"`
	// Epoch is the highest epoch that the process has received.
	Epoch uint64 `json:"Epoch"`
	HolderID
	// Seq numbers the requests of a process, from 1.
	Seq uint64 `json:"Seq"`
	// SeenVersion is the newest configuration version that the process has received.
	SeenVersion uint64 `json:"Seen"`
	// FloorsVersion is the configuration version whose floors the process has adopted; 0 if the process may not use
	// the floors of its holder's name (see Holder.SetFloorClaim).
	FloorsVersion uint64 `json:"Floors"`
	// Leaving reports that the process has stopped spending and releases all leases.
	Leaving bool           `json:"Leaving"`
	Quotas  []QuotaRequest `json:"Wants"`
}

// QuotaRequest is what a process requests of a quota in addition to its floor, and what it uses of the quota.
type QuotaRequest struct {
	Quota string `json:"Budget"`
	// Wanted is the requested units a second, or units in flight.
	Wanted Amount `json:"Units"`
	// Token is that of the newest lease that the process accepted. The process will never use an older lease.
	Token Token `json:"Token"`
	// Ended reports that the process will not use the lease of Token again.
	Ended bool `json:"Ended"`
	// InFlight is the units in flight that leases admitted, at the time of the request.
	InFlight Amount `json:"Held"`
}

// Reply is the message from a server to a holder process, encoded as CBOR: all leases and floors of the holder in the
// server's state machine. It may arrive late, repeatedly and out of order.
type Reply struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	ConfigVersion uint64 `json:"Version"`
	// Leases has the newest lease of each quota.
	Leases []Lease `json:"Grants"`
	// Floors are the floors that belong to the holder's name, by the name of the quota.
	Floors map[string]Floor `json:"Floors"`
}

// Floor is the part of a quota that belongs to a holder's name and needs no lease.
type Floor struct {
	Kind Kind `json:"Kind"`
	// Amount is units a second of a Rate, and units in flight at once of InFlight.
	Amount Amount `json:"Amount"`
	// Burst is the size of the token bucket; 0 for InFlight.
	Burst       Amount        `json:"Burst"`
	MaxHoldTime time.Duration `json:"Life"`
}
