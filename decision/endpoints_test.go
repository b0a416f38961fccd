package decision

import "testing"

// A backend that is listed as draining or removed gets no new requests or health checks.
func TestDrainingOrRemovedBackendGetsNothingNew(t *testing.T) {
	for _, state := range []BackendState{Draining, Removed} {
		b, h := newBalancer(t, testConfig(), 3)
		b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateDelta, Backends: []Backend{{ID: 2, State: state}}})
		for i := range 200 {
			b.Request(second, Request{ID: RequestID(i), Deadline: 4 * second})
		}
		b.Timer(9*second, sweepToken)
		for _, a := range h.take("send", "check") {
			if a.to == 2 {
				t.Fatalf("after backend 2 was listed as %s: %v, want no send or check for it",
					map[BackendState]string{Draining: "draining", Removed: "removed"}[state], a)
			}
		}
	}
}

// An endpoint update does not make an unhealthy backend healthy.
func TestHealthSurvivesEndpointUpdate(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 3)
	for now := second; now < 12*second; now += b.checkInterval / sweepsPerInterval {
		b.Timer(now, sweepToken)
		for _, p := range h.take("check") {
			r := OK
			if p.to == 1 {
				r = Timeout
			}
			b.HealthChecked(now, HealthCheckResult{Backend: p.to, Result: r})
		}
	}
	b.UpdateEndpoints(12*second, EndpointUpdate{Kind: UpdateFull, Version: 2, Backends: list(5)})
	for i := range 100 {
		b.Request(12*second, Request{ID: RequestID(i), Deadline: 14 * second})
	}
	for _, a := range h.take("send") {
		if a.to == 1 {
			t.Fatalf("after an endpoint update: %v, want no send to unhealthy backend 1", a)
		}
	}
}

// A target that left the list while an attempt was in flight is dropped after the attempt has ended, without another
// endpoint update.
func TestRemovedTargetIsDropped(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	b.Request(second, Request{ID: 1, Class: 0, Deadline: 4 * second})
	sent := h.take("send")
	if len(sent) != 1 {
		t.Fatalf("Request caused %d sends, want 1", len(sent))
	}
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 2})
	if len(b.targets) != 1 {
		t.Fatalf("%d targets recorded after the list dropped the target of an attempt in flight, want 1",
			len(b.targets))
	}
	b.Outcome(2*second, Outcome{ID: 1, Backend: sent[0].to, Result: OK, Final: true})
	b.Timer(2*second, sweepToken)
	if len(b.targets) != 0 || len(b.targetsByID) != 0 {
		t.Errorf("after the attempt ended and a sweep, targets has %d entries and targetsByID %d, want none",
			len(b.targets), len(b.targetsByID))
	}
}

// A backend that left the list and returns counts as healthy, whether or not a health check was in flight.
func TestReturningBackendCountsAsHealthy(t *testing.T) {
	for _, checkInFlight := range []bool{false, true} {
		b, _ := newBalancer(t, testConfig(), 2)
		id := list(2)[0].ID
		for range unhealthyThreshold {
			b.startHealthCheck(b.targetsByID[id])
			b.HealthChecked(second, HealthCheckResult{Backend: id, Result: Timeout})
		}
		if checkInFlight {
			b.startHealthCheck(b.targetsByID[id])
		}
		b.UpdateEndpoints(2*second, EndpointUpdate{Kind: UpdateDelta, Backends: []Backend{{ID: id, State: Removed}}})
		b.UpdateEndpoints(3*second, EndpointUpdate{Kind: UpdateFull, Backends: list(2)})
		if _, excluded := b.CountBackends(); excluded != 0 {
			t.Errorf("unhealthy backend removed and listed again, health check in flight: %v; CountBackends() = %d "+
				"excluded, want 0", checkInFlight, excluded)
		}
	}
}

// Duplicate list entries, and events for unknown requests, attempts and backends, are ignored.
func TestInvalidInputIsIgnored(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 2)
	twice := append(list(2), list(2)...)
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Backends: twice})
	if len(b.active) != 2 {
		t.Errorf("%d backends active after a list that names each of two backends twice, want 2", len(b.active))
	}
	b.Request(second, Request{ID: 1, Class: 99, Tenant: 99, Deadline: 0})
	b.Request(second, Request{ID: 1})
	b.Outcome(second, Outcome{ID: 1, Attempt: 7})
	b.Outcome(second, Outcome{ID: 5})
	b.HealthChecked(second, HealthCheckResult{Backend: 99})
	b.FirstByte(second, FirstByte{ID: 99})
	b.Timer(second, ^uint64(0))
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull})
	if len(b.active) != 0 {
		t.Errorf("%d backends active after an empty full list, want 0", len(b.active))
	}
	if got := h.take("send"); len(got) > 0 {
		t.Errorf("requests past their deadline and unknown IDs caused %v, want no send", got)
	}
}
