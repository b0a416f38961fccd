package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
)

const (
	mostLoose = 16 << 20               // bytes of pieces that came and are not taken up yet
	fetchTime = 500 * time.Millisecond // for fetching between two reports: a proxy that fetches must not look silent in a step
	leastAsks = 4                      // names that are asked for at once over a link that is slow
	leastMost = 1 << 10                // bytes of pieces that a report has come along over one
)

// bag holds pieces that came and are not taken up yet, by name: what came for one root serves the next one.
type bag struct {
	mu   sync.Mutex
	all  map[merkle.Name][]byte
	size int
}

func (b *bag) put(piece []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := merkle.NameOf(piece)
	if b.all[n] != nil || len(piece) > merkle.MostPiece {
		return
	}
	if b.size+len(piece) > mostLoose {
		b.all, b.size = nil, 0 // it can be fetched
	}
	if b.all == nil {
		b.all = map[merkle.Name][]byte{}
	}
	b.all[n] = piece
	b.size += len(piece)
}

func (b *bag) get(n merkle.Name) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[n]
}

func (b *bag) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all, b.size = nil, 0
}

// assembly is a *pieces.Assembly, or what a test has in its place.
type assembly interface {
	Wants(most int) []merkle.Name
	Add(piece []byte) error
	Tree() (*merkle.Tree, error)
}

// fetching is one duty's: what it is putting together, over as many reports as it takes.
type fetching struct {
	*Policies
	root  merkle.Name
	has   *merkle.Tree
	to    assembly        // nil is none
	at    int             // the steward that is asked
	due   []time.Duration // when each may be asked again
	names int             // that are asked for at once
	along int             // bytes that a report's answer may have; 0 is any
}

func newFetching(p *Policies) *fetching {
	n := len(p.set.File.Stewards)
	return &fetching{Policies: p, at: rand.IntN(n), due: make([]time.Duration, n), names: api.MostNames}
}

// pace has reports bring less over a link on which they take too long, and more again.
func (f *fetching) pace(slow bool) {
	switch {
	case slow && f.along == 0:
		f.along = api.MostPieces / 4
	case slow:
		f.along = max(f.along/4, leastMost)
	case f.along >= api.MostPieces/2:
		f.along = 0
	default:
		f.along *= 2
	}
}

// anew forgets what was on its way.
func (f *fetching) anew() {
	f.to = nil
	f.loose.clear()
}

// fetch goes on with what an offer comes to: of the pieces that came along, of what came before, and of what stewards give by name. The
// tree is nil as long as it is not whole; the next report goes on. Errors are of package pieces, and of the last steward that was asked.
func (f *fetching) fetch(ctx context.Context, r api.PolicyReply) (*merkle.Tree, error) {
	root, err := merkle.ParseName(r.Offer.Hash)
	if err != nil {
		return nil, err
	}
	has := f.now.Load().Tree
	if f.to == nil || f.root != root || f.has != has {
		f.root, f.has, f.to = root, has, f.wants(root, has)
	}
	if err := f.drain(); err != nil {
		return nil, err
	}
	wrong := f.add(r.Pieces)
	var malformed merkle.Malformed
	if errors.As(wrong, &malformed) {
		return nil, wrong
	}
	if err := f.drain(); err != nil {
		return nil, err
	}
	end := f.clock() + fetchTime
	for ctx.Err() == nil {
		f.duty.Heartbeat()
		names := f.to.Wants(f.names)
		if len(names) == 0 {
			return f.to.Tree()
		}
		if f.clock() >= end || !f.next() {
			return nil, wrong
		}
		if err := f.ask(ctx, names); err != nil {
			wrong = err
			if errors.As(err, &malformed) {
				return nil, err
			}
		}
		if err := f.drain(); err != nil {
			return nil, err
		}
	}
	return nil, wrong
}

// open tells whether something is on its way that a steward may be asked for now.
func (f *fetching) open() bool { return f.to != nil && f.next() }

// next looks for a steward that may be asked.
func (f *fetching) next() bool {
	now := f.clock()
	for range f.due {
		if f.due[f.at] <= now {
			return true
		}
		f.at = (f.at + 1) % len(f.due)
	}
	return false
}

// rest has a steward not be asked for a time, which differs between proxies.
func (f *fetching) rest(least time.Duration) {
	f.due[f.at] = f.clock() + time.Duration(float64(least)*(1+rand.Float64()/2))
}

// ask asks a steward for pieces by name. One that hasn't all of them, or fails, rests until the others were asked.
func (f *fetching) ask(ctx context.Context, names []merkle.Name) error {
	in := api.PiecesRequest{Fleet: f.set.File.Fleet, Proxy: f.set.Name, Root: f.root.String()}
	for i := range names {
		in.Names = append(in.Names, names[i][:])
	}
	inner, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	var out api.PiecesReply
	err := api.Call(inner, f.client, f.set.File.Stewards[f.at].Address, api.PathPieces, in, &out)
	switch {
	case err != nil:
		if inner.Err() != nil {
			f.names = max(f.names/2, leastAsks)
		}
		f.rest(mostReport)
		return err
	case out.Later > 0:
		f.rest(min(time.Duration(out.Later), mostLater))
		return nil
	case len(out.Pieces) == 0 || out.Lacks > 0: // it is behind, or ahead
		f.rest(mostReport)
	}
	f.names = min(f.names+f.names/8+1, api.MostNames)
	if err := f.add(out.Pieces); err != nil {
		f.rest(mostReport)
		return fmt.Errorf("steward %s: %w", f.set.File.Stewards[f.at].Name, err)
	}
	return nil
}

// mostLater bounds when a steward may have a proxy come back.
const mostLater = 10 * time.Second

// add takes pieces that came. What is not wanted is left out; the error is the last of these.
func (f *fetching) add(all [][]byte) (wrong error) {
	for _, piece := range all {
		if f.loose.get(merkle.NameOf(piece)) != nil {
			continue // it came before
		}
		if err := f.to.Add(piece); err != nil {
			f.wrong.Add(1)
			wrong = err
			var malformed merkle.Malformed
			if errors.As(err, &malformed) {
				return err
			}
			continue
		}
		f.got.Add(1)
		f.loose.put(piece)
	}
	return wrong
}

// drain takes what came before for another root.
func (f *fetching) drain() error {
	for added := true; added; {
		added = false
		for _, n := range f.to.Wants(mostLoose) {
			if piece := f.loose.get(n); piece != nil {
				if err := f.to.Add(piece); err != nil {
					return err
				}
				added = true
			}
		}
	}
	return nil
}
