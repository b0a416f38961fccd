package store

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"lapisspread/internal/policy/rollout"
)

// CharterName stands for the charter among changes: a change of the charter has it as its Namespace, and no Number.
const CharterName = "charter"

// Change is a new file of a namespace, or a new charter.
type Change struct {
	Namespace string `json:"namespace"`        // CharterName with Number 0 is the charter
	Number    uint64 `json:"number,omitempty"` // of the file
	By        string `json:"by,omitempty"`
}

// Fault is a change that made a train stop. It was taken out; its number stays used.
type Fault struct {
	Change
	At   uint64 `json:"at"` // of a charter: the merge that it came with
	Why  string `json:"why"`
	Help string `json:"help"`
}

// change is one with what tells it from others of its namespace.
type change struct {
	Change
	At uint64 `json:"at"` // of a charter: the merge that it came with
}

func (c change) charter() bool { return c.Number == 0 }

func told(all []change) (out []Change) {
	for _, c := range all {
		out = append(out, c.Change)
	}
	return out
}

// base is what is in force; with none, what has nothing in it.
func (s *state) base() *Kept {
	if s.Base < 0 {
		return &Kept{}
	}
	return &s.Kept[s.Base]
}

// changes are what one policy came of that another did not, in the order in which they came; a charter goes first, for files may
// need it. Files that a charter leaves out are no changes of their own.
func changes(from, to *Kept) (out []change) {
	if from.Charter.Text != to.Charter.Text {
		out = append(out, change{Change{CharterName, 0, to.Charter.By}, to.Charter.At})
	}
	at := len(out)
	for name, f := range to.Files {
		if from.Files[name].Text != f.Text {
			out = append(out, change{Change{name, f.Number, f.By}, f.At})
		}
	}
	slices.SortFunc(out[at:], func(a, b change) int {
		return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Namespace, b.Namespace))
	})
	return out
}

// has tells whether a policy came of a change.
func (k *Kept) has(c change) bool {
	if c.charter() {
		return k.Charter.At == c.At
	}
	return k.Files[c.Namespace].Number == c.Number
}

// depart sends a train out if none is on its way: first the parts of one that was stopped, then all that has gathered in Head.
func (b *Book) depart(s *state) {
	if b.flaws&displace != 0 && s.Next >= 0 && s.Head.Offer.Hash != s.Kept[s.Next].Offer.Hash {
		s.enter(s.Head)
		return
	}
	for s.Next < 0 || s.Stopped != nil {
		if len(s.Trials) > 0 {
			trial := s.Trials[0]
			s.Trials = s.Trials[1:]
			if k, came := b.tried(s, trial); len(came) > 0 {
				s.Epoch++
				k.Offer.Generation, k.Offer.Epoch = s.Order, s.Epoch
				s.enter(k)
			}
			continue
		}
		switch hash := s.Head.Offer.Hash; {
		case hash == "" || s.Stopped != nil && hash == s.Kept[s.Next].Offer.Hash:
			return // that one was stopped
		case hash == s.base().Offer.Hash:
			// The files may be others that come to the same: then they are in force.
			s.Kept[s.Base].Charter, s.Kept[s.Base].Files = s.Head.Charter, s.Head.Files
			s.settled()
			return
		}
		if s.Head.Offer.Generation != s.Order || s.departed(s.Head.Offer.Epoch) {
			s.Epoch++ // others went out after it was merged
			s.Head.Offer.Generation, s.Head.Offer.Epoch = s.Order, s.Epoch
		}
		s.enter(s.Head)
	}
}

// departed tells whether an epoch, or one after it, has gone out.
func (s *state) departed(epoch uint64) bool {
	return slices.ContainsFunc(s.Kept, func(k Kept) bool { return k.Offer.Epoch >= epoch })
}

// enter has a policy go out. What all have stays until it is through.
func (s *state) enter(k Kept) {
	s.Kept = append(s.Kept, k)
	s.Next, s.Stopped = len(s.Kept)-1, nil
	for len(s.Kept) > MostKept {
		drop := 0
		if drop == s.Base {
			drop = 1
		}
		s.Kept = slices.Delete(s.Kept, drop, drop+1)
		s.Next--
		if s.Base > drop {
			s.Base--
		}
	}
}

// settled forgets the faults of which something newer is in force. A fleet's first charter is not taken out: it is in force after all.
func (s *state) settled() {
	base := s.base()
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool {
		return f.Number == 0 && base.Charter.At >= f.At || f.Number > 0 && base.Files[f.Namespace].Number > f.Number
	})
}

