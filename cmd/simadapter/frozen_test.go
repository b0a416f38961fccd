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

// frozenSeeds are the seeds of the stored sessions. The files were written by the program at commit c8fad44 with
// go test ./cmd/simadapter -run TestFrozenSessions -write-frozen
var frozenSeeds = []uint64{1, 2}

// The adapter's replies to the stored batches must stay the same, byte for byte.
func TestFrozenSessions(t *testing.T) {
	for _, seed := range frozenSeeds {
		name := fmt.Sprintf("testdata/session-%d", seed)
		if *writeFrozen {
			in, out := recordSession(t, seed)
			for file, data := range map[string][]byte{name + ".in": in, name + ".out": out} {
				if err := os.WriteFile(file, data, 0o644); err != nil {
					t.Fatalf("writing a stored session: %v", err)
				}
			}
		}
		in, err := os.ReadFile(name + ".in")
		if err != nil {
			t.Fatalf("reading the stored batches: %v", err)
		}
		want, err := os.ReadFile(name + ".out")
		if err != nil {
			t.Fatalf("reading the stored replies: %v", err)
		}
		var got bytes.Buffer
		if err := serve(bytes.NewReader(in), &got); err != nil {
			t.Fatalf("serve of the batches in %s.in failed: %v", name, err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("serve of %s.in: replies of %d bytes differ from the %d stored bytes of %s.out",
				name, got.Len(), len(want), name)
		}
	}
}

// sessionDriver acts as a simulator with two instances of the decision module: it sends batches of events to serve and
// carries out the actions of the replies.
type sessionDriver struct {
	t         *testing.T
	rng       *rand.Rand
	now       float64 // simulated time, in ms
	seq       uint32
	in        bytes.Buffer   // all batches so far
	out       bytes.Buffer   // all replies so far
	toServe   *io.PipeWriter // the input of serve
	replies   *io.PipeReader // the output of serve
	pending   []pendingEvent
	body      bytes.Buffer   // records of the next batch
	records   uint32         // number of records in body
	scheduled int            // events scheduled so far
	lastID    uint32         // ID of the latest request
	attempts  map[string]int // attempts so far, by instance and request
	actions   map[byte]int   // actions so far, by record code
}

// pendingEvent is an event record that is sent once the simulated time has reached at.
type pendingEvent struct {
	at       float64 // ms
	order    int     // orders events with the same time
	instance uint16
	record   []byte
}

// schedule adds an event record that is sent after a delay in ms.
func (d *sessionDriver) schedule(delay float64, instance uint16, record []byte) {
	d.scheduled++
	d.pending = append(d.pending, pendingEvent{d.now + delay, d.scheduled, instance, record})
}

// addRecord adds an event record to the next batch, after an instance record.
func (d *sessionDriver) addRecord(instance uint16, record []byte) {
	d.body.Write(encode(11, instance))
	d.body.Write(record)
	d.records += 2
}

// encode concatenates fields as little-endian bytes. An int is encoded as one byte and a string as its bytes.
func encode(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		switch v := f.(type) {
		case int:
			b.WriteByte(byte(v))
		case string:
			b.WriteString(v)
		default:
			_ = binary.Write(&b, binary.LittleEndian, v) // writes to a bytes.Buffer do not fail
		}
	}
	return b.Bytes()
}

// sendBatch sends the added records as one batch, reads the reply and carries out its actions.
func (d *sessionDriver) sendBatch() {
	d.seq++
	frame := append(encode(d.seq, d.now, uint32(d.body.Len()), d.records), d.body.Bytes()...)
	d.body.Reset()
	d.records = 0
	d.in.Write(frame)
	if _, err := d.toServe.Write(frame); err != nil {
		d.t.Fatalf("writing batch %d to serve: %v", d.seq, err)
	}
	header := make([]byte, 12)
	if _, err := io.ReadFull(d.replies, header); err != nil {
		d.t.Fatalf("reading the header of the reply to batch %d: %v", d.seq, err)
	}
	body := make([]byte, binary.LittleEndian.Uint32(header[8:]))
	if _, err := io.ReadFull(d.replies, body); err != nil {
		d.t.Fatalf("reading the body of the reply to batch %d: %v", d.seq, err)
	}
	d.out.Write(header)
	d.out.Write(body)
	d.applyActions(body)
}

