package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/report"
)

type runOptions struct {
	seed     uint64
	duration time.Duration
	json     string
	out      string
	proxy    string
	other    string // the program of another build, which runs beside proxy
	policy   string
	rate     float64
	verbose  bool
	profile  string
	args     []string
	services []string // the texts of files of services

	flood, admission string // a flood's name; the text of a file of admission
	comeback         string // the text of a file of coming back
	sample           func(liverun.Sample)
}

func runCommand() *cobra.Command {
	var o runOptions
	c := &cobra.Command{
		Use:   "run [EXPERIMENT]",
		Short: "Play an experiment on loopback sockets around real proxies, and judge it",
		Long: `run starts a register, nodes, proxies and clients on loopback addresses, plays an experiment (calm for 30 s if
none is named), shows how it goes and writes a report. Everything it has started ends with it.
Exit code 0 if all rules held and no proxy ended by itself.`,
		Args: usage(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := "calm"
			if len(args) > 0 {
				name = args[0]
			} else if o.duration == 0 {
				o.duration = 30 * time.Second
			}
			f, err := named(name)
			if err != nil {
				return err
			}
			f.Stretch(o.duration)
			if o.policy == baseline.Module { // of an experiment about services, the last variant is the day itself
				o.services = f.Variants[len(f.Variants)-1].Services
				o.comeback = f.Variants[len(f.Variants)-1].Comeback
			}
			return runOne(cmd.Context(), cmd.OutOrStdout(), f, o)
		},
	}
	c.Flags().Uint64Var(&o.seed, "seed", 1, "what chance comes from")
	c.Flags().DurationVar(&o.duration, "duration", 0, "play it in this time; all its times follow")
	c.Flags().StringVar(&o.json, "json", "", "write the summary to this file too")
	c.Flags().StringVar(&o.out, "out", "", "folder of the report (default faultlab-report/NAME-SEED)")
	c.Flags().StringVar(&o.proxy, "proxy", "", "the proxy's program (default: lapisspread, built from this tree or beside this program)")
	c.Flags().StringVar(&o.other, "other-proxy", "", otherProxyUsage)
	c.Flags().StringVar(&o.policy, "policy", baseline.Module, "what decides: module is the real proxy, others a plain one; see faultlab list")
	c.Flags().Float64Var(&o.rate, "rate", 0, "first tries a second")
	c.Flags().StringVar(&o.profile, "cpu-profile", "", "have each proxy write a CPU profile to this file, with its name behind")
	c.Flags().BoolVar(&o.verbose, "verbose", false, "tell what the laboratory does")
	return c
}

// otherProxyUsage describes the flag of the commands that can play two builds side by side.
const otherProxyUsage = "the program of another build: half of the processes run it, and each process is replaced by one of the other build"

// runOne plays one experiment on sockets and writes its report.
func runOne(ctx context.Context, out io.Writer, f *experiment.File, o runOptions) error {
	s, err := playLive(ctx, out, f, o, 1)
	if err != nil {
		return err
	}
	dir := o.out
	if dir == "" {
		dir = filepath.Join("faultlab-report", fmt.Sprintf("%s-%d", f.Name, o.seed))
	}
	page, err := report.Folder(dir, s)
	if err != nil {
		return err
	}
	if o.json != "" {
		if err := s.Write(o.json); err != nil {
			return err
		}
	}
	fmt.Fprint(out, s.Text())
	fmt.Fprintln(out, "report:", page)
	return held(s)
}

// held tells why a run did not hold.
func held(s *report.Summary) error {
	switch {
	case s.RulesBroken > 0 && s.Scored:
		return fmt.Errorf("%w: %d times a rule was broken: %s", errBroken, s.RulesBroken, first(s.Verdict))
	case s.OverWhole != nil && *s.OverWhole > 0:
		return fmt.Errorf("%w: %d attempts beyond the whole: %s", errBroken, *s.OverWhole, s.Spending.Evidence[0])
	case len(s.Problems) > 0:
		return fmt.Errorf("%w: %s", errBroken, s.Problems[0])
	case !s.Scored:
		return fmt.Errorf("not scored, the machine was too slow: %s", s.Late)
	case s.Partial:
		return errors.New("broken off; the report holds what was seen")
	}
	return nil
}

