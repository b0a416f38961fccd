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
		t.Fatalf("%v", level)
	}
	allocations := testing.AllocsPerRun(100, func() {
		s.Route(route)
		s.Permission(route, NotIdempotent)
		s.Entry(handle, NotIdempotent)
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
	if _, permitted := s.Entry(handle, NotIdempotent); !permitted {
		t.Error("a fresh entry is not permitted")
	}
	must(t, v.ApplyUpdate(61*sec, "list", Update{Version: 2, Changes: []Change{{Entry: server("s3", 2)}}}))
	if _, permitted := v.Tick(61*sec).Entry(handle, Idempotent); permitted {
		t.Error("an old handle finds the new process at its address")
	}
	for _, unknown := range []int{-1, 99} {
		if level, _ := s.Route(unknown); level != Blind || s.Permission(unknown, Idempotent) != FloorOrReject {
			t.Errorf("index %d", unknown)
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
		b.Fatal("never fresh")
	}
}

func BenchmarkTick(b *testing.B) {
	v := followedView(b, 60*sec)
	must(b, v.ApplyUpdate(61*sec, "list", Update{Version: 2, Complete: true, Changes: servers(200)}))
	now := 61 * sec
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Millisecond
		v.Tick(now)
	}
}
