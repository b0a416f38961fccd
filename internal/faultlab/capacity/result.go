package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Result is the summary. Times are in milliseconds, -1 is never; bytes are those at the socket, both ways, HTTP's heads with them;
// processor time is in percent of one core, memory in millions of bytes.
type Result struct {
	Proxies   int `json:"proxies"`
	Hollow    int `json:"hollow"`
	Processes int `json:"processes"`

	Changes int `json:"changes"`
	InForce int `json:"in_force"` // that all living proxies were seen to decide by

	P50 float64 `json:"in_force_p50_ms"` // from the offer's call until the last proxy was seen to decide by it
	P99 float64 `json:"in_force_p99_ms"`
	Max float64 `json:"in_force_max_ms"` // of those in force

	BytesProxy  float64 `json:"bytes_proxy_s"`  // of one hollow proxy, while changes go on
	BytesPolicy float64 `json:"bytes_policy_s"` // of it, for policy and reports
	BytesBudget float64 `json:"bytes_budget_s"`
	BytesRest   float64 `json:"bytes_policy_rest_s"` // for policy and reports, before the first change
	BytesChange float64 `json:"bytes_change"`        // by so much policy's bytes rise for one change over those at rest

	CPU       float64 `json:"cpu_proxy_percent"` // of a hollow proxy; what a process takes whose hollow ones take nothing up is taken off
	CPURest   float64 `json:"cpu_proxy_rest_percent"`
	CPURig    float64 `json:"cpu_rig_percent"` // what was taken off
	Memory    float64 `json:"memory_proxy_mb"`
	Live      float64 `json:"memory_proxy_live_mb"` // after a collection
	RealCPU   float64 `json:"real_cpu_percent"`     // control of a real proxy without clients: with a fleet, less one without; 0 without real ones
	RealMB    float64 `json:"real_memory_mb"`
	RealPlain float64 `json:"real_plain_cpu_percent"` // of the one without a fleet

	StewardCPU    float64 `json:"steward_cpu_percent"` // of the one that takes most
	StewardOthers float64 `json:"steward_others_cpu_percent"`
	StewardRest   float64 `json:"steward_rest_cpu_percent"` // of the one that takes most, before the first change
	StewardMB     float64 `json:"steward_memory_mb"`

	LeftBehind  int `json:"left_behind"`   // proxies that do not decide by the newest at the end
	Wrong       int `json:"wrong_content"` // proxies that were seen to decide otherwise than the policy that they say they have
	RulesBroken int `json:"rules_broken"`

	CaughtUp float64 `json:"caught_up_max_ms"` // from a fault's end until all decide by what was offered until then; 0 without faults
	Faults   []Fault `json:"faults,omitempty"`

	Teams      int            `json:"teams"`
	Seed       uint64         `json:"seed"`
	Need       Need           `json:"need"`
	LoadMS     float64        `json:"load_ms"`  // founding, charter and first files
	StartMS    float64        `json:"start_ms"` // until all proxies decide by the first policy
	Length     float64        `json:"length_s"` // of what bytes and processor time are taken over
	Requests   int            `json:"real_requests"`
	NoAnswer   int            `json:"real_unanswered"`
	Unanswered map[string]int `json:"real_unanswered_why,omitempty"`
	Unchecked  int            `json:"unchecked"` // decisions whose policy's content never became known
	Held       []string       `json:"held,omitempty"`
	Behind     []string       `json:"behind,omitempty"` // some of those left behind
	Evidence   []string       `json:"evidence,omitempty"`
	Broken     []Broken       `json:"broken,omitempty"`
	Troubles   map[string]int `json:"troubles,omitempty"` // that hollow proxies tell of
	InForceAll []float64      `json:"in_force_ms,omitempty"`
}

// Broken is a rule that was broken.
type Broken struct {
	Rule     string   `json:"rule"`
	Count    int      `json:"count"`
	Evidence []string `json:"evidence"`
}

// Fault is one that was played.
type Fault struct {
	Kind     string  `json:"kind"`
	At       float64 `json:"at_ms"` // since the first change could come
	Lasted   float64 `json:"lasted_ms"`
	Proxies  int     `json:"proxies"`      // that it befell
	CaughtUp float64 `json:"caught_up_ms"` // -1: not as long as it was waited for
	Behind   int     `json:"behind,omitempty"`
}

// Held tells whether all came into force, nobody is left behind or wrong, and no rule was broken.
func (r *Result) Holds() bool {
	return r.InForce == r.Changes && r.LeftBehind == 0 && r.Wrong == 0 && r.RulesBroken == 0 && r.CaughtUp >= 0
}

func ms(d time.Duration) float64 {
	if d == never {
		return -1
	}
	return math.Round(float64(d)/1e4) / 100
}

// quantile is of sorted times; one that is never is -1.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return -1
	}
	return ms(all[min(len(all)-1, int(math.Ceil(q*float64(len(all))))-1)])
}

// Text writes a few lines.
func (r *Result) Text(w io.Writer) {
	fmt.Fprintf(w, "%d proxies, %d of them hollow, in %d processes; policy %.2f MB encoded\n", r.Proxies, r.Hollow, r.Processes, float64(r.Need.PolicyBytes)/1e6)
	fmt.Fprintf(w, "changes %d, in force %d: p50 %.0f ms, p99 %.0f ms, max %.0f ms\n", r.Changes, r.InForce, r.P50, r.P99, r.Max)
	fmt.Fprintf(w, "a proxy: %.0f bytes/s (policy %.0f, at rest %.0f; budgets %.0f), %.0f bytes a change; %.3f%% of a core (at rest %.3f%%; the rig %.3f%%), %.1f MB (%.1f alive)\n",
		r.BytesProxy, r.BytesPolicy, r.BytesRest, r.BytesBudget, r.BytesChange, r.CPU, r.CPURest, r.CPURig, r.Memory, r.Live)
	fmt.Fprintf(w, "a real proxy's control: %.3f%% of a core, %.1f MB; %d requests, %d unanswered\n", r.RealCPU, r.RealMB, r.Requests, r.NoAnswer)
	fmt.Fprintf(w, "a steward: %.1f%% of a core (others %.1f%%, at rest %.1f%%), %.0f MB\n", r.StewardCPU, r.StewardOthers, r.StewardRest, r.StewardMB)
	for why, n := range r.Unanswered {
		fmt.Fprintf(w, "  unanswered, %d times: %s\n", n, why)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "fault %s, %d proxies, for %.0f ms: caught up after %.0f ms\n", f.Kind, f.Proxies, f.Lasted, f.CaughtUp)
	}
	fmt.Fprintf(w, "left behind %d, wrong content %d, rules broken %d, unchecked %d", r.LeftBehind, r.Wrong, r.RulesBroken, r.Unchecked)
	if len(r.Faults) > 0 {
		fmt.Fprintf(w, ", caught up after %.0f ms at most", r.CaughtUp)
	}
	fmt.Fprintln(w)
	for _, text := range slices.Concat(r.Behind, r.Evidence) {
		fmt.Fprintln(w, "  "+text)
	}
	for _, b := range r.Broken {
		fmt.Fprintf(w, "  %s, %d times: %q\n", b.Rule, b.Count, b.Evidence)
	}
	for _, h := range r.Held {
		fmt.Fprintln(w, "  held: "+h)
	}
}
