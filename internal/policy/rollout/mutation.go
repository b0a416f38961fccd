package rollout

// mutation is a set of safeguards that tests take out, to show that they would notice.
type mutation uint16

const (
	acceptStaleVersion    mutation = 1 << iota // a proxy adopts older versions
	skipHashCheck                              // a proxy adopts any content
	skipTest                                   // nothing stops a rollout
	fullErrorRatePerLook                       // each look gets the whole error rate
	poolRequests                               // requests count as independent, whichever proxy they came by
	ignoreSilent                               // silent proxies are left out
	skipMinRequests                            // looks are taken without enough requests
	compareTargeted                            // proxies with a stopped version are compared as if they were drawn
	compareLate                                // proxies that joined after the draw are compared with those in it
	ignoreSilentControl                        // looks are taken while most proxies without the version are silent
	skipReportingTest                          // proxies that report are not tested by themselves
	skipGrossSignificance                      // a few silent proxies stop a step though others are silent too
	waitForever                                // a step that cannot be looked at never ends
	skipCells                                  // proxies of a large fleet are drawn one by one
)
