package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/report"
	"lapisspread/internal/faultlab/simulation"
)

// scalePoint is one size of world.
type scalePoint struct {
	Proxies  int     `json:"proxies"`
	Nodes    int     `json:"nodes"`
	Rate     float64 `json:"rate"`
	G        float64 `json:"g"`
	Broken   int     `json:"rules_broken"`
	Probes   float64 `json:"probes_a_node_s"`
	ProbeCPU float64 `json:"probe_share_of_a_node"` // of its capacity
	PerReq   float64 `json:"probes_a_request"`
	Handling float64 `json:"us_a_request"` // of real time, all of the simulator
	MB       float64 `json:"heap_mb"`
}

func scaleCommand() *cobra.Command {
	var proxies, nodes, out, jsonPath string
	var load float64
	var duration time.Duration
	c := &cobra.Command{
		Use:   "scale",
		Short: "Play worlds of many sizes in virtual time, and tell how cost and probes grow",
		Args:  usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ps, err := numbers("--proxies", proxies)
			if err != nil {
				return err
			}
			ns, err := numbers("--nodes", nodes)
			if err != nil {
				return err
			}
			var points []scalePoint
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%8s %6s %9s %7s %6s %14s %13s %13s %13s %8s\n", "proxies", "nodes", "rate", "G", "broken", "probes/node/s", "probe share", "probes/req", "us/request", "heap MB")
			for _, p := range ps {
				for _, n := range ns {
					if p < 2 || n < 2 {
						return usageError{fmt.Errorf("a world has 2 proxies and 2 nodes or more, not %d and %d", p, n)}
					}
					pt, err := scaleOne(cmd.Context(), p, n, load, duration)
					if err != nil {
						return fmt.Errorf("%d proxies, %d nodes: %w", p, n, err)
					}
					points = append(points, pt)
					fmt.Fprintf(w, "%8d %6d %9.0f %7.3f %6d %14.2f %12.3f%% %13.3f %13.1f %8.0f\n", p, n, pt.Rate, pt.G, pt.Broken, pt.Probes, 100*pt.ProbeCPU,
						pt.PerReq, pt.Handling, pt.MB)
				}
			}
			if jsonPath != "" {
				text, err := json.MarshalIndent(points, "", " ")
				if err != nil {
					return err
				}
				if err := os.WriteFile(jsonPath, append(text, '\n'), 0o644); err != nil {
					return fmt.Errorf("the result: %w", err)
				}
			}
			if out == "" {
				return nil
			}
			var curves []report.Curve
			for _, p := range ps {
				cv := report.Curve{Name: fmt.Sprintf("%d proxies", p)}
				for _, pt := range points {
					if pt.Proxies == p && pt.ProbeCPU > 0 {
						cv.X, cv.Y = append(cv.X, float64(pt.Nodes)), append(cv.Y, 100*pt.ProbeCPU)
					}
				}
				curves = append(curves, cv)
			}
			picture, err := report.LogPlot(fmt.Sprintf("What probes take of a node at %.0f %% load", 100*load), "nodes", "% of its capacity", curves)
			if err != nil {
				return err
			}
			if err := os.WriteFile(out, []byte(`<?xml version="1.0"?>`+"\n"+picture), 0o644); err != nil {
				return fmt.Errorf("the picture: %w", err)
			}
			return nil
		},
	}
	c.Flags().StringVar(&proxies, "proxies", "2,8,48", "how many, separated by commas")
	c.Flags().StringVar(&nodes, "nodes", "10,30,100,300,1000", "how many, separated by commas")
	c.Flags().Float64Var(&load, "load", 0.4, "share of the mean fleet's capacity")
	c.Flags().DurationVar(&duration, "duration", 5*time.Second, "virtual time of each")
	c.Flags().StringVar(&out, "svg", "", "draw probes over nodes into this file")
	c.Flags().StringVar(&jsonPath, "json", "", "write the points to this file")
	return c
}

func numbers(flag, list string) ([]int, error) {
	var out []int
	for _, w := range strings.Split(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(w))
		if err != nil {
			return nil, usageError{fmt.Errorf("%s: %q is no number", flag, w)}
		}
		out = append(out, n)
	}
	return out, nil
}

func scaleOne(ctx context.Context, proxies, nodes int, load float64, duration time.Duration) (scalePoint, error) {
	spec := model.Default()
	spec.Proxies, spec.Nodes, spec.Duration = proxies, nodes, duration
	spec.Load.Rate = load * spec.Capacity()
	factory, err := baseline.Named(baseline.Module)
	if err != nil {
		return scalePoint{}, err
	}
	r, err := simulation.New(&spec, factory)
	if err != nil {
		return scalePoint{}, err
	}
	runtime.GC()
	start := time.Now()
	res, err := r.Run(ctx)
	if err != nil {
		return scalePoint{}, err
	}
	took := time.Since(start)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return point(&spec, res.Verdict, took, float64(mem.HeapAlloc)/(1<<20)), nil
}

func point(s *model.Spec, v checker.Verdict, took time.Duration, mb float64) scalePoint {
	secs := s.Duration.Seconds()
	perNode := float64(v.Probes) / float64(s.Nodes) / secs
	speed := 0.0
	for _, m := range s.Models {
		speed += m.Share * float64(m.Cores) * (m.Speed.Lo + m.Speed.Hi) / 2
	}
	return scalePoint{Proxies: s.Proxies, Nodes: s.Nodes, Rate: s.Load.Rate, G: v.Worth.G, Broken: v.RulesBroken, Probes: perNode,
		ProbeCPU: perNode * (s.Probe.Lo + s.Probe.Hi) / 2 / 1000 / speed, PerReq: float64(v.Probes) / float64(max(1, v.FirstTries)),
		Handling: float64(took.Microseconds()) / float64(max(1, v.Taken)), MB: mb}
}
