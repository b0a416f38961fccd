package modelcheck

import (
	"maps"
	"slices"
	"time"

	"lapisspread/internal/quotalease"
)

// logEntry is an entry of a log. Its id is a hash of it and of all entries before it.
type logEntry struct {
	term    uint64
	id      uint64
	command quotalease.Command
}

// server is a control-plane server. Its log and term are durable, unless its store is exchanged.
type server struct {
	driftingClock
	id        int
	up        bool
	log       []logEntry // shared between copies of a cluster: never changed in place
	term      uint64
	leader    bool
	match     []int           // of a leader: how many entries each server has confirmed in its term
	contact   []time.Duration // and when each confirmed last, by the leader's clock
	confirmed int             // entries that it confirmed to a leader, or committed as one
	commit    int
	applied   int
	state     *quotalease.StateMachine
	allocator *quotalease.Allocator
	requests  map[quotalease.HolderID]*request // the latest of each process
}

// request is a request on the network.
type request struct {
	id     uint64
	from   int
	sentAt time.Duration // by the sender's clock
	quotalease.Request
}

// reply is a reply on the network.
type reply struct {
	id     uint64
	to     int
	sentAt time.Duration // of the request, by the holder's clock
	quotalease.Reply
}

// inFlightWork is a unit in flight.
type inFlightWork struct {
	token quotalease.Token
	until time.Duration // by its process's clock, or by true time when the process has stopped
}

// proxy is a proxy with the lease holder of its current process.
type proxy struct {
	driftingClock
	quotalease.HolderID
	*quotalease.Holder
	up       bool
	inFlight []inFlightWork
}

// cluster is one state of the whole system.
type cluster struct {
	settings     Settings
	now          time.Duration // true time
	servers      []*server
	proxies      []*proxy
	requests     []*request
	replies      []*reply
	cutLinks     map[[2]int]bool // from one server to another
	version      uint64          // the highest configuration version that was ever committed
	epoch        uint64
	incarnations uint64  // how many processes there were
	demandUnits  float64 // that each process wants

	orphanedWork []inFlightWork    // of processes that have stopped
	limits       []configuredLimit // all that still count; the last is the newest
	sharedBucket float64           // level of one bucket for the whole quota, which all that is spent must fit
	filledAt     time.Duration
	spentUnits   float64
	violation    string // what broke the invariant first, "" if nothing did
}

// newCluster returns a fleet that is bootstrapped, with all servers past their silence and the first one leading.
// rate says how wrong the clock of the i-th process is, as a part of the drift: -1 is slowest, 1 fastest; servers
// come first.
func newCluster(s Settings, rate func(i int) float64) *cluster {
	c := &cluster{settings: s, cutLinks: map[[2]int]bool{}, demandUnits: 2 * s.Limit, epoch: 1}
	for i := range s.Servers {
		clock := driftingClock{rate: 1 + s.MaxDrift*rate(i), offset: time.Hour * time.Duration(i)}
		c.servers = append(c.servers, &server{driftingClock: clock, id: i, up: true})
		c.startServer(c.servers[i], 0)
	}
	leader := c.servers[0]
	leader.term = 1
	c.lead(leader, 0)
	c.append(leader, s.bootstrap(1))
	waitingTime := &quotalease.Expire{Token: quotalease.Token{Epoch: 1, Index: 1}}
	c.append(leader, quotalease.Command{Expire: waitingTime})
	c.append(leader, s.setQuotas(1, s.Limit, s.Burst))
	for range 2 { // once for the entries, once for their commit
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

// startProxy starts a process of the i-th proxy, with the floors that the process before kept on disk.
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
	p.SetFloorClaim(p.at(c.now), true)
	p.SetDemand(quotaName, c.demandUnits)
	p.up = true
}

// stopProxy ends a process. Its units in flight go on elsewhere, until their hold time is over.
func (c *cluster) stopProxy(i int) {
	p := c.proxies[i]
	p.up = false
	for _, unit := range p.inFlight {
		left := float64(unit.until-p.at(c.now)) / p.rate
		if left > 0 {
			c.orphanedWork = append(c.orphanedWork, inFlightWork{until: c.now + time.Duration(left)})
		}
	}
	p.inFlight = nil
}

// startServer starts a server with what its store holds, silent for a time.
func (c *cluster) startServer(s *server, silence time.Duration) {
	s.up = true
	s.leader = false
	s.confirmed = 0
	s.commit = 0
	s.applied = 0
	s.requests = map[quotalease.HolderID]*request{}
	s.state = quotalease.NewStateMachine()
	s.state.SetMutations(c.settings.mutations)
	s.allocator = quotalease.NewAllocator(s.at(c.now), silence, s.state)
}

// restartServer starts a server with the first entries of its log: all of them, or those of an older copy of its
// store.
func (c *cluster) restartServer(s *server, entries int) {
	if entries < len(s.log) {
		s.log = s.log[:entries:entries]
		s.term, _ = s.lastEntry()
	}
	c.startServer(s, c.startupSilence())
}

func (c *cluster) startupSilence() time.Duration {
	return quotalease.StartupSilence(c.settings.maxLifetime(), c.settings.MaxDrift)
}

// clone returns a copy that shares what never changes.
func (c *cluster) clone() *cluster {
	copied := *c
	copied.servers = make([]*server, len(c.servers))
	for i, s := range c.servers {
		copied.servers[i] = s.clone()
	}
	copied.proxies = make([]*proxy, len(c.proxies))
	for i, p := range c.proxies {
		one := *p
		one.Holder = p.Clone()
		one.inFlight = slices.Clone(p.inFlight)
		copied.proxies[i] = &one
	}
	copied.requests = slices.Clone(c.requests)
	copied.replies = slices.Clone(c.replies)
	copied.orphanedWork = slices.Clone(c.orphanedWork)
	copied.limits = slices.Clone(c.limits)
	return &copied
}

func (s *server) clone() *server {
	copied := *s
	copied.match = slices.Clone(s.match)
	copied.contact = slices.Clone(s.contact)
	copied.state = s.state.Clone()
	copied.allocator = s.allocator.Clone(copied.state)
	copied.requests = maps.Clone(s.requests)
	return &copied
}