// applyActions carries out the actions in the body of a reply. Events that result from them are scheduled.
func (d *sessionDriver) applyActions(body []byte) {
	le, instance := binary.LittleEndian, uint16(0)
	float := func(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }
	for len(body) > 0 {
		code := body[0]
		body = body[1:]
		d.actions[code]++
		size := 0
		switch code {
		case 1: // transmit: id, backend, until
			d.scheduleOutcome(instance, le.Uint32(body), le.Uint32(body[4:]), float(body[8:]))
			size = 16
		case 2: // reject
			size = 12
		case 3, 6, 7: // end_failed, sample, release
			if code == 6 {
				d.scheduleHealthCheck(instance, le.Uint32(body))
			}
			size = 4
		case 4: // abort_attempt
			size = 5
		case 5: // notify_me: delay, token
			d.schedule(max(float(body), 0), instance, encode(7, le.Uint64(body[8:])))
			size = 16
		case 8: // signal: goes to the other instance, as the instances are 3 and 5
			n := le.Uint16(body[4:])
			d.schedule(2, 8-instance, encode(9, instance, n, string(body[6:6+n])))
			size = 6 + int(n)
		case 9, 10: // say_log, broken
			size = 2 + int(le.Uint16(body))
		case 11: // observe
			size = 1
		case 12: // resolve
			d.schedule(3+d.rng.Float64()*5, instance, d.endpointList(1+d.rng.IntN(4)%3))
		case 13: // on_behalf
			instance = le.Uint16(body)
			size = 2
		default:
			d.t.Fatalf("reply to batch %d has an action with the unknown code %d", d.seq, code)
		}
		body = body[size:]
	}
}

// scheduleOutcome schedules the events of one attempt: its result and sometimes, before it, its first byte. The attempt
// times out at until, in ms; 0 is no timeout.
func (d *sessionDriver) scheduleOutcome(instance uint16, id, backend uint32, until float64) {
	key := fmt.Sprint(instance, id)
	n := d.attempts[key]
	d.attempts[key]++
	latency, result := 4+d.rng.ExpFloat64()*12*float64(1+backend%3), 1
	switch r := d.rng.Float64(); {
	case d.now > 2000 && d.now < 3000 && backend == 101: // backend 101 fails for a second
		result = []int{0, 4, 5}[d.rng.IntN(3)]
	case r < 0.03:
		result = []int{0, 2, 4, 5, 6, 7}[d.rng.IntN(6)]
	case r < 0.06:
		latency += 400
	}
	if limit := until - d.now; until > 0 && latency > limit {
		latency, result = max(limit, 0), 3
	}
	final := 0
	if result == 1 {
		final = 1
		if d.rng.IntN(6) == 0 {
			d.schedule(latency/2, instance, encode(4, id, n, backend, latency/2))
		}
	}
	d.schedule(latency, instance, encode(5, id, n, backend, result, latency, final, 2, float32(0.5), float32(3)))
}

// scheduleHealthCheck schedules the result of a health check; the checks of backend 101 fail while the backend does.
func (d *sessionDriver) scheduleHealthCheck(instance uint16, backend uint32) {
	result := 1
	if d.now > 2000 && d.now < 3000 && backend == 101 {
		result = 3
	}
	latency := 1 + d.rng.Float64()*4
	d.schedule(latency, instance, encode(8, backend, result, latency, 1, float32(0.25)))
}

