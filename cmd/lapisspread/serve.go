package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"

	"lapisspread/internal/lograte"
	"lapisspread/internal/proxy"
)

// memoryPart is the part of the memory limit that the collector keeps the heap within: the rest is for
// what it does not count, such as the sockets' buffers and the program itself.
const memoryPart = 0.7

// serveFiles are files that are read if they are named: of services, of who is admitted, of Diameter, of coming back, of the fleet.
type serveFiles struct{ services, admission, diameter, comeback, fleet string }

// serve runs the proxy until SIGTERM, and writes a CPU profile if one is named. An error says why it could not serve.
func serve(profile string, files serveFiles) error {
	hup := make(chan os.Signal, 1) // before all else: SIGHUP would end the program
	signal.Notify(hup, syscall.SIGHUP)
	// SIGTERM would too, out of order. Danger: no later one may: a second SIGTERM amid a drain would lose what is in hand.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	cfg.Services, cfg.Admission, cfg.Diameter = files.services, files.admission, files.diameter
	cfg.Comeback, cfg.Fleet = files.comeback, files.fleet
	if profile != "" {
		file, err := os.Create(profile + "." + cfg.Name)
		if err != nil {
			return fmt.Errorf("the profile: %w", err)
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return fmt.Errorf("the profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	signal.Ignore(syscall.SIGPIPE) // a log whose reader has died must not take the proxy with it
	writer := lograte.New(os.Stderr)
	defer writer.Close()
	log := slog.New(slog.NewTextHandler(writer, nil)).With("proxy", cfg.Name)
	p := proxy.New(cfg, log)
	p.Shared = func(shared bool) {
		limit := memoryPart * float64(cfg.MemoryMB) * (1 << 20)
		if shared {
			limit /= 2
		}
		debug.SetMemoryLimit(int64(limit))
	}
	ended := make(chan struct{})
	defer close(ended)
	go reload(p, hup, ended)
	if err := p.Run(ctx); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}

// reload reads the configuration anew at each SIGHUP, for as long as the program runs. A bad one changes
// nothing.
func reload(p *proxy.Proxy, hup <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case <-hup:
		case <-ended:
			return
		}
		cfg, err := proxy.ReloadConfig(os.Getenv)
		if err != nil {
			p.ReloadFailed(err)
			continue
		}
		p.Reload(cfg)
	}
}
