package quotalease

import "time"

// Command is an entry of the replicated log, as JSON: exactly one field is set. The names of the fields in the log
// differ from those here (see the tags), because the log outlives a release.
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
	// Batch is applied in order; each command is accepted or rejected by itself.
	Batch []Command `json:"Batch,omitempty"`
}

// Bootstrap is an operator's command: from now on this log is the fleet's, under an epoch above all earlier ones.
// No lease is granted and no configuration is set until MaxLifetime has passed. MaxLifetime and MaxDrift must be at
// least those of the bootstrap before.
type Bootstrap struct {
	FleetID     string        `json:"Fleet"`
	Epoch       uint64        `json:"Epoch"`
	MaxDrift    float64       `json:"Drift"`
	MaxLifetime time.Duration `json:"Longest"`
}

// SetQuotas is a new configuration, under a version above all earlier ones. A lower limit holds once the last lease
// under the version before has expired. A floor that is lowered stays counted until its holder says that it has
// adopted the new version.
type SetQuotas struct {
	Version uint64      `json:"Version"`
	Config  FleetConfig `json:"Fleet"`
	// RemovedHolders are holders whose floors, as an operator vouches, nobody will spend again.
	RemovedHolders []string `json:"Gone,omitempty"`
}

// Lease is a part of a quota for one process, for a length of time.
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
	// Duration is counted by the holder from when it sent the request that the lease answers.
	Duration    time.Duration `json:"Lease"`
	MaxHoldTime time.Duration `json:"Life"`
	// RequestSeq is the number of the request that the lease answers. It was sent before the lease was committed.
	RequestSeq uint64 `json:"Ask"`
	// ConfigVersion is set by the state machine.
	ConfigVersion uint64 `json:"Version"`
	// Token is set by the state machine.
	Token Token `json:"Token"`
}

// tokenOrZero returns the token of a lease, the zero token of none.
func (l *Lease) tokenOrZero() Token {
	if l == nil {
		return Token{}
	}
	return l.Token
}

// Expire says that something has certainly expired by a server's clock: a lease, a residual of units in flight, or the
// waiting time after a bootstrap.
type Expire struct {
	HolderID
	Quota string `json:"Budget"`
	Token Token  `json:"Token"`
}

// Ack says that a holder uses the lease of Token, will never use an older one, and had InFlight units in flight
// when it sent request RequestSeq.
type Ack struct {
	Epoch uint64 `json:"Epoch"`
	HolderID
	Quota      string `json:"Budget"`
	RequestSeq uint64 `json:"Seq"`
	Token      Token  `json:"Token"`
	InFlight   Amount `json:"Held"`
}

// Release says that a holder will never again use the lease of Token or an older one, and had InFlight units in
// flight when it sent request RequestSeq. With All it will use no lease of this quota at all.
type Release struct {
	Ack
	All bool `json:"All"`
}

// GrantBatch grants leases of many quotas to one process, in answer to one request, each with the quota's lease
// duration. They are accepted or rejected one by one. An Allocator proposes this form, because it is shorter than a
// Lease for each.
type GrantBatch struct {
	FleetID string `json:"Fleet"`
	Epoch   uint64 `json:"Epoch"`
	HolderID
	RequestSeq uint64       `json:"Ask"`
	Grants     []QuotaGrant `json:"Parts"`
}

// QuotaGrant is one lease of a GrantBatch.
type QuotaGrant struct {
	Quota  string `json:"b"`
	Amount Amount `json:"a"`
	Burst  Amount `json:"u,omitempty"`
}

// AckBatch acknowledges many quotas of one process in answer to one request: each as an Ack, or as a Release where
// Ended or All is set.
type AckBatch struct {
	Epoch uint64 `json:"Epoch"`
	HolderID
	RequestSeq uint64     `json:"Seq"`
	All        bool       `json:"All,omitempty"`
	Acks       []QuotaAck `json:"Parts"`
}

// QuotaAck is one acknowledgement of an AckBatch.
type QuotaAck struct {
	Quota    string `json:"b"`
	Token    Token  `json:"t"`
	InFlight Amount `json:"h,omitempty"`
	Ended    bool   `json:"e,omitempty"`
}

// ObserveConfig says which configurations a process knows.
type ObserveConfig struct {
	HolderID
	// SeenVersion is the newest configuration version that the process saw.
	SeenVersion uint64 `json:"Seen"`
	// FloorsVersion is the version whose floors it has adopted; 0 without the claim to the floors of its name.
	FloorsVersion uint64 `json:"Floors"`
}

// Expiry is something that stays counted until it has expired: the waiting time after a bootstrap (Quota is empty),
// a lease, or a residual of units in flight. Each server counts Duration, with DriftMargin, from when it applied
// the command.
type Expiry struct {
	HolderID
	Quota    string
	Token    Token
	Duration time.Duration
}

// ApplyResult is what a command did.
type ApplyResult struct {
	// Token is the fencing token of the log entry.
	Token Token
	// Started are the expiries that the command began. The caller passes them to Allocator.ObserveApplied.
	Started []Expiry
	// Rejected are the reasons for each rejected part of a Batch, a GrantBatch or an AckBatch.
	Rejected []error
}
