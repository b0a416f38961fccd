package clustertest

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/testbinary"
)

func TestMain(m *testing.M) { testbinary.Main(m) }

// enough is how many requests show that a proxy serves.
const enough = 15

// again waits until all proxies serve.
func again(f *liverun.Fleet) error { return f.Service(enough, f.All()...) }

// during has a rule hold while something is done.
func during(f *liverun.Fleet, r linkfault.Rule, do func() error) error {
	links, err := f.Fabric()
	if err != nil {
		return err
	}
	end, err := links.Apply(r)
	if err != nil {
		return err
	}
	return errors.Join(do(), end())
}

// restart kills proxies and starts them again.
func restart(f *liverun.Fleet, proxies ...int) {
	f.Kill(proxies...)
	f.Start(proxies...)
}

// keeps is a file of coming back by which lists that lack many are in doubt for longer than any test.
const keeps = "version = 1\n[list]\nhold = \"10m\"\n"

// waits is one by which calls for the list wait their turn.
const waits = "version = 1\n[calls]\nrate = 5.0\nmost = \"2s\"\n"

// learns is one by which each proxy writes down what it has learned.
const learns = "version = 1\n[memory]\nevery = \"100ms\"\n"

// recalls waits until what the processes say of what was left to them is this.
func recalls(f *liverun.Fleet, what string) error {
	for _, no := range f.All() {
		if got, err := f.Recalled(no); err != nil || got != what {
			return fmt.Errorf("proxy %d: recalled: %q, %w; want %q", no, got, err, what)
		}
	}
	return nil
}

