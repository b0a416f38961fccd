package calibrate

import "time"

// kinds are the kinds of servers. A view gets the name of a kind, but not its change rate.
var kinds = []struct {
	name       string
	servers    int
	changeRate float64 // per second of one server, outside deployments
}{
	{"stable", 16, .0004},
	{"middling", 16, .003},
	{"spot", 12, .012},
}

const (
	outageRate  = 1. / 240 // per second
	minOutage   = 8 * time.Second
	maxOutage   = 45 * time.Second
	deployRate  = 1. / 300 // per second and kind
	minDeploy   = 10 * time.Second
	maxDeploy   = 20 * time.Second
	leaveChance = .4 // probability that a change is a departure; the other changes are restarts
	minAbsence  = 5 * time.Second
	maxAbsence  = 20 * time.Second
	// deployChangeRate is added, per second, to each server's change rate during a deployment of its kind.
	deployChangeRate = .09
	// firstLaterIncarnation keeps the incarnations of restarted servers above the initial ones.
	firstLaterIncarnation = 100_000
	// incarnationsPerStep separates the incarnations of different steps; it is above the number of servers.
	incarnationsPerStep = 1000
)

// server is an address at which processes start and stop.
type server struct {
	kind        int
	incarnation uint64        // 0 while no process runs
	returnsAt   time.Duration // when the next process starts, if none runs
}

// listSnapshot is the true list at one moment.
type listSnapshot struct {
	version      uint64
	at           time.Duration
	incarnations []uint64 // by server
}

// incarnations returns the current incarnation of each server, 0 while no process runs.
func (s *simulation) incarnations() []uint64 {
	all := make([]uint64, len(s.servers))
	for i := range s.servers {
		all[i] = s.servers[i].incarnation
	}
	return all
}

// stepServers starts outages and deployments, changes servers, and sends the changes to the proxies' watches.
func (s *simulation) stepServers(now time.Duration) {
	if s.outageUntil < now && eventOccurs(s.rng, outageRate) {
		s.outageUntil = now + uniform(s.rng, minOutage, maxOutage)
	}
	for k := range kinds {
		if s.deployUntil[k] < now && eventOccurs(s.rng, deployRate) {
			s.deployUntil[k] = now + uniform(s.rng, minDeploy, maxDeploy)
		}
	}
	for i := range s.servers {
		if !s.stepServer(i, now) {
			continue
		}
		s.version++
		s.changedAt = append(s.changedAt, now)
		for _, p := range s.proxies {
			s.send(p, now, message{
				kind:            change,
				contentAt:       now,
				version:         s.version,
				previousVersion: s.version - 1,
				server:          i,
				incarnations:    []uint64{s.servers[i].incarnation},
			})
		}
	}
}

// stepServer stops, starts or restarts a server at random, and reports whether it did.
func (s *simulation) stepServer(i int, now time.Duration) bool {
	v := &s.servers[i]
	rate := kinds[v.kind].changeRate
	if now < s.deployUntil[v.kind] {
		rate += deployChangeRate
	}
	newIncarnation := uint64(now/step)*incarnationsPerStep + uint64(i) + firstLaterIncarnation
	switch {
	case v.incarnation == 0 && now >= v.returnsAt:
		v.incarnation = newIncarnation
	case v.incarnation != 0 && eventOccurs(s.rng, rate):
		if s.rng.Float64() < leaveChance {
			v.incarnation = 0
			v.returnsAt = now + uniform(s.rng, minAbsence, maxAbsence)
		} else {
			v.incarnation = newIncarnation
		}
	default:
		return false
	}
	return true
}
