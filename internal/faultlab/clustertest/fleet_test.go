package clustertest

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/quotalease"
	"lapisspread/internal/strictconfig"
)

// lease is longer than a busy machine holds a process up.
const lease = 2 * time.Second

// shared is a budget of all attempts that is less than what is sent, and no floors.
func shared() *liverun.FleetOptions {
	return &liverun.FleetOptions{Longest: lease, Tokens: true, Budgets: []api.Quota{
		{Name: "attempts", Filter: api.AttemptFilter{Attempts: "attempts"}, Limit: 40, Burst: 20, LeaseDuration: strictconfig.Duration(lease)}}}
}

// floors is one with a part of it fixed by name for the first proxy.
func floors() *liverun.FleetOptions {
	o := shared()
	o.Budgets[0].Floors = map[string]float64{"n0": 8}
	return o
}

// while has proxies or stewards cut off from stewards while something is done.
func while(f *liverun.Fleet, from, to string, way linkfault.Way, do func() error) error {
	end, err := f.CutStewards(from, to, way)
	if err != nil {
		return err
	}
	return errors.Join(do(), end())
}

// granted waits until much of the whole is out.
func granted(f *liverun.Fleet) error { return f.WaitGranted("attempts", 30, 40) }

// cutOff has others serve for longer than a proxy that is cut off holds what it was granted.
func cutOff(f *liverun.Fleet, who int, others ...int) error {
	return errors.Join(f.Service(4*enough, others...), f.Ended("attempts", who))
}

// past waits until every grant of a time is over whose holder can't be asked, since it stands still.
func past(from time.Time) { time.Sleep(time.Until(from.Add(lease * 5 / 4))) }

// otherFleet answers asks with more than the whole, of another fleet: in the reply, or in its grants alone.
type otherFleet struct {
	mu      sync.Mutex
	replies map[string][2]int // by holder: in how many the grants alone were the other's, and in how many all was
}

// all waits until each proxy has had so many answers of both kinds more.
func (o *otherFleet) all(f *liverun.Fleet, n int) error {
	had := func() [][2]int {
		o.mu.Lock()
		defer o.mu.Unlock()
		var all [][2]int
		for _, no := range f.All() {
			all = append(all, o.replies[fmt.Sprintf("n%d", no)])
		}
		return all
	}
	before := had()
	return f.Await(fmt.Sprintf("%d replies of each kind of another fleet to each proxy", n), func() bool {
		for i, now := range had() {
			if now[0]-before[i][0] < n || now[1]-before[i][1] < n {
				return false
			}
		}
		return true
	})
}

func (o *otherFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q quotalease.Request
	if err := api.DecodeBody(r.Body, &q); err != nil {
		api.WriteReply(w, http.StatusBadRequest, api.RemoteErrorOf(err))
		return
	}
	reply := quotalease.Reply{FleetID: "other", Epoch: 1, HolderID: q.HolderID, ConfigVersion: 1, Leases: []quotalease.Lease{{FleetID: "other", Epoch: 1, HolderID: q.HolderID, Quota: "attempts", Kind: quotalease.Rate,
		Amount: quotalease.FromUnits(1000), Burst: quotalease.FromUnits(1000), Duration: lease, RequestSeq: q.Seq, ConfigVersion: 1, Token: quotalease.Token{Epoch: 1, Index: 1e6 + q.Seq}}}}
	if q.Seq%2 == 0 {
		reply.FleetID = q.FleetID
	}
	api.WriteReply(w, http.StatusOK, reply)
	o.mu.Lock()
	defer o.mu.Unlock()
	had := o.replies[q.HolderID.Holder]
	had[q.Seq%2]++
	o.replies[q.HolderID.Holder] = had
}

