package modelcheck

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// RandomResult is what a random run came to.
type RandomResult struct {
	Violation    string        // what broke, "" if nothing did
	Moments      int           // that were checked
	GrantedShare float64       // of the smaller of limit and demand, once all faults are repaired
	RecoveryTime time.Duration // after the repair until GrantedShare was reached
	SpentUnits   float64
	Faults       map[Fault]int // how often each was injected
}

// String returns the result in one line.
func (r RandomResult) String() string {
	return fmt.Sprintf("%d moments, faults %v, spent %.0f, granted %.3f after %v, found %q",
		r.Moments, r.Faults, r.SpentUnits, r.GrantedShare, r.RecoveryTime, r.Violation)
}

// enoughGranted is the part of what could be granted that counts as recovered.
const enoughGranted = .98

// randomSeed is the second part of the seed of every run.
const randomSeed = 24

// Chances of what happens at a moment while faults are injected.
const (
	acquireChance    = .5
	electionChance   = .002
	noLeaderChance   = .2 // of an election by one server, while there is no leader
	replicateChance  = .8 // of one leader to one follower
	replyChance      = .3
	leaderChance     = .8 // that a request goes to a leader
	deliveryChance   = .4
	lossChance       = .02
	repeatChance     = .05
	cutOffKeepChance = .9 // that a message of a proxy that is cut off is not lost
)

// randomRun plays a cluster by chance.
type randomRun struct {
	*cluster
	rng               *rand.Rand
	nextRequest       []time.Duration // of each proxy
	serverPausedUntil []time.Duration
	proxyPausedUntil  []time.Duration
	cutOffUntil       []time.Duration // of each proxy, from all servers
	faults            map[Fault]int
	repaired          bool // links lose and delay nothing
}

// RunRandom plays a cluster for a number of moments with faults, then repairs all and plays on until what was lost
// must be granted again. Equal arguments give equal runs.
func RunRandom(s Settings, seed uint64, moments int) RandomResult {
	r := newRandomRun(s, seed)
	result := RandomResult{Faults: r.faults}
	for ; result.Moments < moments; result.Moments++ {
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
		result.Moments++
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

// grantedShare returns the part of the smaller of limit and demand that is outstanding.
func (r *randomRun) grantedShare() float64 {
	limit := r.limits[len(r.limits)-1]
	if limit.until < r.now {
		return 0 // nothing is granted under any limit
	}
	demand := float64(r.settings.Holders) * r.demandUnits
	return r.outstanding() / min(limit.units, demand)
}

func (r *randomRun) chance(probability float64) bool { return r.rng.Float64() < probability }

func (r *randomRun) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rng.Float64()*float64(high-low))
}

// step lets a little time pass and everybody do what it does.
func (r *randomRun) step() {
	r.now += r.between(time.Microsecond, cmp.Or(r.settings.MaxMoment, r.settings.LeaseDuration/20))
	r.stepDownWithoutQuorum()
	r.fillSharedBucket()
	for i, p := range r.proxies {
		if p.up && r.proxyPausedUntil[i] <= r.now {
			r.stepProxy(i)
		}
	}
	hasLeader := slices.ContainsFunc(r.servers, func(s *server) bool { return s.up && s.leader })
	for i, s := range r.servers {
		if s.up && r.serverPausedUntil[i] <= r.now {
			r.stepServer(s, hasLeader)
		}
	}
	r.requests = deliver(r, r.requests, func(q *request) int { return q.from }, r.deliverToServer)
	r.replies = deliver(r, r.replies, func(q *reply) int { return q.to }, r.deliverReply)
}

func (r *randomRun) stepProxy(i int) {
	if r.nextRequest[i] <= r.now {
		r.nextRequest[i] = r.now + r.between(r.settings.LeaseDuration/5, r.settings.LeaseDuration/3)
		r.sendRequest(i)
	}
	if r.chance(acquireChance) {
		r.acquire(i, 1+r.rng.IntN(4))
	}
	r.releaseWork(i, r.rng.IntN(3)-1)
}

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

// deliverToServer brings a request to a server, most often to a leader.
func (r *randomRun) deliverToServer(q *request) {
	to := r.servers[r.rng.IntN(len(r.servers))]
	for _, s := range r.servers {
		if s.leader && (r.repaired || r.chance(leaderChance)) {
			to = s
		}
	}
	if r.serverPausedUntil[to.id] <= r.now {
		r.deliverRequest(to, q)
	}
}

// deliver brings some messages to their receivers, in any order. It returns those that stay on the network: some
// are lost, some come again later. proxyOf returns the proxy that a message is from or to.
func deliver[M any](r *randomRun, messages []M, proxyOf func(M) int, to func(M)) []M {
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
			to(message)
			if r.chance(repeatChance) {
				staying = append(staying, message)
			}
		} else if !r.chance(lossChance) {
			staying = append(staying, message)
		}
	}
	return staying
}
