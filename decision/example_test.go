package decision_test

import (
	"fmt"
	"time"

	"lapisspread/decision"
)

// printer is a Host that prints the actions that a proxy would carry out.
type printer struct{}

func (printer) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	fmt.Printf("send request %d to backend %d, until %v\n", id, to, until)
}
func (printer) Reject(id decision.RequestID, after time.Duration) {
	fmt.Printf("reject request %d, retry after %v\n", id, after)
}
func (printer) Fail(id decision.RequestID) { fmt.Printf("fail request %d\n", id) }
func (printer) Cancel(id decision.RequestID, n int) {
	fmt.Printf("cancel attempt %d of request %d\n", n, id)
}
func (printer) CheckHealth(decision.BackendID)            {}
func (printer) ReleaseIdleConnections(decision.BackendID) {}
func (printer) WatchEndpoints(bool)                       {}
func (printer) FetchEndpoints()                           {}
func (printer) SendToPeer(uint32, []byte)                 {}
func (printer) StartTimer(time.Duration, uint64) {
	// A real proxy calls Balancer.Timer with the token after the duration.
}
func (printer) Log(line string) { fmt.Println(line) }

// A proxy reports events to its Balancer; the Host carries out the Balancer's decisions.
func Example() {
	cfg := decision.Config{
		Instances: 1,
		Tick:      time.Millisecond,
		Classes: []decision.Class{{Name: "page", LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second,
			Idempotency: decision.Idempotent, PriorityWeight: 1}},
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 1},
		Capabilities: decision.Capabilities{HealthChecks: true, ConnectTimeout: 100 * time.Millisecond,
			MaxAttempts: 3},
	}
	b, err := decision.New(cfg, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(time.Second)
	b.UpdateEndpoints(time.Second, decision.EndpointUpdate{Kind: decision.UpdateFull, Backends: []decision.Backend{
		{ID: 7, State: decision.Ready},
		{ID: 8, State: decision.Draining},
	}})
	b.Request(time.Second, decision.Request{ID: 1, Deadline: 2 * time.Second})
	now := time.Second + 20*time.Millisecond
	b.Outcome(now, decision.Outcome{ID: 1, Backend: 7, Result: decision.OK, Latency: 20 * time.Millisecond,
		Final: true})
	// Output:
	// send request 1 to backend 7, until 1.299s
}
