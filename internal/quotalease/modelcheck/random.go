package modelcheck

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// RandomResult is the result of RunRandom.
type RandomResult struct {
	Violation    string        // description of the violation, "" if there was none
	Steps        int           // number of steps, each followed by a check of the invariant
	GrantedShare float64       // outstanding units as a fraction of the smaller of limit and demand, after the repair
	RecoveryTime time.Duration // from the repair until GrantedShare reached enoughGranted
	SpentUnits   float64       // units that all proxies acquired
	Faults       map[Fault]int // number of injected faults by kind
}

// String returns the result in one line.
func (r RandomResult) String() string {
	return fmt.Sprintf("%d steps, faults %v, %.0f units spent, granted share %.3f after %v, violation %q",
		r.Steps, r.Faults, r.SpentUnits, r.GrantedShare, r.RecoveryTime, r.Violation)
}

// enoughGranted is the GrantedShare from which on a run counts as recovered.
const enoughGranted = .98

// randomSeed is the second word of the random seed of every run; the first word is the seed argument of RunRandom.
const randomSeed = 24

// Probabilities of the events of one step while faults are injected.
const (
	acquireChance    = .5   // that a proxy acquires units
	electionChance   = .002 // that a server starts an election, even if there is a leader
	noLeaderChance   = .2   // that a server starts an election while there is no leader
	replicateChance  = .8   // that a leader replicates to a follower
	replyChance      = .3   // that a server replies to the latest request of a proxy
	leaderChance     = .8   // that a request goes to a leader
	deliveryChance   = .4   // that a message is delivered in this step
	lossChance       = .02  // that a message that is not delivered in this step is lost
	repeatChance     = .05  // that a delivered message is delivered again later
	cutOffKeepChance = .9   // that a message from or to a proxy that is cut off is not lost in this step
)

// randomRun is the state of a random run of a cluster.
type randomRun struct {
	*cluster
	rng               *rand.Rand
	nextRequest       []time.Duration // when each proxy sends its next request
	serverPausedUntil []time.Duration
	proxyPausedUntil  []time.Duration
	cutOffUntil       []time.Duration // until when each proxy cannot reach any server
	faults            map[Fault]int
	repaired          bool // repairAll was called: messages are delivered at once
}

// RunRandom runs a cluster for a number of steps with random faults. Then it repairs all faults and continues until
// GrantedShare reaches enoughGranted or a deadline has passed. It stops at the first violation. Equal arguments give
// equal runs.
func RunRandom(s Settings, seed uint64, steps int) RandomResult {
	r := newRandomRun(s, seed)
	result := RandomResult{Faults: r.faults}
	for ; result.Steps < steps; result.Steps++ {
		r.injectFault()
		r.step()
		if result.Violation = r.checkInvariant(); result.Violation != "" {
			return result
		}
	}
	r.repairAll()
	repairedAt := r.now
	deadline := repairedAt + 5*r.startupSilence() + 20*s.LeaseDuration
	for result.GrantedShare < enoughGranted && r.now < deadline {
		result.Steps++
		r.step()
		if result.Violation = r.checkInvariant(); result.Violation != "" {
			return result
		}
		result.GrantedShare = r.grantedShare()
	}
	result.RecoveryTime = r.now - repairedAt
	result.SpentUnits = r.spentUnits
	return result
}

func newRandomRun(s Settings, seed uint64) *randomRun {
	rng := rand.New(rand.NewPCG(seed, randomSeed))
	return &randomRun{
		cluster:           newCluster(s, func(int) float64 { return float64(rng.IntN(3) - 1) }),
		rng:               rng,
		nextRequest:       make([]time.Duration, s.Holders),
		serverPausedUntil: make([]time.Duration, s.Servers),
		proxyPausedUntil:  make([]time.Duration, s.Holders),
		cutOffUntil:       make([]time.Duration, s.Holders),
		faults:            map[Fault]int{},
	}
}

