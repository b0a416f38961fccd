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

// serveFiles are the optional files of "serve". An empty name turns the feature off.
type serveFiles struct {
	services  string
	admission string
	diameter  string
	listGuard string
	fleet     string
}

// serve runs the proxy until SIGTERM, and writes a CPU profile if profile names a file.
func serve(profile string, files serveFiles) error {
	// Signals are handled before anything else: an unhandled SIGHUP would end the program.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	// The handler stays until the end: a second SIGTERM during the drain must not drop requests in flight.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	files.apply(&cfg)
	if profile != "" {
		file, err := os.Create(profile + "." + cfg.Name)
		if err != nil {
			return fmt.Errorf("CPU profile: %w", err)
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return fmt.Errorf("CPU profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	signal.Ignore(syscall.SIGPIPE) // the proxy must not exit when the reader of its log has exited
	writer := lograte.New(os.Stderr)
	defer func() { _ = writer.Close() }()
	log := slog.New(slog.NewTextHandler(writer, nil)).With("proxy", cfg.Name)
	p := proxy.New(cfg, log)
	p.Shared = func(shared bool) { debug.SetMemoryLimit(cfg.HeapLimit(shared)) }
	ended := make(chan struct{})
	defer close(ended)
	go reload(p, hangup, ended)
	if err := p.Run(ctx); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}

// apply sets the files in the proxy's configuration.
func (f serveFiles) apply(cfg *proxy.Config) {
	cfg.Services = f.services
	cfg.Admission = f.admission
	cfg.Diameter = f.diameter
	cfg.ListGuard = f.listGuard
	cfg.Fleet = f.fleet
}

// reload reloads the configuration at each SIGHUP until ended is closed. An invalid configuration changes nothing.
func reload(p *proxy.Proxy, hangup <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case <-hangup:
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
