package calibrate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lapisspread/internal/staleness"
)

// Settings configure a simulation.
type Settings struct {
	Seed     uint64
	Duration time.Duration // in virtual time
	Proxies  int
	View     staleness.Settings // the simulation sets Sources
	// VersionChecks makes a control-plane server report the current version to each proxy once a second.
	VersionChecks bool
}

const (
	// step is the resolution of virtual time.
	step = 20 * time.Millisecond
	// ageCheckInterval is the time between two checks of the bound of the age; a multiple of step.
	ageCheckInterval = 240 * time.Millisecond
	// listSource is the name of the views' only source.
	listSource = "list"
	// serverStream and firstProxyStream select independent random number streams of one seed.
	serverStream     = 41
	firstProxyStream = 100
)

// simulation is the state of one run.
type simulation struct {
	settings Settings
	rng      *rand.Rand // of the servers and the discovery service
	result   *Result

	servers     []server
	names       []string        // by server
	version     uint64          // of the true list
	changedAt   []time.Duration // by version
	deployUntil []time.Duration // by kind
	outageUntil time.Duration   // of the discovery service

	proxies []*proxy
}

// Run runs a simulation and adds its outcome to the result. The errors are those of staleness.New and of the views.
func Run(settings Settings, result *Result) error {
	settings.View.Sources = []staleness.SourceSettings{{Name: listSource, HeartbeatInterval: heartbeatInterval}}
	s := &simulation{
		settings:    settings,
		rng:         rand.New(rand.NewPCG(settings.Seed, serverStream)),
		result:      result,
		changedAt:   []time.Duration{0},
		deployUntil: make([]time.Duration, len(kinds)),
	}
	s.addServers()
	for i := range settings.Proxies {
		p, err := newProxy(settings, uint64(firstProxyStream+i), len(s.servers))
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, p)
	}
	for now := time.Duration(0); now < settings.Duration; now += step {
		s.stepServers(now)
		for _, p := range s.proxies {
			if err := s.stepProxy(p, now); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *simulation) addServers() {
	for k, kind := range kinds {
		for range kind.servers {
			id := len(s.servers)
			s.servers = append(s.servers, server{kind: k, incarnation: uint64(1 + id)})
			s.names = append(s.names, fmt.Sprintf("s%02d", id))
		}
	}
}

// uniform draws a time between a minimum and a maximum.
func uniform(rng *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(rng.Float64()*float64(maximum-minimum))
}

// eventOccurs draws whether an event with a rate per second occurs within one step.
func eventOccurs(rng *rand.Rand, rate float64) bool { return rng.Float64() < rate*step.Seconds() }
