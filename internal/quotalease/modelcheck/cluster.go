package modelcheck

import (
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease"
)

// logEntry is an entry of a Raft log. Its id is a hash of the entry and of all entries before it.
type logEntry struct {
	term    uint64
	id      uint64
	command quotalease.Command
}

// server is a control-plane server. Its log and term survive a restart, unless its store is lost or restored from an
// older copy.
type server struct {
	driftingClock
	id           int
	running      bool
	log          []logEntry // shared between clones of a cluster, so never modified in place
	term         uint64
	leader       bool
	matchLengths []int           // on a leader: the number of log entries that each server has confirmed in this term
	lastContact  []time.Duration // on a leader: when each server last confirmed, by the leader's clock
	confirmed    int             // number of entries that it confirmed to a leader, or committed as leader
	commit       int             // number of committed entries
	applied      int             // number of applied entries
	state        *quotalease.StateMachine
	allocator    *quotalease.Allocator
	requests     map[quotalease.HolderID]*request // the latest request of each process
}

// request is a holder's request on the network.
type request struct {
	id         uint64
	proxyIndex int           // index of the proxy
	sentAt     time.Duration // by the sender's clock
	quotalease.Request
}

// reply is a server's reply on the network.
type reply struct {
	id         uint64
	proxyIndex int           // index of the proxy
	sentAt     time.Duration // when the request was sent, by the holder's clock
	quotalease.Reply
}

// inFlightUnit is one unit in flight.
type inFlightUnit struct {
	token  quotalease.Token
	endsAt time.Duration // when it ends, by its process's clock, or by true time once the process has stopped
}

// proxy is a modelled proxy with the lease holder of its current process. When a process has stopped, a new one with
// the same holder's name and another incarnation may replace it.
type proxy struct {
	driftingClock
	quotalease.HolderID
	*quotalease.Holder
	running  bool
	inFlight []inFlightUnit
}

// cluster is the state of the whole modelled system at one time.
type cluster struct {
	settings     Settings
	now          time.Duration // true time
	servers      []*server
	proxies      []*proxy
	requests     []*request
	replies      []*reply
	cutLinks     map[[2]int]bool // server pairs (by index) whose link is cut
	version      uint64          // the highest configuration version that was ever applied by a server
	epoch        uint64          // of the last bootstrap that an operator proposed
	incarnations uint64          // number of proxy processes started so far
	demandUnits  float64         // demand of each process, in units

	orphanedUnits []inFlightUnit    // units in flight of processes that have stopped
	limits        []configuredLimit // limits under which leases may still be outstanding, the newest last
	sharedBucket  float64           // level of a token bucket for the whole fleet, see acquire; below 0 is a violation
	filledAt      time.Duration     // when sharedBucket was last refilled
	spentUnits    float64           // units acquired by all processes so far
	violation     string            // the first violation of the invariant, "" if there is none
}

// newCluster returns a bootstrapped fleet in which no server is silent and the first one is the leader. rate returns
// the error of the i-th process's clock as a fraction of the maximum drift, from -1 (slowest) to 1 (fastest); the
// servers come before the proxies.
func newCluster(s Settings, rate func(i int) float64) *cluster {
	c := &cluster{settings: s, cutLinks: map[[2]int]bool{}, demandUnits: 2 * s.Limit, epoch: 1}
	for i := range s.Servers {
		clock := driftingClock{rate: 1 + s.MaxDrift*rate(i), offset: time.Hour * time.Duration(i)}
		c.servers = append(c.servers, &server{driftingClock: clock, id: i, running: true})
		c.startServer(c.servers[i], 0)
	}
	leader := c.servers[0]
	leader.term = 1
	c.makeLeader(leader, 0)
	c.append(leader, s.bootstrap(1))
	waitingTimeExpired := &quotalease.Expire{Token: quotalease.Token{Epoch: 1, Index: 1}} // the token of the bootstrap
	c.append(leader, quotalease.Command{Expire: waitingTimeExpired})
	c.append(leader, s.setQuotas(1, s.Limit, s.Burst))
	for range 2 { // the first round replicates the entries, the second one their commit
		for _, follower := range c.servers[1:] {
			c.replicate(leader, follower)
		}
	}
	for i := range s.Holders {
		clock := driftingClock{rate: 1 + s.MaxDrift*rate(s.Servers+i), offset: -time.Minute * time.Duration(i)}
		id := quotalease.HolderID{Holder: holderName(i)}
		c.proxies = append(c.proxies, &proxy{driftingClock: clock, HolderID: id})
		c.startProxy(i)
	}
	return c
}

