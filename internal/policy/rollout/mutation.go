package rollout

// mutation is a set of safeguards that are disabled. Tests set it to show that they detect a missing safeguard; outside
// tests it is 0.
type mutation uint16

const (
	acceptStaleVersion    mutation = 1 << iota // a proxy also adopts older versions
	skipHashCheck                              // a proxy adopts content with a wrong hash
	skipTest                                   // looks never stop a rollout
	fullErrorRatePerLook                       // each look uses the whole error rate as its significance level
	poolRequests                               // requests are treated as independent, even those of the same proxy
	ignoreSilent                               // silent proxies do not count as failed
	skipMinRequests                            // looks are taken without enough requests
	compareTargeted                            // proxies with a stopped version are compared as if they were drawn
	compareLate                                // proxies that joined after the draw are compared
	ignoreSilentControl                        // looks are taken while most proxies without the version are silent
	skipReportingTest                          // the proxies that report are not tested separately
	skipGrossSignificance                      // a few silent proxies stop a step although others are silent too
	waitForever                                // a step without a look never counts as stalled
	skipCells                                  // the test draws single proxies of a large fleet instead of cells
)
