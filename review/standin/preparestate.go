package main

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["prepare"] = prepare }

// prepare has a proxy make a new ledger, ends the proxy in order, and keeps the ledger's files in the folder STATE.
func prepare(l *lab) (bool, error) {
	addr, err := (&books{lab: l, paid: map[string]int{}}).payoutNode("d-0")
	if err != nil {
		return false, err
	}
	nodes := []instance{{ID: "d-0", Addr: addr, Zone: "nyarugenge", Kind: "std-1", State: "active", Weight: 1}}
	r, err := newRegister(nodes...)
	if err != nil {
		return false, err
	}
	p, _, err := l.startDiameterProxy("n2", r.addr, "", nodes)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	p.signal(syscall.SIGTERM)
	if !p.waitEnd(15 * time.Second) {
		return false, errors.New("the proxy does not end")
	}
	for _, f := range []string{"effects.db", "effects.db.seq"} {
		text, err := os.ReadFile(filepath.Join(l.dir, "state-n2", f))
		if err != nil {
			return false, err
		}
		if err := os.WriteFile(filepath.Join(os.Getenv("STATE"), f), text, 0o644); err != nil {
			return false, err
		}
	}
	return false, os.WriteFile(filepath.Join(os.Getenv("STATE"), "made"), []byte(time.Now().UTC().Format(time.RFC3339)+"\n"), 0o644)
}
