package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// List is an endpoint list in the engine's form.
type List = engine.EndpointList

// Member is one entry of a List.
type Member = engine.Endpoint

// maxStartedAtMs bounds start times, in ms since 1970. It is far past any date; a later time would overflow the clock's
// range.
const maxStartedAtMs = 1e13

// backendID returns the engine's ID for a backend's name in the list.
func backendID(name string) decision.BackendID { return engine.BackendID(name) }

// listFile is discovery's JSON form of an endpoint list. It and listInstance are aliases of unnamed types, since
// encoding/json would put the names of types into its errors, which operators read.
type listFile = struct {
	Generation *uint32        `json:"generation"`
	Reset      bool           `json:"reset"`
	Instances  []listInstance `json:"instances"`
}

type listInstance = struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	State       string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// lifecycles maps discovery's names for the states of a backend.
var lifecycles = map[string]decision.BackendState{
	"active":  decision.Ready,
	"leaving": decision.Draining,
	"left":    decision.Removed,
}

// parseList parses discovery's JSON. One invalid entry makes the whole list invalid.
func parseList(text []byte) (List, error) {
	var f listFile
	if err := json.Unmarshal(text, &f); err != nil {
		return List{}, err
	}
	if f.Generation == nil {
		// The text means: the list has no version, which the JSON field "generation" must give.
		return List{}, errors.New("no generation")
	}
	list := List{Version: *f.Generation, Full: f.Reset}
	for i := range f.Instances {
		m, err := parseMember(&f.Instances[i])
		if err != nil {
			return List{}, err
		}
		list.Endpoints = append(list.Endpoints, m)
	}
	return list, nil
}

func parseMember(e *listInstance) (Member, error) {
	state, known := lifecycles[e.State]
	if e.ID == "" || !known || state == decision.Ready && e.Addr == "" {
		return Member{}, fmt.Errorf("instance %q: no id, no address or unknown lifecycle %q", e.ID, e.State)
	}
	if !(e.StartedAtMs >= 0 && e.StartedAtMs < maxStartedAtMs) {
		// The text means: the start time is out of range.
		return Member{}, fmt.Errorf("instance %q: startedAtMs %v is no time", e.ID, e.StartedAtMs)
	}
	return Member{
		ID:      e.ID,
		Addr:    e.Addr,
		Zone:    e.Zone,
		Kind:    e.Kind,
		Cell:    e.Cell,
		State:   state,
		Weight:  e.Weight,
		Started: time.Duration(e.StartedAtMs * float64(time.Millisecond)),
	}, nil
}
