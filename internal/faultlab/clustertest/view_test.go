package clustertest

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"lapisspread/internal/faultlab/linkfault"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/model"
)

// doubts is a fleet's file by which some seconds without news are doubt: the machines are believed to change often.
const doubts = `version = 1
fleet = "kit"
longest = "1s"
[[stewards]]
name = "s1"
number = 1
address = "127.0.0.1:1"
[view]
act = true
[view.levels]
confirmed = 0.99
fresh = 0.99
ageing = 0.985
margin = 0.002
[view.kinds.std-1]
changes = 50.0
in = "5000s"
[view.kinds.slow-1]
changes = 50.0
in = "5000s"
`

// all tells whether all routes of all proxies are at a level.
func all(f *liverun.Fleet, level string) (bool, error) {
	for _, no := range f.All() {
		now, _, err := f.View(no)
		if err != nil || slices.ContainsFunc(now, func(l string) bool { return l != level }) {
			return false, err
		}
	}
	return true, nil
}

// Watches fall silent, and a server is replaced by another process at its address meanwhile: while there is doubt, what must never run
// twice goes to no server that has not answered since. With news all is trusted again. Requests are few until there is doubt, so that it
// comes before all servers have answered; with act = false this convicts.
func TestASilentWatchIsDoubt(t *testing.T) {
	t.Parallel()
	Run(t, []Scenario{{Name: "watches fall silent while a server is replaced", Fabric: true, FleetFile: doubts, Play: func(f *liverun.Fleet) error {
		if err := errors.Join(f.Service(enough, f.All()...), f.Levels("fresh", "confirmed")); err != nil {
			return err
		}
		f.Pace(.02)
		if err := f.Silence(f.All()...); err != nil {
			return err
		}
		err := during(f, linkfault.Rule{To: "register", Trouble: linkfault.Trouble{Silent: true}}, func() error {
			f.Nodes(model.OpKill, 4)
			f.Doubt() // earlier than any proxy's doubt: an answer between the two counts for the proxy
			if err := f.Levels("doubtful"); err != nil {
				return err
			}
			doubted, sent := f.Now(), 0 // what proxies had in hand by then breaks nothing
			f.Nodes(model.OpStart, 4)
			f.Pace(1)
			if err := f.Await("answers that end the doubt about some", func() bool {
				now := f.Unproved(doubted)
				doubtful, err := all(f, "doubtful")
				if err != nil { // a console that gave no answer: nothing is known
					return false
				}
				if doubtful {
					sent = now
				}
				return !doubtful || sent > 0
			}); err != nil {
				return err
			}
			if sent > 0 {
				return fmt.Errorf("%d that must never run twice were sent to servers that had not answered since", sent)
			}
			return f.Service(enough, f.All()...) // doubt does not stop all
		})
		return errors.Join(err, f.Levels("fresh", "confirmed"), f.Service(enough, f.All()...))
	}}})
}