// startProxy starts a process of the i-th proxy with the floors that its previous process stored on disk.
func (c *cluster) startProxy(i int) {
	p := c.proxies[i]
	c.incarnations++
	p.Incarnation = c.incarnations
	settings := quotalease.HolderSettings{FleetID: fleetID, HolderID: p.HolderID, MaxDrift: c.settings.MaxDrift}
	if p.Holder != nil {
		settings.ConfigVersion, settings.Floors = p.Floors()
	}
	p.Holder = quotalease.NewHolder(settings)
	p.SetMutations(c.settings.mutations)
	p.SetFloorClaim(p.clockTime(c.now), true)
	p.SetDemand(quotaName, c.demandUnits)
	p.running = true
}

// stopProxy stops a process. Its units stay in flight until their hold time ends.
func (c *cluster) stopProxy(i int) {
	p := c.proxies[i]
	p.running = false
	for _, unit := range p.inFlight {
		remaining := float64(unit.endsAt-p.clockTime(c.now)) / p.rate
		if remaining > 0 {
			c.orphanedUnits = append(c.orphanedUnits, inFlightUnit{endsAt: c.now + time.Duration(remaining)})
		}
	}
	p.inFlight = nil
}

// startServer starts a server with its stored log and term. The server stays silent for the duration silence.
func (c *cluster) startServer(s *server, silence time.Duration) {
	s.running = true
	s.leader = false
	s.confirmed = 0
	s.commit = 0
	s.applied = 0
	s.requests = map[quotalease.HolderID]*request{}
	s.state = quotalease.NewStateMachine()
	s.state.SetMutations(c.settings.mutations)
	s.allocator = quotalease.NewAllocator(s.clockTime(c.now), silence, s.state)
}

// restartServer restarts a server with the first entries of its log: all of them, or fewer if an older copy of its
// store was restored.
func (c *cluster) restartServer(s *server, entries int) {
	if entries < len(s.log) {
		s.log = s.log[:entries:entries]
		s.term, _ = s.lastEntry()
	}
	c.startServer(s, c.startupSilence())
}

// startupSilence returns how long a server stays silent after its start.
func (c *cluster) startupSilence() time.Duration {
	return quotalease.StartupSilence(c.settings.maxLifetime(), c.settings.MaxDrift)
}

// clone returns a copy that shares only data that is never modified in place.
func (c *cluster) clone() *cluster {
	copied := *c
	copied.servers = make([]*server, len(c.servers))
	for i, s := range c.servers {
		copied.servers[i] = s.clone()
	}
	copied.proxies = make([]*proxy, len(c.proxies))
	for i, p := range c.proxies {
		copiedProxy := *p
		copiedProxy.Holder = p.Clone()
		copiedProxy.inFlight = slices.Clone(p.inFlight)
		copied.proxies[i] = &copiedProxy
	}
	copied.requests = slices.Clone(c.requests)
	copied.replies = slices.Clone(c.replies)
	copied.orphanedUnits = slices.Clone(c.orphanedUnits)
	copied.limits = slices.Clone(c.limits)
	return &copied
}

func (s *server) clone() *server {
	copied := *s
	copied.matchLengths = slices.Clone(s.matchLengths)
	copied.lastContact = slices.Clone(s.lastContact)
	copied.state = s.state.Clone()
	copied.allocator = s.allocator.Clone(copied.state)
	copied.requests = maps.Clone(s.requests)
	return &copied
}
