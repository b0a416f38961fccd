package experiment

import (
	"math"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/services"
)

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, k := range []struct{ text, want string }{
		{"name='a'\nspeed=3\n", `x.toml:2: unknown key "speed"`},
		{"name='a'\n[world]\nnodes=9\nnode=3\n", `x.toml:4: unknown key "world.node"`},
		{"name='a'\nduration='fast'\n", `x.toml:2: `},
		{"name='a'\n[world]\nrate='many'\n", `x.toml:3: `},
		{"name='a'\nduration=\n", `x.toml:2: `},
		{"", `x.toml: name: missing`},
		{"name='A b'\n", `x.toml: name: "A b"`},
		{"name='a'\n[world]\nrate=10\nload=0.5\n", `x.toml: world: rate and load`},
		{"name='a'\n[[fault]]\nkind='flood'\nfor='1s'\n", `x.toml: faults[0]: kind: there is no "flood"`},
		{"name='a'\n[[variant]]\nname='v'\n[[variant]]\nname='v'\n", `x.toml: variant[1]: name: "v" is there twice`},
		{"name='a'\n[world]\nhalf_open=100000\n", `x.toml: world: half_open`},
	} {
		_, err := Parse("x.toml", []byte(k.text))
		if err == nil || !strings.HasPrefix(err.Error(), k.want) {
			t.Errorf("%q: got %v, want %q", k.text, err, k.want)
		}
	}
}

func TestManyServicesAreAGoodFile(t *testing.T) {
	f, err := Parse("x", []byte("name='a'\n[[variant]]\nname='v'\nmany=200\n"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := services.Parse("services.toml", []byte(f.Variants[0].Services[0]))
	if err != nil || len(c.File.Services) != 200 || c.Table.RuleCount() != 1 {
		t.Errorf("%v: %+v", err, c)
	}
	if _, err := Parse("x", []byte("name='a'\n[[variant]]\nname='v'\nmany=9999\n")); err == nil {
		t.Error("9999 services were taken")
	}
}

func TestStretchMovesAllTimes(t *testing.T) {
	f, err := Parse("x", []byte("name='a'\nduration='20s'\n[[curve]]\nat='10s'\nfactor=2\n[[fault]]\nkind='hang'\nat='5s'\nfor='10s'\n"))
	if err != nil {
		t.Fatal(err)
	}
	f.Stretch(10 * time.Second)
	s := f.Spec(1, 2)
	if s.Duration != 10*time.Second || s.Load.Curve[0].At != 5*time.Second || s.Faults[0].At != 2500*time.Millisecond || s.Load.Rate != 320 {
		t.Errorf("%v %v %+v %v", s.Duration, s.Load.Curve, s.Faults, s.Load.Rate)
	}
}

func TestPaired(t *testing.T) {
	// By the tables t(0.975, 3) is 3.1824; the differences 1, 2, 3, 4 have the mean 2.5 and the deviation 1.2910.
	d, err := Paired([]float64{0, 0, 0, 0}, []float64{1, 2, 3, 4})
	if err != nil || math.Abs(d.Mean-2.5) > 1e-9 || math.Abs(d.High-2.5-2.0543) > 1e-3 || !strings.Contains(d.Text(), "better") {
		t.Errorf("%v %+v", err, d)
	}
	if d, _ := Paired([]float64{1}, []float64{2}); !math.IsInf(d.High, 1) || !strings.Contains(d.Text(), "one seed") {
		t.Errorf("one seed: %+v", d)
	}
	if _, err := Paired([]float64{1}, nil); err == nil {
		t.Error("unequal runs were compared")
	}
}
