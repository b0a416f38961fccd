package main

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"testing"
)

var writeFrozen = flag.Bool("write-frozen", false, "write testdata/session-* instead of comparing with them")

// frozenSeeds are the seeds of the kept sessions. The files were written by the program of c8fad44 with
// go test ./cmd/simadapter -run TestFrozenSessions -write-frozen
var frozenSeeds = []uint64{1, 2}

// The adapter's replies to kept batches stay as they are, byte for byte.
func TestFrozenSessions(t *testing.T) {
	for _, seed := range frozenSeeds {
		name := fmt.Sprintf("testdata/session-%d", seed)
		if *writeFrozen {
			in, out := recordSession(t, seed)
			for file, data := range map[string][]byte{name + ".in": in, name + ".out": out} {
				if err := os.WriteFile(file, data, 0o644); err != nil {
					t.Fatal(err)
				}
			}
		}
		in, err := os.ReadFile(name + ".in")
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(name + ".out")
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := serve(bytes.NewReader(in), &got); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s: the replies differ from the kept ones (%d and %d bytes)", name, got.Len(), len(want))
		}
	}
}

// sessionDriver plays a simulator with two instances of the decision module: it feeds events and obeys the actions.
type sessionDriver struct {
	t       *testing.T
	rng     *rand.Rand
	now     float64 // ms
	seq     uint32
	in      bytes.Buffer // every batch so far
	out     bytes.Buffer // every reply so far
	toServe *io.PipeWriter
	replies *io.PipeReader
	due     []dueEvent
	body    bytes.Buffer
	records uint32
	events  int
	nextID  uint32
	open    map[string]int // attempts per instance and request, -1 once ended
	counts  map[byte]int
}

type dueEvent struct {
	at       float64
	order    int
	instance uint16
	record   []byte
}

func (d *sessionDriver) later(after float64, instance uint16, record []byte) {
	d.events++
	d.due = append(d.due, dueEvent{d.now + after, d.events, instance, record})
}

func (d *sessionDriver) add(instance uint16, record []byte) {
	d.body.Write(bytesOf(11, instance))
	d.body.Write(record)
	d.records += 2
}

// bytesOf joins little-endian fields; an int is one byte.
func bytesOf(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		switch v := f.(type) {
		case int:
			b.WriteByte(byte(v))
		case string:
			b.WriteString(v)
		default:
			_ = binary.Write(&b, binary.LittleEndian, v) // a Buffer does not fail
		}
	}
	return b.Bytes()
}

// send sends what was added as one batch and schedules what follows from the reply.
func (d *sessionDriver) send() {
	d.seq++
	frame := append(bytesOf(d.seq, d.now, uint32(d.body.Len()), d.records), d.body.Bytes()...)
	d.body.Reset()
	d.records = 0
	d.in.Write(frame)
	if _, err := d.toServe.Write(frame); err != nil {
		d.t.Fatal(err)
	}
	header := make([]byte, 12)
	if _, err := io.ReadFull(d.replies, header); err != nil {
		d.t.Fatal(err)
	}
	body := make([]byte, binary.LittleEndian.Uint32(header[8:]))
	if _, err := io.ReadFull(d.replies, body); err != nil {
		d.t.Fatal(err)
	}
	d.out.Write(header)
	d.out.Write(body)
	d.obey(body)
}

// obey walks a reply's actions.
func (d *sessionDriver) obey(body []byte) {
	le, instance := binary.LittleEndian, uint16(0)
	float := func(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }
	for len(body) > 0 {
		code := body[0]
		body = body[1:]
		d.counts[code]++
		size := 0
		switch code {
		case 1: // transmit: id, backend, until
			d.attempt(instance, le.Uint32(body), le.Uint32(body[4:]), float(body[8:]))
			size = 16
		case 2: // reject
			size = 12
		case 3, 6, 7: // end_failed, sample, release
			if code == 6 {
				d.probe(instance, le.Uint32(body))
			}
			size = 4
		case 4: // abort_attempt
			size = 5
		case 5: // notify_me: delay, token
			d.later(max(float(body), 0), instance, bytesOf(7, le.Uint64(body[8:])))
			size = 16
		case 8: // signal
			n := le.Uint16(body[4:])
			d.later(2, 8-instance, bytesOf(9, instance, n, string(body[6:6+n])))
			size = 6 + int(n)
		case 9, 10: // say_log, broken
			size = 2 + int(le.Uint16(body))
		case 11: // observe
			size = 1
		case 12: // resolve
			d.later(3+d.rng.Float64()*5, instance, d.list(1+d.rng.IntN(4)%3))
		case 13:
			instance = le.Uint16(body)
			size = 2
		default:
			d.t.Fatalf("unknown action %d", code)
		}
		body = body[size:]
	}
}