// endpointList returns a membership record. Mode 0 is a delta, 1 a full list, 2 a cached list and 3 a failed fetch.
func (d *sessionDriver) endpointList(mode int) []byte {
	rows := uint32(7)
	if mode == 3 {
		rows = 0
	}
	record := encode(2, mode, uint32(1+d.now/500), rows)
	for i := range rows {
		state := 1
		switch {
		case i == 2 && d.now > 3500:
			state = 2
		case i == 6 && d.now < 1500:
			state = 0
		}
		record = append(record, encode(100+i, uint16(i%2), uint16(i%3), uint16(i/2), state,
			float32(1+i%2), float64(i)*-90_000+float64(i/6)*541_500)...)
	}
	return record
}

// addRequest adds a request with random properties to the next batch. The client of every 25th request on average
// leaves within 60 ms.
func (d *sessionDriver) addRequest(instance uint16) {
	d.lastID++
	id := d.lastID
	flags, class := d.rng.IntN(4), d.rng.IntN(3)
	timeout := []float64{500, 900, 300}[class]
	work := 2 + d.rng.ExpFloat64()*8
	key := d.rng.Uint64()
	tenant := uint32(d.rng.IntN(2))
	d.addRecord(instance, encode(3, id, work, d.now+timeout, flags, class, key, tenant))
	if d.rng.IntN(25) == 0 {
		d.schedule(d.rng.Float64()*60, instance, encode(6, id))
	}
}

// sessionSettings are the settings of both instances. Its verbs are for the rank and the kind of discovery.
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

// recordSession runs one session of 3.5 s of simulated time and returns all its batches and all replies.
func recordSession(t *testing.T, seed uint64) (in, out []byte) {
	t.Helper()
	fromDriver, toServe := io.Pipe()
	replies, fromServe := io.Pipe()
	serveErr := make(chan error, 1)
	go func() {
		err := serve(fromDriver, fromServe)
		fromServe.CloseWithError(io.ErrUnexpectedEOF)
		serveErr <- err
	}()
	d := &sessionDriver{t: t, rng: rand.New(rand.NewPCG(seed, 7)), toServe: toServe, replies: replies,
		attempts: map[string]int{}, actions: map[byte]int{}, now: 1000}
	for _, instance := range []uint16{3, 5} {
		discovery := "pushed"
		if instance == 5 {
			discovery = "on_request"
		}
		text := fmt.Sprintf(sessionSettings, instance/5, discovery)
		d.addRecord(instance, encode(1, seed+uint64(instance), uint32(len(text)), text))
		d.addRecord(instance, d.endpointList(2))
	}
	d.sendBatch()
	d.runUntil(4500)
	for _, instance := range []uint16{3, 5} {
		d.addRecord(instance, encode(10))
	}
	d.sendBatch()
	_ = toServe.Close() // closing an io.PipeWriter does not fail
	if err := <-serveErr; err != nil {
		t.Fatalf("serve of the session with seed %d failed: %v", seed, err)
	}
	t.Logf("seed %d: %d batches, actions by code: %v", seed, d.seq, d.actions)
	return d.in.Bytes(), d.out.Bytes()
}

// runUntil advances the simulated time to end in steps of 5 ms and sends the events of each step. The request rate is
// higher between 2800 and 3100 ms.
func (d *sessionDriver) runUntil(end float64) {
	nextList := d.now + 400
	for d.now < end {
		d.now += 5
		sort.Slice(d.pending, func(i, j int) bool {
			a, b := d.pending[i], d.pending[j]
			return a.at < b.at || a.at == b.at && a.order < b.order
		})
		for len(d.pending) > 0 && d.pending[0].at <= d.now {
			d.addRecord(d.pending[0].instance, d.pending[0].record)
			d.pending = d.pending[1:]
		}
		if d.now >= nextList {
			nextList += 500
			d.addRecord(3, d.endpointList([]int{0, 1, 2, 3}[d.rng.IntN(4)]))
		}
		rate := 0.25
		if d.now > 2800 && d.now < 3100 {
			rate = 3
		}
		for range int(rate + d.rng.Float64()) {
			d.addRequest(uint16(3 + 2*d.rng.IntN(2)))
		}
		if d.records > 0 {
			d.sendBatch()
		}
	}
}