// grantedShare returns the outstanding units as a fraction of the smaller of limit and demand.
func (r *randomRun) grantedShare() float64 {
	limit := r.limits[len(r.limits)-1]
	if limit.endsAt < r.now {
		return 0 // no lease is outstanding under any limit
	}
	demand := float64(r.settings.Holders) * r.demandUnits
	return r.outstanding() / min(limit.units, demand)
}

// chance returns true with the given probability.
func (r *randomRun) chance(probability float64) bool { return r.rng.Float64() < probability }

// between returns a random duration between low and high.
func (r *randomRun) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rng.Float64()*float64(high-low))
}

// step advances the time by a random amount, runs every proxy and server that is not paused, and delivers messages.
func (r *randomRun) step() {
	r.now += r.between(time.Microsecond, cmp.Or(r.settings.MaxStepTime, r.settings.LeaseDuration/20))
	r.stepDownWithoutQuorum()
	r.fillSharedBucket()
	for i, p := range r.proxies {
		if p.running && r.proxyPausedUntil[i] <= r.now {
			r.stepProxy(i)
		}
	}
	hasLeader := slices.ContainsFunc(r.servers, func(s *server) bool { return s.running && s.leader })
	for i, s := range r.servers {
		if s.running && r.serverPausedUntil[i] <= r.now {
			r.stepServer(s, hasLeader)
		}
	}
	r.requests = deliver(r, r.requests, func(q *request) int { return q.proxyIndex }, r.deliverToServer)
	r.replies = deliver(r, r.replies, func(q *reply) int { return q.proxyIndex }, r.deliverReply)
}

// stepProxy has a proxy send its next request if that is due, acquire units with acquireChance, and release units.
func (r *randomRun) stepProxy(i int) {
	if r.nextRequest[i] <= r.now {
		r.nextRequest[i] = r.now + r.between(r.settings.LeaseDuration/5, r.settings.LeaseDuration/3)
		r.sendRequest(i)
	}
	if r.chance(acquireChance) {
		r.acquire(i, 1+r.rng.IntN(4))
	}
	r.releaseUnits(i, r.rng.IntN(3)-1)
}

// stepServer has a server start an election, propose, replicate, apply and reply. hasLeader reports whether any server
// is a leader.
func (r *randomRun) stepServer(s *server, hasLeader bool) {
	if r.chance(electionChance) || !hasLeader && r.chance(noLeaderChance) {
		r.electLeader(s)
	}
	r.runOperator(s)
	r.proposePlan(s)
	for j, follower := range r.servers {
		if r.serverPausedUntil[j] <= r.now && (r.repaired || r.chance(replicateChance)) {
			r.replicate(s, follower)
		}
	}
	r.applyCommitted(s)
	for _, p := range r.proxies {
		if q := s.requests[p.HolderID]; q != nil && (r.repaired || r.chance(replyChance)) {
			r.sendReply(s, q)
		}
	}
}

// deliverToServer delivers a request to a server, usually to a leader. It does nothing if that server is paused.
func (r *randomRun) deliverToServer(q *request) {
	receiver := r.servers[r.rng.IntN(len(r.servers))]
	for _, s := range r.servers {
		if s.leader && (r.repaired || r.chance(leaderChance)) {
			receiver = s
		}
	}
	if r.serverPausedUntil[receiver.id] <= r.now {
		r.deliverRequest(receiver, q)
	}
}

// deliver passes some of the messages to receive, in random order. It returns the messages that stay on the network:
// some are lost, some are delivered again later. proxyOf returns the index of the proxy that a message is from or to.
func deliver[M any](r *randomRun, messages []M, proxyOf func(M) int, receive func(M)) []M {
	r.rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	var staying []M
	for _, message := range messages {
		i := proxyOf(message)
		if r.cutOffUntil[i] > r.now {
			if r.chance(cutOffKeepChance) {
				staying = append(staying, message)
			}
			continue
		}
		if (r.repaired || r.chance(deliveryChance)) && r.proxyPausedUntil[i] <= r.now {
			receive(message)
			if r.chance(repeatChance) {
				staying = append(staying, message)
			}
		} else if !r.chance(lossChance) {
			staying = append(staying, message)
		}
	}
	return staying
}