// playLive plays an experiment on sockets with one policy, at so many times its rate.
func playLive(ctx context.Context, out io.Writer, f *experiment.File, o runOptions, load float64) (*report.Summary, error) {
	spec := f.Spec(o.seed, load)
	if o.rate > 0 {
		spec.Load.Rate = o.rate
	}
	tmp, err := os.MkdirTemp("", "faultlab-bin-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(tmp)
	opts := liverun.Options{Binary: o.proxy, OtherBinary: o.other, HalfOpen: f.World.HalfOpen, Slow: f.World.Slow, Progress: shower(out), Services: o.services,
		MemoryMB: f.World.Memory, Sockets: f.World.Sockets, Clients: f.World.Clients, Crowd: f.World.Crowd, Admission: o.admission, Comeback: o.comeback, Sample: o.sample}
	if fl := f.FloodNamed(o.flood); fl != nil {
		opts.Flood = &liverun.Flood{Kind: fl.Kind, Connections: fl.Connections, Addresses: fl.Addresses, Shared: fl.Shared, At: time.Duration(fl.At),
			For: time.Duration(fl.For)}
	}
	if fl := f.Fleet; fl != nil {
		opts.Fabric, opts.Fleet = true, &liverun.FleetOptions{Stewards: fl.Stewards, Longest: time.Duration(fl.Longest), Tokens: fl.Tokens,
			Budgets: slices.Clone(fl.Budgets), Deaf: o.policy != baseline.Module}
		if fl.Drawn > 0 {
			opts.Script = liverun.Drawn(o.seed, time.Duration(fl.Drawn))
		}
	}
	if o.policy != baseline.Module {
		if o.other != "" {
			return nil, usageError{errors.New("--other-proxy needs the real proxy: --policy " + baseline.Module)}
		}
		if _, err := baseline.Named(o.policy); err != nil {
			return nil, err
		}
		if opts.Binary, err = os.Executable(); err != nil {
			return nil, err
		}
		opts.Args = []string{"plain-proxy", "--policy", o.policy}
		opts.Env = []string{"GOMAXPROCS=1"} // one core, as the proxy takes by its configuration
	} else if opts.Binary == "" {
		if opts.Binary, err = findProxy(ctx, tmp); err != nil {
			return nil, err
		}
	}
	if len(o.args) > 0 {
		opts.Args = o.args
	}
	if o.profile != "" {
		opts.Args = []string{"serve", "--cpu-profile", o.profile}
	}
	if o.verbose {
		opts.Log = slog.New(slog.NewTextHandler(out, nil))
	}
	fmt.Fprintf(out, "%s: %d proxies, %d nodes, %.0f first tries a second for %v, seed %d, %s\n", f.Name, spec.Proxies, spec.Nodes,
		spec.Load.Rate, spec.Duration, o.seed, o.policy)
	res, err := liverun.Play(ctx, &spec, opts)
	if err != nil {
		return nil, err
	}
	s := report.Summarise(f.Name, "run", o.policy, &spec, res.Verdict, res.Faults)
	s.Partial, s.Problems, s.Late, s.Scored = res.Partial, res.Problems, res.Late, res.Late == ""
	s.Spent(res.Spending, res.Drawn)
	for _, u := range res.Usage {
		s.Usage = append(s.Usage, report.Usage{CPU: u.CPU.Seconds(), RSSMB: float64(u.MaxRSS) / (1 << 20),
			FilesBefore: u.FilesBefore, FilesAfter: u.FilesAfter, GoroutinesBefore: u.GoroutinesBefore, GoroutinesAfter: u.GoroutinesAfter})
	}
	return s, nil
}

// findProxy gives the proxy's program: built from the tree we stand in, or the one beside this program.
func findProxy(ctx context.Context, tmp string) (string, error) {
	if _, err := os.Stat("cmd/lapisspread/main.go"); err == nil {
		path := filepath.Join(tmp, "lapisspread")
		text, err := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/lapisspread").CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("building the proxy: %w: %s", err, strings.TrimSpace(string(text)))
		}
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "lapisspread")
	if _, err := os.Stat(path); err != nil {
		return "", errors.New("there is no proxy to run: stand in the tree, put lapisspread beside this program, or name one with --proxy")
	}
	return path, nil
}

// shower tells how a run stands: one line that is written over on a terminal, a line every five seconds elsewhere.
func shower(out io.Writer) func(liverun.Glimpse) {
	terminal := false
	if file, ok := out.(*os.File); ok {
		if info, err := file.Stat(); err == nil {
			terminal = info.Mode()&os.ModeCharDevice != 0
		}
	}
	n := 0
	return func(g liverun.Glimpse) {
		n++
		line := fmt.Sprintf("%5s of %v  ok %4d  refused %3d  failed %3d  in hand %3d  nodes %d up%s  proxies %d  late %4.1f ms  rules broken %d",
			g.Now.Round(time.Second), g.Of, g.OK, g.Refused, g.Failed, g.Open, g.Up, troubles(g), g.Proxies,
			float64(g.Late)/float64(time.Millisecond), g.RulesBroken)
		switch {
		case terminal:
			fmt.Fprintf(out, "\r%s\x1b[K", line)
			if g.Now >= g.Of-time.Second {
				fmt.Fprintln(out)
			}
		case n%5 == 0:
			fmt.Fprintln(out, line)
		}
	}
}

func troubles(g liverun.Glimpse) string {
	var s strings.Builder
	for _, c := range []struct {
		n    int
		name string
	}{{g.Draining, "draining"}, {g.Down, "down"}, {g.Hanging, "hanging"}, {g.Cut, "cut off"}} {
		if c.n > 0 {
			fmt.Fprintf(&s, ", %d %s", c.n, c.name)
		}
	}
	return s.String()
}
