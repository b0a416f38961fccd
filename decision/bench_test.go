package decision

import (
	"fmt"
	"testing"
	"time"
)

// silentHost is a Host that only records the backend of the last send; 0 means none.
type silentHost struct {
	recorder
	to BackendID
}

func (h *silentHost) Send(_ RequestID, to BackendID, _ time.Duration) { h.to = to }
func (h *silentHost) Reject(RequestID, time.Duration)                 { h.to = 0 }
func (h *silentHost) Fail(RequestID)                                  { h.to = 0 }
func (h *silentHost) CheckHealth(BackendID)                           {}
func (h *silentHost) StartTimer(time.Duration, uint64)                {}

// BenchmarkRequest measures a request from its arrival to its answer, with a sweep after every 100 requests.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{10, 50} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("backends=%d/keyed=%v", backends, keyed), func(b *testing.B) {
				cfg, h := testConfig(), &silentHost{}
				cfg.KeyAffinity = keyed
				balancer, err := New(cfg, 1, h)
				if err != nil {
					b.Fatalf("New: %v", err)
				}
				balancer.Start(second)
				balancer.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 1, Backends: list(backends)})
				b.ReportAllocs()
				now, answered := second, 0
				for i := range b.N {
					now += milli
					h.to = 0
					balancer.Request(now, Request{ID: RequestID(i), Class: i % 4, Key: uint64(i % 100),
						Deadline: now + 3*second})
					if h.to != 0 {
						balancer.Outcome(now+100*time.Microsecond, Outcome{ID: RequestID(i), Backend: h.to, Result: OK,
							Final: true})
						answered++
					}
					if i%100 == 0 {
						balancer.Timer(now, sweepToken)
					}
				}
				if answered < b.N/2 {
					b.Fatalf("%d of %d requests were sent and answered, want at least half", answered, b.N)
				}
			})
		}
	}
}
