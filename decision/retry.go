package decision

// The retry budget limits retries and hedged requests to a share of the requests, so that they do not
// multiply an overload. Each request adds RetryBudgetRatio to the budget, and each retry takes its price from
// it.
const (
	defaultRetryBudgetRatio = 0.1

	// maxRetryBudget is the maximum of the budget, in retries of price 1.
	maxRetryBudget = 10

	// brokenAttemptCost is the price of a retry after an attempt that ended with Reset or Error. Most of
	// these end early.
	brokenAttemptCost = 0.4
)

// refillRetryBudget adds the share of one request to the retry budget.
func (b *Balancer) refillRetryBudget() {
	b.retryBudget = min(b.retryBudget+b.config.RetryBudgetRatio, maxRetryBudget)
}

// retryPrice returns the price, in the retry budget, of a retry after an attempt ended with a result. A
// failed connection cost the backend no work, and a reserved retry has already been taken from the budget:
// both are free. Resets and errors cost less than timeouts: if connections break occasionally, the budget,
// which is meant for overloads, would be used up at once.
func retryPrice(a *attempt, result Result) float64 {
	switch {
	case result == ConnectFailed || a.retryReserved:
		return 0
	case result == Reset || result == Error:
		return brokenAttemptCost
	}
	return 1
}

// retryOrEnd queues a request for a retry, or rejects or fails it, after its last attempt in flight has ended
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