// What the fleet spends never sums to more than the whole, by the nodes' own counts, and in the end all proxies serve again.
func TestBudgetsOfTheFleetHold(t *testing.T) {
	t.Parallel()
	var all []Scenario
	for _, s := range []Scenario{
		{Name: "all is whole", Play: func(f *liverun.Fleet) error { return granted(f) }},
		{Name: "a proxy is cut off from the stewards", Play: func(f *liverun.Fleet) error {
			return while(f, "proxy-0", "steward-*", linkfault.Both, func() error { return cutOff(f, 0, 1, 2) })
		}},
		{Name: "a proxy with a floor is cut off from the stewards and serves on it", Fleet: floors(), Play: func(f *liverun.Fleet) error {
			return while(f, "proxy-0", "steward-*", linkfault.Both, func() error { return errors.Join(cutOff(f, 0, 1, 2), f.Service(enough, 0)) })
		}},
		{Name: "replies of the stewards are lost", Play: func(f *liverun.Fleet) error {
			return while(f, "proxy-0", "steward-*", linkfault.Back, func() error { return cutOff(f, 0, 1, 2) })
		}},
		{Name: "replies of the stewards take half of the lease, and longer than it", Play: func(f *liverun.Fleet) error {
			for _, d := range []time.Duration{lease / 2, lease * 3 / 2} {
				slow := linkfault.Rule{From: "proxy-0", To: "steward-*", Way: linkfault.Back, Trouble: linkfault.Trouble{Delay: d}}
				if err := during(f, slow, func() error { return f.Service(4*enough, 1, 2) }); err != nil {
					return err
				}
			}
			return nil
		}},
		{Name: "the leading steward is killed", Play: func(f *liverun.Fleet) error {
			no, err := f.Leader()
			if err != nil {
				return err
			}
			f.KillSteward(no)
			return errors.Join(again(f), f.StartSteward(no), again(f))
		}},
		{Name: "the leading steward stands still past all that it granted, and wakes", Play: func(f *liverun.Fleet) error {
			no, err := f.Leader()
			if err != nil {
				return err
			}
			f.StopSteward(no)
			stopped := time.Now()
			err = errors.Join(f.NextLeader(no), granted(f), again(f))
			time.Sleep(time.Until(stopped.Add(2 * lease))) // also past the longest that it has an ask wait: steward.answerTime
			f.GoOnSteward(no)
			return err
		}},
		{Name: "two of three stewards are gone, then their stores", Play: func(f *liverun.Fleet) error {
			f.KillSteward(0, 1)
			if err := errors.Join(f.Ended("attempts", f.All()...), f.LoseStore(0), f.LoseStore(1), f.StartSteward(0, 1)); err != nil {
				return err
			}
			return f.FoundAnew(2)
		}},
		{Name: "a proxy stands still past its lease with requests in hand, and wakes", Play: func(f *liverun.Fleet) error {
			for range 3 {
				f.Stop(1)
				stopped := time.Now()
				if err := f.Service(4*enough, 0, 2); err != nil {
					return err
				}
				past(stopped)
				f.GoOn(1)
				if err := f.Service(enough, 1); err != nil {
					return err
				}
			}
			return nil
		}},
		{Name: "a third of the fleet joins in one moment", Proxies: 6, Rate: 90, Play: func(f *liverun.Fleet) error {
			f.Kill(4, 5)
			if err := f.Service(2*enough, 0, 1, 2, 3); err != nil {
				return err
			}
			f.Start(4, 5)
			return nil
		}},
		{Name: "most are killed in one moment", Proxies: 6, Rate: 90, Play: func(f *liverun.Fleet) error {
			f.Kill(0, 1, 2, 3)
			if err := errors.Join(f.Service(4*enough, 4, 5), granted(f)); err != nil {
				return err
			}
			f.Start(0, 1, 2, 3)
			return nil
		}},
		{Name: "two processes of one name with a floor", Fleet: floors(), Change: func(s *model.Spec) {
			s.Faults = []model.Fault{{Kind: model.UpgradeProxy, At: longest - time.Second, Share: .1}} // the sockets are passed on
		}, Play: func(f *liverun.Fleet) error {
			for range 3 {
				f.Do(model.Step{Op: model.OpUpgradeProxy, Node: 0})
				if err := f.Service(2*enough, 0, 1, 2); err != nil {
					return err
				}
			}
			return nil
		}},
		{Name: "the whole is halved while proxies and a steward are cut off", Play: func(f *liverun.Fleet) error {
			return while(f, "proxy-0,proxy-1", "steward-*", linkfault.Both, func() error {
				end, err := f.Apart(2)
				if err != nil {
					return err
				}
				err = f.SetWhole("attempts", 20, 20)
				if err == nil {
					err = f.Service(4*enough, 2)
				}
				return errors.Join(err, end())
			})
		}},
		{Name: "an older store of a steward is put back", Play: func(f *liverun.Fleet) error {
			no, err := f.Leader()
			if err != nil {
				return err
			}
			f.KillSteward(no)
			if err := errors.Join(f.KeepStore(no), f.StartSteward(no), f.Service(4*enough, f.All()...)); err != nil {
				return err
			}
			f.KillSteward(no)
			return errors.Join(f.OldStore(no), f.StartSteward(no))
		}},
		{Name: "a steward answers with another fleet's grants", Play: func(f *liverun.Fleet) error {
			liar := &otherFleet{replies: map[string][2]int{}}
			other := httptest.NewServer(liar)
			defer other.Close()
			f.Answers(0, other.Listener.Addr().String())
			err := again(f)
			for _, no := range f.Stewards() {
				f.Answers(no, other.Listener.Addr().String())
			}
			// What the stewards had granted ends, and nothing of the other fleet takes its place.
			err = errors.Join(err, f.Ended("attempts", f.All()...), liar.all(f, 3), f.Ended("attempts", f.All()...))
			for _, no := range f.Stewards() {
				f.Answers(no, "")
			}
			return err
		}},
		{Name: "stewards can't speak to each other", Play: func(f *liverun.Fleet) error {
			return while(f, "steward-*", "steward-*", linkfault.Both, func() error { return errors.Join(f.Leaderless(), f.Ended("attempts", f.All()...)) })
		}},
	} {
		s.Fabric = true
		if s.Fleet == nil {
			s.Fleet = shared()
		}
		play := s.Play
		s.Play = func(f *liverun.Fleet) error { return errors.Join(again(f), play(f), again(f)) }
		all = append(all, s)
	}
	Run(t, all)
}
