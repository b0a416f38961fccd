package staleness

import (
	"testing"
	"time"
)

func TestSnapshotReadsDoNotAllocate(t *testing.T) {
	v := followedView(t, 60*sec)
	s := v.Tick(60 * sec)
	route := v.RouteIndex("r")
	handle := v.Handle("s3")
	if level, _ := s.Route(route); level < Fresh {
		t.Fatalf("Snapshot.Route(r) = %v, want at least fresh", level)
	}
	allocations := testing.AllocsPerRun(100, func() {
		s.Route(route)
		s.Permission(route, NotIdempotent)
		s.Entry(handle, NotIdempotent)
	})
	if allocations != 0 {
		t.Errorf("Route, Permission and Entry of a snapshot = %v allocations, want 0", allocations)
	}
	if _, permitted := s.Entry(handle, NotIdempotent); !permitted {
		t.Error("Entry(s3 of a fresh route, not idempotent) = not permitted, want permitted")
	}
	restarted := Update{Version: 2, Changes: []Change{{Entry: server("s3", 2)}}}
	must(t, "ApplyUpdate", v.ApplyUpdate(61*sec, "list", restarted))
	if _, permitted := v.Tick(61*sec).Entry(handle, Idempotent); permitted {
		t.Error("Entry(handle of the replaced incarnation of s3) = permitted, want not permitted")
	}
	for _, unknown := range []int{-1, 99} {
		if level, _ := s.Route(unknown); level != Blind || s.Permission(unknown, Idempotent) != FloorOrReject {
			t.Errorf("unknown route index %d: level %v, permission %d, want blind and FloorOrReject (%d)",
				unknown, level, s.Permission(unknown, Idempotent), FloorOrReject)
		}
	}
}

func BenchmarkRouteLevel(b *testing.B) {
	v := followedView(b, 60*sec)
	s := v.Tick(60 * sec)
	route := v.RouteIndex("r")
	b.ReportAllocs()
	fresh := 0
	for b.Loop() {
		if level, _ := s.Route(route); level >= Fresh && s.Permission(route, NotIdempotent) == AnyEndpoint {
			fresh++
		}
	}
	if fresh == 0 {
		b.Fatal("no read of the route returned a level of at least fresh with permission AnyEndpoint")
	}
}

func BenchmarkTick(b *testing.B) {
	v := followedView(b, 60*sec)
	must(b, "ApplyUpdate", v.ApplyUpdate(61*sec, "list", Update{Version: 2, Complete: true, Changes: servers(200)}))
	now := 61 * sec
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Millisecond
		v.Tick(now)
	}
}
