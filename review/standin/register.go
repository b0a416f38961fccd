package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// instance is one dispatch node in the register's list.
type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	State     string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

type listJSON struct {
	Generation uint32     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// register is the node register's agent on a proxy's machine. Its list never changes.
type register struct {
	addr  string
	nodes []instance
}

// generation is the version of the register's list.
const generation = 2

// newRegister starts a register that knows some nodes.
func newRegister(nodes ...instance) (*register, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &register{addr: l.Addr().String(), nodes: nodes}
	go func() { _ = http.Serve(l, r) }()
	return r, nil
}

// ServeHTTP answers a call for the whole list, or a watch once its time is over.
func (r *register) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	list := listJSON{Generation: generation, Reset: true, Instances: r.nodes}
	if from, err := strconv.ParseUint(q.FormValue("from"), 10, 32); err == nil && from >= generation {
		hold, _ := strconv.Atoi(q.FormValue("hold_ms"))
		select {
		case <-time.After(time.Duration(min(hold, 60000)) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
		list = listJSON{Generation: generation, Instances: []instance{}}
	}
	_ = json.NewEncoder(w).Encode(list)
}
