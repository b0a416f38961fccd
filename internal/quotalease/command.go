package quotalease

import "time"

// Command is an entry of the replicated log, stored as JSON. Exactly one field is set. The tags keep the field names of
// logs that earlier releases wrote.
type Command struct {
	Bootstrap     *Bootstrap     `json:"Found,omitempty"`
	SetQuotas     *SetQuotas     `json:"SetBudgets,omitempty"`
	Grant         *Lease         `json:"Grant,omitempty"`
	Expire        *Expire        `json:"Expire,omitempty"`
	Ack           *Ack           `json:"Ack,omitempty"`
	Release       *Release       `json:"GiveBack,omitempty"`
	ObserveConfig *ObserveConfig `json:"Know,omitempty"`
	GrantBatch    *GrantBatch    `json:"Grants,omitempty"`
	AckBatch      *AckBatch      `json:"Words,omitempty"`
	// Batch is applied in order; each command is accepted or rejected on its own.
	Batch []Command `json:"Batch,omitempty"`
}

// Bootstrap is an operator's command that starts a new epoch of the fleet with this log. Epoch must be above all
// earlier ones. The state machine grants no lease and accepts no configuration until MaxLifetime has passed, because
// leases of an earlier epoch may still be in use. MaxLifetime and MaxDrift must be at least those of the previous
// bootstrap; they are the upper bounds of the same fields of all configurations of the epoch (FleetConfig).
type Bootstrap struct {
	FleetID     string        `json:"Fleet"`
	Epoch       uint64        `json:"Epoch"`
	MaxDrift    float64       `json:"Drift"`
	MaxLifetime time.Duration `json:"Longest"`
}

// SetQuotas sets a new configuration. Version must be above all earlier ones. A lower limit takes full effect once the
// last lease of the previous version has expired. A lowered floor stays counted at its old size until its holder
// reports that it has adopted the new version.
type SetQuotas struct {
	Version uint64      `json:"Version"`
	Config  FleetConfig `json:"Fleet"`
	// RemovedHolders are the names of holders whose floors no process will use again, as confirmed by an operator.
	// These floors are freed at once.
	RemovedHolders []string `json:"Gone,omitempty"`
}

// Lease grants a part of a quota to one process for a limited time.
type Lease struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	Quota string `json:"Budget"`
	Kind  Kind   `json:"Kind"`
	// Amount is units a second of a Rate, and units in flight at once of InFlight.
	Amount Amount `json:"Amount"`
	// Burst is the size of the token bucket; 0 for InFlight.
	Burst Amount `json:"Burst"`
	// Duration is how long the lease lasts. The holder counts it from when it sent request RequestSeq.
	Duration    time.Duration `json:"Lease"`
	MaxHoldTime time.Duration `json:"Life"`
	// RequestSeq is the number of the request that the lease answers. The holder sent it before the lease was
	// committed.
	RequestSeq uint64 `json:"Ask"`
	// ConfigVersion is set by the state machine.
	ConfigVersion uint64 `json:"Version"`
	// Token is set by the state machine.
	Token Token `json:"Token"`
}

// tokenOrZero returns the token of the lease, or the zero token if l is nil.
func (l *Lease) tokenOrZero() Token {
	if l == nil {
		return Token{}
	}
	return l.Token
}

// Expire reports that, by a server's clock, a lease, a residual of units in flight or the waiting time after a
// bootstrap has expired for certain. Token identifies which.
type Expire struct {
	HolderID
	Quota string `json:"Budget"`
	Token Token  `json:"Token"`
}

// Ack reports that a holder uses the lease of Token, will never use an older one, and had InFlight units in flight
// when it sent request RequestSeq.
type Ack struct {
	Epoch uint64 `json:"Epoch"`
	HolderID
	Quota      string `json:"Budget"`
	RequestSeq uint64 `json:"Seq"`
	Token      Token  `json:"Token"`
	InFlight   Amount `json:"Held"`
}

// Release reports that a holder will never again use the lease of Token or an older one, and had InFlight units in
// flight when it sent request RequestSeq. If All is set, the holder will not use any lease of this quota again.
type Release struct {
	Ack
	All bool `json:"All"`
}

// GrantBatch grants leases of many quotas to one process, in answer to one request, each with the quota's lease
// duration. Each grant is accepted or rejected on its own. An Allocator proposes this form because it takes less space
// in the log than one Lease per quota.
type GrantBatch struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	RequestSeq uint64       `json:"Ask"`
	Grants     []QuotaGrant `json:"Parts"`
}

// QuotaGrant is the lease of one quota in a GrantBatch.
type QuotaGrant struct {
	Quota  string `json:"b"`
	Amount Amount `json:"a"`
	Burst  Amount `json:"u,omitempty"`
}

// AckBatch acknowledges the leases of many quotas of one process, as reported by one request. Each quota is treated as
// an Ack, or as a Release where Ended or All is set.
type AckBatch struct {
	Epoch uint64 `json:"Epoch"`
	HolderID
	RequestSeq uint64 `json:"Seq"`
	// All reports that the holder will not use any lease of the quotas in Acks again.
	All  bool       `json:"All,omitempty"`
	Acks []QuotaAck `json:"Parts"`
}

// QuotaAck is the acknowledgement of one quota in an AckBatch.
type QuotaAck struct {
	Quota    string `json:"b"`
	Token    Token  `json:"t"`
	InFlight Amount `json:"h,omitempty"`
	// Ended reports that the holder will not use the lease of Token again.
	Ended bool `json:"e,omitempty"`
}

// ObserveConfig reports which configuration versions a process has received.
type ObserveConfig struct {
	HolderID
	// SeenVersion is the newest configuration version that the process has received.
	SeenVersion uint64 `json:"Seen"`
	// FloorsVersion is the configuration version whose floors the process has adopted; 0 if the process may not use
	// the floors of its holder's name (see Holder.SetFloorClaim).
	FloorsVersion uint64 `json:"Floors"`
}

// Expiry identifies something that the state machine counts until it expires: the waiting time after a bootstrap
// (Quota is empty), a lease, or a residual of units in flight. Each server starts a timer of Duration, extended by
// DriftMargin, when it applies the command.
type Expiry struct {
	HolderID
	Quota    string
	Token    Token
	Duration time.Duration
}

// ApplyResult is the result of a log entry.
type ApplyResult struct {
	// Token is the fencing token of the log entry.
	Token Token
	// Started are the expiries for which timers must start. The caller passes the result to Allocator.ObserveApplied.
	Started []Expiry
	// Rejected has an error for each rejected part of a Batch, a GrantBatch or an AckBatch.
	Rejected []error
}
