package staleness

import "testing"

func TestPermissionsByLevel(t *testing.T) {
	for level := Blind; level <= Confirmed+1; level++ {
		for idempotency := Idempotent; idempotency <= NotIdempotent+1; idempotency++ {
			want := AnyEndpoint
			switch {
			case level == Blind || level > Confirmed || idempotency > NotIdempotent:
				want = FloorOrReject
			case level == Doubtful && idempotency == NotIdempotent:
				want = ConfirmedOnly
			}
			if got := PermissionFor(level, idempotency); got != want {
				t.Errorf("PermissionFor(%v, idempotency %d) = %d, want %d "+
					"(0: FloorOrReject, 1: ConfirmedOnly, 2: AnyEndpoint)", level, idempotency, got, want)
			}
		}
		requested := QuotaRequest(level, 100)
		if level > Blind && requested < QuotaRequest(level-1, 100) || QuotaRequest(Blind, 100) >= 100 {
			t.Errorf("QuotaRequest(%v, 100) = %v, QuotaRequest(blind, 100) = %v, "+
				"want no less than at the next lower level, and below 100 at blind",
				level, requested, QuotaRequest(Blind, 100))
		}
	}
}