// tried is what a part of the changes comes to over what is in force, and which of them came in: one may conflict with what another
// one would have taken away. None came in if it comes to what is in force.
func (b *Book) tried(s *state, part []change) (Kept, []change) {
	base := s.base()
	charter, offered := base.Charter, map[string]file{}
	if s.Base < 0 {
		charter = s.Charter
	}
	for _, c := range part {
		switch {
		case !s.Head.has(c): // its team has offered another since
		case c.charter():
			charter = s.Head.Charter
		default:
			offered[c.Namespace] = s.Head.Files[c.Namespace]
		}
	}
	out, tree, err := b.join(charter, base.Files, offered, base.Tree)
	if err != nil || tree.Root().String() == base.Offer.Hash {
		return Kept{}, nil
	}
	k := Kept{Offer: rollout.Version{Hash: tree.Root().String()}, Charter: charter, Files: map[string]file{}, Tree: tree}
	for _, n := range out.Good {
		k.Files[n.Name] = base.Files[n.Name]
		if f, ok := offered[n.Name]; ok && f.Number == n.Number {
			k.Files[n.Name] = f
		}
	}
	var came []change
	for _, c := range part {
		if s.Head.has(c) && k.has(c) {
			came = append(came, c)
		}
	}
	return k, came
}

// part finds what a train was stopped for. A single change is at fault. Of several, those that their teams have not replaced since are
// halved: one half goes out, then the rest. Where one can't go without the other, all of them are at fault.
func (b *Book) part(s *state) {
	all := changes(s.base(), &s.Kept[s.Next])
	if len(all) <= 1 || b.flaws&blameAll != 0 {
		b.blame(s, all)
		return
	}
	if s.Base < 0 {
		all = slices.DeleteFunc(all, change.charter) // without one nothing goes
	}
	still := slices.DeleteFunc(slices.Clone(all), func(c change) bool { return !s.Head.has(c) })
	if len(still) < len(all) {
		if len(still) > 0 {
			s.Trials = slices.Insert(s.Trials, 0, still)
		}
		return
	}
	half := len(all) / 2
	var parts [][]change
	for i := range all[1:] {
		n := half + i // a half or more, then less
		if n >= len(all) {
			n = len(all) - 1 - i
		}
		parts = append(parts, all[:n])
	}
	for i := range all[1:] { // one may need another that came in with it, and not the other way round
		parts = append(parts, all[i+1:i+2])
	}
	for _, p := range parts {
		if _, came := b.tried(s, p); len(came) > 0 && len(came) < len(all) {
			rest := slices.DeleteFunc(slices.Clone(all), func(c change) bool { return slices.Contains(came, c) })
			s.Trials = slices.Insert(s.Trials, 0, came, rest)
			return
		}
	}
	b.blame(s, all)
}

// mend is what whoever gave a change that was at fault can do.
const mend = "It was taken out, and what else was under way goes on without it. Mend it and offer it under a higher number. The few proxies that " +
	"have it get the next policy first; until there is one, going back to an epoch that is kept takes them along."

// blame takes changes out of Head, and tells why. What their teams have offered since stays. What was held is looked at anew.
func (b *Book) blame(s *state, all []change) {
	base, why := s.base(), s.Stopped
	last, offered := maps.Clone(s.Good), map[string]file{}
	for name, f := range s.Head.Files {
		if base.Files[name].Text == f.Text {
			continue
		}
		offered[name] = f
		delete(last, name)
		if was, ok := base.Files[name]; ok {
			last[name] = was
		}
	}
	for i, c := range all {
		if b.flaws&tellOne == 0 || i == 0 {
			s.fault(Fault{c.Change, c.At, why.Why, mend})
		}
		switch {
		case !s.Head.has(c):
		case !c.charter():
			delete(offered, c.Namespace)
		case s.Base >= 0:
			s.Charter = base.Charter
		}
	}
	if b.flaws&noBlame != 0 {
		return
	}
	if len(all) == 0 { // nobody's: then nothing of it goes
		s.Charter, offered = base.Charter, map[string]file{}
	}
	waiting := s.Waiting
	s.Good, s.Waiting = last, offered
	if len(offered) > 0 && len(waiting) > 0 {
		if b.merge(s, false) != nil { // those that were in go before those that were held
			s.Waiting = map[string]file{}
		}
	}
	for name, f := range waiting {
		s.Waiting[name] = f
	}
	if b.merge(s, false) != nil {
		s.Head, s.Good, s.Waiting = *base, maps.Clone(base.Files), map[string]file{}
	}
}

// fault tells of one, in place of what was told of that namespace before.
func (s *state) fault(f Fault) {
	s.Faults = slices.DeleteFunc(s.Faults, func(o Fault) bool { return o.Namespace == f.Namespace && (o.Number == 0) == (f.Number == 0) })
	s.Faults = append(s.Faults, f)
	s.Faults = s.Faults[max(0, len(s.Faults)-mostFaults):]
}