func (d *sessionDriver) attempt(instance uint16, id, backend uint32, until float64) {
	key := fmt.Sprint(instance, id)
	n := d.open[key]
	d.open[key]++
	took, result := 4+d.rng.ExpFloat64()*12*float64(1+backend%3), 1
	switch r := d.rng.Float64(); {
	case d.now > 2000 && d.now < 3000 && backend == 101: // a fault of one backend
		result = []int{0, 4, 5}[d.rng.IntN(3)]
	case r < 0.03:
		result = []int{0, 2, 4, 5, 6, 7}[d.rng.IntN(6)]
	case r < 0.06:
		took += 400
	}
	if limit := until - d.now; until > 0 && took > limit {
		took, result = max(limit, 0), 3
	}
	final := 0
	if result == 1 {
		final = 1
		if d.rng.IntN(6) == 0 {
			d.later(took/2, instance, bytesOf(4, id, n, backend, took/2))
		}
	}
	d.later(took, instance, bytesOf(5, id, n, backend, result, took, final, 2, float32(0.5), float32(3)))
}

func (d *sessionDriver) probe(instance uint16, backend uint32) {
	result := 1
	if d.now > 2000 && d.now < 3000 && backend == 101 {
		result = 3
	}
	took := 1 + d.rng.Float64()*4
	d.later(took, instance, bytesOf(8, backend, result, took, 1, float32(0.25)))
}

// list is a membership record: mode 0 delta, 1 full, 2 cached, 3 failed.
func (d *sessionDriver) list(mode int) []byte {
	rows := uint32(7)
	if mode == 3 {
		rows = 0
	}
	record := bytesOf(2, mode, uint32(1+d.now/500), rows)
	for i := range rows {
		state := 1
		switch {
		case i == 2 && d.now > 3500:
			state = 2
		case i == 6 && d.now < 1500:
			state = 0
		}
		record = append(record, bytesOf(100+i, uint16(i%2), uint16(i%3), uint16(i/2), state,
			float32(1+i%2), float64(i)*-90_000+float64(i/6)*541_500)...)
	}
	return record
}

func (d *sessionDriver) ask(instance uint16) {
	d.nextID++
	id := d.nextID
	bits, class := d.rng.IntN(4), d.rng.IntN(3)
	timeout := []float64{500, 900, 300}[class]
	work := 2 + d.rng.ExpFloat64()*8
	key := d.rng.Uint64()
	tenant := uint32(d.rng.IntN(2))
	d.add(instance, bytesOf(3, id, work, d.now+timeout, bits, class, key, tenant))
	if d.rng.IntN(25) == 0 {
		d.later(d.rng.Float64()*60, instance, bytesOf(6, id))
	}
}

