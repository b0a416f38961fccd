package api

// Paths of a server's calls. Bodies are CBOR, except those of PathMetrics.
const (
	PathLease     = "/v1/ask"    // POST quotalease.Request, returns quotalease.Reply; only the leader answers
	PathBootstrap = "/v1/found"  // POST BootstrapRequest
	PathSetQuotas = "/v1/set"    // POST quotalease.SetQuotas; only the leader answers
	PathStatus    = "/v1/status" // GET, returns ServerStatus
	PathMetrics   = "/metrics"   // GET, returns metrics in Prometheus' text format
)

// MaxBodyBytes is the maximum length of a body that servers and their callers read, in bytes.
const MaxBodyBytes = 1 << 20

// BootstrapRequest makes a server create its Raft log and start the fleet under an epoch above all earlier ones.
type BootstrapRequest struct {
	Fleet            string   `json:"Fleet"`
	Epoch            uint64   `json:"Epoch"`
	MaxDrift         float64  `json:"Drift"`   // of clocks, as a fraction; see quotalease.Config
	MaxLifetimeNanos int64    `json:"Longest"` // of leases
	ServerIDs        []uint64 `json:"Members"` // of all servers of the fleet
	// ServerID is the ID of the intended server, so that a wrong address does not create a log under a wrong ID.
	ServerID uint64 `json:"ID"`
}

// ServerStatus is the state of one server as it sees it.
type ServerStatus struct {
	Name       string `json:"Name"`
	Fleet      string `json:"Fleet"`
	ID         uint64 `json:"ID"`
	Epoch      uint64 `json:"Epoch"`      // 0 before the bootstrap
	Role       string `json:"Role"`       // the Raft library's name of the server's state, such as StateLeader
	Leader     string `json:"Leader"`     // address of the leader; empty if unknown to the server
	LeaderName string `json:"LeaderName"` // name of that leader
	Term       uint64 `json:"Term"`
	Commit     uint64 `json:"Commit"`
	Applied    uint64 `json:"Applied"`
	// UnconfirmedServers are the IDs of servers that have not yet confirmed that their log is complete.
	UnconfirmedServers []uint64 `json:"Silent"`
	// RespondingVoters is the number of voters that answered recently, including the server itself. Only the leader
	// sets it.
	RespondingVoters int `json:"Heard"`
	Voters           int `json:"Voters"`
	// ConfigVersion is the version of the quotas.
	ConfigVersion uint64 `json:"Version"`
	// QuotasUnset means that no quotas are set; leases of an earlier epoch may not have expired yet.
	QuotasUnset bool         `json:"Unset"`
	Quotas      []QuotaUsage `json:"Budgets"`
	// Fault is why the server takes no part in the control plane; empty if it does.
	Fault    RemoteError       `json:"Trouble"`
	Counters map[string]uint64 `json:"Counts"` // since the server's start
}

// QuotaUsage describes how much of a quota is granted at this moment. Limit and Granted are in units per second, the
// bursts in units.
type QuotaUsage struct {
	Name         string  `json:"Name"`
	Limit        float64 `json:"Whole"`
	Burst        float64 `json:"Burst"`
	Granted      float64 `json:"Granted"`    // by leases and floors
	GrantedBurst float64 `json:"BurstsHeld"` // by leases and floors
}
