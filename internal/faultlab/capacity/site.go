package capacity

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"lapisspread/internal/route"
)

// site is what the teams of a fleet write: each has a host, a part of the routes and services of its own. It follows from the settings
// alone; how far its routes have moved is a version.
type site struct {
	teams    int
	services int // of each team
	routes   int // in all
	tenants  int // in all
	order    []int
}

// newSite lays a site out. Teams have at least two services: a route must have somewhere to move to.
func newSite(s *Settings) *site {
	t := &site{teams: s.Teams, services: max(2, s.Services/s.Teams), routes: s.Routes, tenants: s.Tenants}
	t.order = rand.New(rand.NewPCG(s.Seed, 0x517e)).Perm(s.Routes)
	return t
}

// moved is the route that a change moves: all come in a drawn order, then again.
func (t *site) moved(change int) int { return t.order[(change-1)%t.routes] }

func (t *site) team(route int) int      { return route % t.teams }
func teamName(team int) string          { return "t" + strconv.Itoa(team) }
func (t *site) host(team int) string    { return teamName(team) + ".example.org" }
func (t *site) prefix(route int) string { return "/r" + strconv.Itoa(route) }
func (t *site) name(route int) string   { return teamName(t.team(route)) + "/r" + strconv.Itoa(route) }

// service is where a route leads once it has moved so many times.
func (t *site) service(route, moves int) string {
	return fmt.Sprintf("t%d-s%d", t.team(route), (route/t.teams+moves)%t.services)
}

// moves is how often a route has moved after so many changes.
func (t *site) moves(route, changes int) int {
	n := changes / t.routes
	for _, r := range t.order[:changes%t.routes] {
		if r == route {
			n++
		}
	}
	return n
}

// want is the service that a route leads to after so many changes.
func (t *site) want(route, changes int) string { return t.service(route, t.moves(route, changes)) }

// tenantsOf are the tenants that a route is for; none is any.
func (t *site) tenantsOf(route int) (from, to int) {
	return t.tenants * route / t.routes, t.tenants * (route + 1) / t.routes
}

// request is one that a route is for.
func (t *site) request(r int) route.Request {
	q := route.Request{Host: t.host(t.team(r)), Path: t.prefix(r) + "/x", Method: "GET", Class: requestClass}
	if from, to := t.tenantsOf(r); from < to {
		q.Tenant = tenantName(from)
	}
	return q
}

func tenantName(no int) string { return fmt.Sprintf("c%06d", no) }

// serviceNames are all services.
func (t *site) serviceNames() []string {
	var all []string
	for team := range t.teams {
		for s := range t.services {
			all = append(all, fmt.Sprintf("t%d-s%d", team, s))
		}
	}
	return all
}

// charter says who may speak over what.
func (t *site) charter() string {
	var b strings.Builder
	b.WriteString("version = 1\n")
	for team := range t.teams {
		fmt.Fprintf(&b, "[[namespace]]\nname = %q\nowner = \"team %d\"\nhosts = [%q]\nsettings = [\"route\", \"service\"]\n", teamName(team), team, t.host(team))
	}
	return b.String()
}

// number is that of a team's file after so many changes.
func (t *site) number(team, changes int) int {
	n := 1
	for c := 1; c <= changes; c++ {
		if t.team(t.moved(c)) == team {
			n++
		}
	}
	return n
}

// movesOf is how often a route has moved by the file of its team with a number.
func (t *site) movesOf(route, number int) int {
	n, moves := 1, 0
	for c := 1; n < number; c++ {
		if m := t.moved(c); t.team(m) == t.team(route) {
			n++
			if m == route {
				moves++
			}
		}
	}
	return moves
}

// file is a team's file after so many changes.
func (t *site) file(team, changes int) string { return t.fileOf(team, t.number(team, changes)) }

// fileOf is a team's file of a number.
func (t *site) fileOf(team, number int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = 1\nnamespace = %q\nnumber = %d\n", teamName(team), number)
	for s := range t.services {
		fmt.Fprintf(&b, "[[service]]\nname = \"t%d-s%d\"\n", team, s)
	}
	moves := map[int]int{}
	for c, n := 1, 1; n < number; c++ {
		if m := t.moved(c); t.team(m) == team {
			n++
			moves[m]++
		}
	}
	for r := team; r < t.routes; r += t.teams {
		fmt.Fprintf(&b, "[[route]]\nname = \"r%d\"\nhost = %q\npath_prefix = %q\nto = [{ service = %q }]\n", r, t.host(team), t.prefix(r), t.service(r, moves[r]))
		from, to := t.tenantsOf(r)
		if from == to {
			continue
		}
		b.WriteString("tenants = [")
		for no := from; no < to; no++ {
			if no > from {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%q", tenantName(no))
		}
		b.WriteString("]\n")
	}
	return b.String()
}
