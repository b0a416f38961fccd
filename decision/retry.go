package decision

// The retry budget bounds retries and hedged requests to a share of the requests, so that they can't
// multiply an overload. Each request adds RetryBudgetRatio to it, each retry takes its price from it.
const (
	defaultRetryBudgetRatio = 0.1

	// maxRetryBudget is how many retries may be saved up.
	maxRetryBudget = 10

	// brokenAttemptCost is the price of a retry after an attempt that broke, most often early.
	brokenAttemptCost = 0.4
)

// refillRetryBudget adds what one request earns for retries.
func (b *Balancer) refillRetryBudget() {
	b.retryBudget = min(b.retryBudget+b.config.RetryBudgetRatio, maxRetryBudget)
}

// retryPrice is what a retry after this end of an attempt takes from the budget. A connection that failed
// cost no work, and a reserved retry is paid for: both are free. Broken attempts cost less than timeouts:
// where connections break here and there, a budget that is meant for overloads would be gone at once.
func retryPrice(a *attempt, result Result) float64 {
	switch {
	case result == ConnectFailed || a.retryReserved:
		return 0
	case result == Reset || result == Error:
		return brokenAttemptCost
	}
	return 1
}

// retryOrEnd queues a request for a retry, or gives it up, after its last attempt in flight has ended
// without an answer.
func (b *Balancer) retryOrEnd(a *attempt, o Outcome) {
	r := a.request
	price := retryPrice(a, o.Result)
	if o.BodyConsumed || b.now >= b.lastUseful(r)-b.config.Tick || b.retryBudget < price {
		b.rejectOrFail(r)
		return
	}
	b.retryBudget -= price
	b.enqueue(r)
}