const sessionSettings = "Balancers=2\nZone=0\nTick=5\nRank=%d\nWeights=live\nWorthBy=work\nOverShareWorth=0.5\n" +
	"Extra.WarmKeys=true\n" +
	"Clients.MarksRetry=true\nDiscovery=%s\nGoal.Whole=1\nGoal.WorstClass=0.5\nGoal.WorstTenant=0.25\n" +
	"Goal.WorstWindow=0.25\n" +
	"Prices.Connection=0.1\nPrices.CrossZone=0.2\nPrices.Discovery=0.05\nPrices.Handshake=0.1\nPrices.LateFail=0.5\n" +
	"Prices.Peer=0.01\nPrices.Probe=0.02\nPrices.Waste=0.3\n" +
	"Obligations.AnswerSlack=20\nObligations.AskEvery=1000\nObligations.Cold=2000\nObligations.DrainGrace=1000\n" +
	"Obligations.Fall=500\nObligations.FallMultiple=2\nObligations.StartCapacity=0.3\n" +
	"Caps.Cancel=true\nCaps.Peers=true\nCaps.Probes=true\nCaps.RetryAfter=true\nCaps.SecondCopies=true\n" +
	"Caps.ConnIdle=10000\n" +
	"Caps.ConnectTimeout=100\nCaps.MaxRetryAfter=1000\nCaps.MaxAttempts=4\nCaps.StreamsPerConn=4\n" +
	"Services.count=3\nServices.0.Name=safe\nServices.0.Aim=50\nServices.0.AimStretch=2\nServices.0.GiveUp=500\n" +
	"Services.0.Effect=retryable\nServices.0.Value=2\nServices.0.LateShare=0.05\n" +
	"Services.1.Name=keyed\nServices.1.Aim=100\nServices.1.GiveUp=900\nServices.1.Effect=dedup\n" +
	"Services.1.Group=zone\n" +
	"Services.1.Window=700\nServices.2.Name=once\nServices.2.Aim=40\nServices.2.GiveUp=300\n" +
	"Services.2.Effect=fragile\n" +
	"Services.2.Value=3\nServices.2.Stream=true\nTenants.count=2\nTenants.0.Name=t0\nTenants.0.Share=0.7\n" +
	"Tenants.0.QuotaPerS=60\nTenants.1.Name=t1\nTenants.1.Share=0.3\n"

// recordSession plays one session of some seconds and gives all batches and all replies.
func recordSession(t *testing.T, seed uint64) (in, out []byte) {
	t.Helper()
	fromDriver, toServe := io.Pipe()
	replies, fromServe := io.Pipe()
	failed := make(chan error, 1)
	go func() {
		err := serve(fromDriver, fromServe)
		fromServe.CloseWithError(io.ErrUnexpectedEOF)
		failed <- err
	}()
	d := &sessionDriver{t: t, rng: rand.New(rand.NewPCG(seed, 7)), toServe: toServe, replies: replies,
		open: map[string]int{}, counts: map[byte]int{}, now: 1000}
	for _, instance := range []uint16{3, 5} {
		discovery := "pushed"
		if instance == 5 {
			discovery = "on_request"
		}
		text := fmt.Sprintf(sessionSettings, instance/5, discovery)
		d.add(instance, bytesOf(1, seed+uint64(instance), uint32(len(text)), text))
		d.add(instance, d.list(2))
	}
	d.send()
	d.playUntil(4500)
	for _, instance := range []uint16{3, 5} {
		d.add(instance, bytesOf(10))
	}
	d.send()
	_ = toServe.Close() // a pipe's writer does not fail to close
	if err := <-failed; err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d batches, actions by code: %v", seed, d.seq, d.counts)
	return d.in.Bytes(), d.out.Bytes()
}

// playUntil lets time pass in steps, with a burst of requests in the middle.
func (d *sessionDriver) playUntil(end float64) {
	nextList := d.now + 400
	for d.now < end {
		d.now += 5
		sort.Slice(d.due, func(i, j int) bool {
			a, b := d.due[i], d.due[j]
			return a.at < b.at || a.at == b.at && a.order < b.order
		})
		for len(d.due) > 0 && d.due[0].at <= d.now {
			d.add(d.due[0].instance, d.due[0].record)
			d.due = d.due[1:]
		}
		if d.now >= nextList {
			nextList += 500
			d.add(3, d.list([]int{0, 1, 2, 3}[d.rng.IntN(4)]))
		}
		rate := 0.25
		if d.now > 2800 && d.now < 3100 {
			rate = 3
		}
		for range int(rate + d.rng.Float64()) {
			d.ask(uint16(3 + 2*d.rng.IntN(2)))
		}
		if d.records > 0 {
			d.send()
		}
	}
}
