package proxy

import (
	"context"
	"sync"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/controlplane/freshness"
)

// joinControlPlane starts the client for quota leases, and the freshness monitor if the fleet's file configures it.
// They run until leave is called, which waits for their end. It also creates the policy client, which runPolicyClient
// runs. Errors are those of reading the fleet's file and its TLS keys.
func (p *Proxy) joinControlPlane() (leave func(), err error) {
	file, err := api.Load(p.cfg.Fleet)
	if err != nil {
		return nil, err
	}
	keys, err := file.LoadTLSKeys()
	if err != nil {
		return nil, err
	}
	newConfig := func() client.Config {
		return client.Config{File: file, ProxyName: p.cfg.Name, Logger: p.log, Transport: api.NewTransport(keys)}
	}
	quotas := client.NewQuotaClient(newConfig())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { quotas.Run(ctx) })
	if keys != nil {
		running.Go(func() { api.WatchTLSKeys(ctx, keys, p.log) })
	}
	p.quotaClient.Store(quotas)
	if file.Freshness != nil {
		monitor := freshness.New(freshness.Config{Freshness: file.Freshness, Logger: p.log})
		running.Go(func() { monitor.Run(ctx) })
		p.freshness.Store(monitor)
	}
	p.services.policyRoutes = file.Policy.RouteByPolicy // needs no lock, since no service runs yet
	p.policyClient.Store(client.NewPolicyClient(newConfig(), p.services.installPolicy))
	leave = func() {
		cancel()
		running.Wait()
	}
	return leave, nil
}

// runPolicyClient installs the policies that the control plane offers until ctx ends. The initial state without a
// policy is installed too, so that requests are counted for it and policies can be compared with it.
func (p *Proxy) runPolicyClient(ctx context.Context) {
	policies := p.policyClient.Load()
	if policies == nil {
		return
	}
	if err := p.services.installPolicy(policies.Current()); err != nil {
		p.log.Error("installing the initial policy state failed, rollouts can't see this proxy's requests", "err", err)
	}
	policies.Restore()
	policies.Run(ctx)
}
