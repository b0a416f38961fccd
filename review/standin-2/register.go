//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one backend as the register lists it.
type entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

// list is an answer of the register.
type list struct {
	Generation uint32  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// register is the node register, as the protocol page has it: the agent on a proxy's machine.
type register struct {
	addr string

	mu         sync.Mutex
	generation uint32
	entries    []entry
	changed    chan struct{}
	silent     bool // it says nothing: its calls stay open

	listener net.Listener
	server   *http.Server
}

func newRegister(entries ...entry) (*register, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &register{addr: l.Addr().String(), generation: 41, entries: entries, changed: make(chan struct{}), listener: l}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// whole returns the whole list.
func (r *register) whole() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wholeLocked()
}

func (r *register) wholeLocked() string {
	entries := r.entries
	if entries == nil {
		entries = []entry{}
	}
	text, _ := json.Marshal(list{r.generation, true, entries})
	return string(text)
}

// ServeHTTP answers a call for the list, or a watch.
func (r *register) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/catalog/members" {
		http.NotFound(w, q)
		return
	}
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if silent {
		<-q.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	from := q.URL.Query().Get("from")
	if from == "" {
		_, _ = w.Write([]byte(r.whole()))
		return
	}
	hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
	timer := time.NewTimer(time.Duration(min(hold, 60000)) * time.Millisecond)
	defer timer.Stop()
	for {
		r.mu.Lock()
		text, changed := "", r.changed
		if from != strconv.FormatUint(uint64(r.generation), 10) {
			text = r.wholeLocked()
		}
		r.mu.Unlock()
		if text != "" {
			_, _ = w.Write([]byte(text))
			return
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-timer.C:
			r.mu.Lock()
			answer, _ := json.Marshal(list{r.generation, false, []entry{}})
			r.mu.Unlock()
			_, _ = w.Write(answer)
			return
		}
	}
}
