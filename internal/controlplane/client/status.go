package client

// QuotaStatus describes the state of a quota at this proxy. Amounts are in units per second.
type QuotaStatus struct {
	// Granted is the amount of the lease, Floor that of the floor, and Wanted the requested demand.
	Granted float64 `json:"granted"`
	Floor   float64 `json:"floor"`
	Wanted  float64 `json:"wanted"`
	// LeaseLeftMillis is the time until the lease expires.
	LeaseLeftMillis int64  `json:"lease_left_ms"`
	Token           string `json:"token"`
	// Attempted counts units requested since the last request for leases; Admitted and Rejected count since the start.
	Attempted int64 `json:"tried"`
	Admitted  int64 `json:"allowed"`
	Rejected  int64 `json:"refused"`
}

// Status describes the state of a QuotaClient, for the admin protocol. Counts are since the start.
type Status struct {
	Fleet string `json:"fleet"`
	Proxy string `json:"proxy"`
	// Server is the address of the server that answered last.
	Server string `json:"steward"`
	// FloorsClaimed reports whether this process holds the claim to the floors of its name.
	FloorsClaimed bool   `json:"floors_claimed"`
	ConfigVersion uint64 `json:"budgets_version"`
	Requests      int64  `json:"asks"`
	Answered      int64  `json:"answered"`
	Failed        int64  `json:"failed"`
	// WorkersCrashed and WorkersStalled count workers that were replaced.
	WorkersCrashed int64 `json:"duties_died"`
	WorkersStalled int64 `json:"duties_stuck"`
	// ExpiredBeforeSend counts attempts whose lease expired between their admission and their sending.
	ExpiredBeforeSend int64                  `json:"stopped_before_send"`
	Quotas            map[string]QuotaStatus `json:"budgets"`
	Faults            []Fault                `json:"troubles,omitempty"`
	// Policy is nil in the result of QuotaClient.Status. A caller that also has a PolicyClient sets it.
	Policy *PolicyStatus `json:"policy,omitempty"`
}

// recordStatus copies the holder's state to where Status reads it.
func (w *quotaWorker) recordStatus() {
	c := w.client
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.generation != c.generation {
		return
	}
	for name := range c.quotas {
		status := w.holder.Status(now, name)
		c.configVersion = status.ConfigVersion
		c.quotaStatuses[name] = QuotaStatus{
			Granted:         status.Amount.Units(),
			Floor:           status.Floor.Units(),
			Wanted:          w.demand.requested[name],
			LeaseLeftMillis: status.Remaining.Milliseconds(),
			Token:           status.Token.String(),
		}
	}
}

// Status returns the client's current state. It does not wait for the worker.
func (c *QuotaClient) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := Status{
		Fleet:             c.quotaConfig.FleetID,
		Proxy:             c.config.ProxyName,
		Server:            c.server,
		FloorsClaimed:     c.floorsClaimed,
		ConfigVersion:     c.configVersion,
		Requests:          c.counters.requests.Load(),
		Answered:          c.counters.answered.Load(),
		Failed:            c.counters.failed.Load(),
		WorkersCrashed:    c.counters.crashes.Load(),
		WorkersStalled:    c.counters.stalls.Load(),
		ExpiredBeforeSend: c.counters.expiredBeforeSend.Load(),
		Quotas:            map[string]QuotaStatus{},
		Faults:            c.listFaults(),
	}
	for name, q := range c.quotas {
		quotaStatus := c.quotaStatuses[name]
		quotaStatus.Attempted = q.attempted.Load()
		quotaStatus.Admitted = q.admitted.Load()
		quotaStatus.Rejected = q.rejected.Load()
		status.Quotas[name] = quotaStatus
	}
	return status
}