// The fleet comes back from each of these, by itself, with no rule broken on the way.
func TestTheFleetComesBack(t *testing.T) {
	t.Parallel()
	silent := linkfault.Trouble{Silent: true}
	Run(t, []Scenario{
		{Name: "all are killed", Play: func(f *liverun.Fleet) error {
			restart(f, f.All()...)
			return again(f)
		}},
		{Name: "most are killed while the register is overbooked", Proxies: 5, Play: func(f *liverun.Fleet) error {
			f.Do(model.Step{Op: model.OpRegisterBusy, Size: 1, Extra: 0.2, Flag: true})
			restart(f, 0, 1, 2, 3)
			if err := again(f); err != nil {
				return err
			}
			f.Do(model.Step{Op: model.OpRegisterBusy})
			return again(f)
		}},
		{Name: "killed again while coming back, three times", Play: func(f *liverun.Fleet) error {
			for range 3 {
				restart(f, f.All()...)
			}
			return again(f)
		}},
		{Name: "one crashes again and again", Play: func(f *liverun.Fleet) error {
			for range 4 {
				restart(f, 1)
				if err := f.Service(3, 0, 2); err != nil { // the others go on
					return err
				}
			}
			return again(f)
		}},
		{Name: "half return with a list of long ago", Proxies: 4, Play: func(f *liverun.Fleet) error {
			f.Remember()
			f.Nodes(model.OpDrain, 0, 1)
			if err := f.Service(enough, 0, 1, 2, 3); err != nil {
				return err
			}
			restart(f, 0, 1)
			return again(f)
		}},
		{Name: "the register loses its store as all restart", Play: func(f *liverun.Fleet) error {
			f.Kill(f.All()...)
			f.Lose(1, f.All()...) // whole, under lower numbers
			f.Start(f.All()...)
			if err := again(f); err != nil {
				return err
			}
			f.Found(f.All()...)
			return again(f)
		}},
		{Name: "the register comes back with a part of its list", Play: func(f *liverun.Fleet) error {
			f.Lose(0.5, f.All()...)
			if err := again(f); err != nil {
				return err
			}
			f.Found(f.All()...)
			return again(f)
		}},
		{Name: "the register tells two proxies different lists", Play: func(f *liverun.Fleet) error {
			f.Lose(0.5, 1)
			if err := again(f); err != nil {
				return err
			}
			restart(f, f.All()...)
			if err := again(f); err != nil {
				return err
			}
			f.Found(1)
			return again(f)
		}},
		{Name: "a proxy is stopped and wakes with requests in hand", Play: func(f *liverun.Fleet) error {
			f.Stop(1)
			f.Nodes(model.OpDrain, 0)
			if err := f.Service(4*enough, 0, 2); err != nil {
				return err
			}
			f.GoOn(1)
			return again(f)
		}},
		{Name: "state folders are gone, spoilt and old", Play: func(f *liverun.Fleet) error {
			for _, do := range model.StateTroubles {
				f.Kill(f.All()...)
				f.Spoil(do, f.All()...)
				f.Start(f.All()...)
				if err := again(f); err != nil {
					return err
				}
			}
			return nil
		}},
		{Name: "what was learned is recalled, and what was damaged is not", Comeback: learns, Play: func(f *liverun.Fleet) error {
			for _, c := range []struct{ do, recalled string }{{"", "yes"}, {"flip", "it is damaged"}, {"tear", "it is damaged"}, {"remove", "none"}} {
				if err := f.Learned(f.All()...); err != nil {
					return err
				}
				f.Kill(f.All()...)
				if c.do != "" {
					f.Spoil(c.do, f.All()...)
				}
				f.Start(f.All()...)
				if err := errors.Join(recalls(f, c.recalled), again(f)); err != nil {
					return err
				}
			}
			return nil
		}},
		{Name: "what was learned knows of a server that a list of long ago lacks", Fabric: true, Comeback: learns, Play: func(f *liverun.Fleet) error {
			f.Nodes(model.OpDrain, 0, 1, 2, 3, 4)
			if err := f.Service(enough, f.All()...); err != nil {
				return err
			}
			f.Remember() // as if these had left for good
			f.Nodes(model.OpStart, 0, 1, 2, 3, 4)
			if err := errors.Join(f.Told(0, 1, 2, 3, 4), f.Learned(f.All()...)); err != nil {
				return err
			}
			f.Nodes(model.OpDrain, 5)
			if err := errors.Join(f.Service(enough, f.All()...), f.Learned(f.All()...)); err != nil {
				return err
			}
			return errors.Join(during(f, linkfault.Rule{To: "register", Trouble: silent}, func() error {
				restart(f, f.All()...) // without what was learned there would be the one that drains, and it alone
				return errors.Join(recalls(f, "yes"), again(f))
			}), again(f))
		}},
		{Name: "nodes and proxies restart in one moment, all cold", Rate: 30, Play: func(f *liverun.Fleet) error {
			nodes := []int{0, 1, 2, 3, 4, 5}
			f.Kill(f.All()...)
			f.Nodes(model.OpKill, nodes...)
			f.Nodes(model.OpStart, nodes...)
			if err := f.Told(nodes...); err != nil {
				return err
			}
			f.Start(f.All()...)
			return again(f)
		}},
		{Name: "cut off from the register as they start, with a list of long ago", Fabric: true, Play: func(f *liverun.Fleet) error {
			f.Remember()
			f.Nodes(model.OpDrain, 0)
			if err := f.Service(enough, f.All()...); err != nil {
				return err
			}
			return errors.Join(during(f, linkfault.Rule{To: "register", Trouble: silent}, func() error {
				restart(f, f.All()...)
				return again(f)
			}), again(f))
		}},
		{Name: "cut off from the register for a while, one way", Fabric: true, Play: func(f *liverun.Fleet) error {
			return errors.Join(during(f, linkfault.Rule{To: "register", Way: linkfault.Back, Trouble: silent}, func() error { return again(f) }), again(f))
		}},
		{Name: "a black-holed link heals as the herd returns", Fabric: true, Play: func(f *liverun.Fleet) error {
			err := during(f, linkfault.Rule{From: "proxy-0,proxy-1", To: "node-0,node-1", Trouble: silent}, func() error {
				if err := again(f); err != nil {
					return err
				}
				f.Kill(f.All()...)
				return nil
			})
			f.Start(f.All()...)
			return errors.Join(err, again(f))
		}},
		{Name: "the register comes back empty", Comeback: keeps, Play: func(f *liverun.Fleet) error {
			f.Lose(0, f.All()...)
			if err := again(f); err != nil { // it never stops serving, and yet a server that is told to leave gets nothing
				return err
			}
			f.Nodes(model.OpDrain, 0)
			if err := f.Service(4*enough, f.All()...); err != nil {
				return err
			}
			f.Found(f.All()...)
			return again(f)
		}},
		{Name: "all restart before an empty register", Comeback: keeps + waits[len("version = 1\n"):], Play: func(f *liverun.Fleet) error {
			f.Remember()
			f.Kill(f.All()...)
			f.Lose(0, f.All()...)
			f.Start(f.All()...)
			if err := again(f); err != nil {
				return err
			}
			f.Found(f.All()...)
			return again(f)
		}},
		{Name: "most restart, and calls wait their turn at an overbooked register", Proxies: 5, Comeback: waits, Play: func(f *liverun.Fleet) error {
			f.Do(model.Step{Op: model.OpRegisterBusy, Size: 2, Extra: 0.5, Flag: true})
			restart(f, 0, 1, 2, 3)
			f.Nodes(model.OpDrain, 1)
			if err := f.Service(4*enough, f.All()...); err != nil {
				return err
			}
			f.Do(model.Step{Op: model.OpRegisterBusy})
			return again(f)
		}},
		{Name: "watches fall silent while half of the servers are replaced", Nodes: 8, Play: func(f *liverun.Fleet) error {
			old, fresh := []int{0, 1, 2, 3}, []int{4, 5, 6, 7}
			f.Nodes(model.OpKill, fresh...) // not there yet
			if err := errors.Join(f.Gone(fresh...), f.Silence(f.All()...)); err != nil {
				return err
			}
			f.Nodes(model.OpStart, fresh...)
			f.Nodes(model.OpDrain, old...)
			time.Sleep(time.Second)
			f.Nodes(model.OpKill, old...)
			return errors.Join(f.Uses(fresh...), f.Whole(enough, f.All()...))
		}},
		{Name: "two restart in order, and clients send on all that stays open", Play: func(f *liverun.Fleet) error {
			f.Restart(0, 1)
			return again(f)
		}},
		{Name: "links are slow, narrow and cut while one restarts", Fabric: true, Play: func(f *liverun.Fleet) error {
			slow := linkfault.Rule{To: "node-*", Trouble: linkfault.Trouble{Delay: 5 * time.Millisecond, Rate: 64 << 10}}
			cut := linkfault.Rule{From: "proxy-2", To: "node-3", Way: linkfault.Back, Trouble: linkfault.Trouble{Cut: 300}}
			return errors.Join(during(f, slow, func() error {
				return during(f, cut, func() error { restart(f, 1); return again(f) })
			}), again(f))
		}},
	})
}
