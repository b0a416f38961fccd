package claim

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/idempotency"
	"lapisspread/internal/strictconfig"
)

// Version is the form of the file that this program reads.
const Version = 1

// File is deploy/diameter.toml.
type File struct {
	Version      int                   `toml:"version"` // 1
	Host         string                `toml:"host"`    // our Origin-Host
	Realm        string                `toml:"realm"`   // our Origin-Realm
	Realms       []string              `toml:"realms"`  // Destination-Realms that are served; ours if left out
	Listen       string                `toml:"listen"`  // for peers
	Applications []uint32              `toml:"applications"`
	Dictionary   string                `toml:"dictionary"` // a file of the site's AVPs and commands, beside this one
	Watchdog     strictconfig.Duration `toml:"watchdog"`
	Handshake    strictconfig.Duration `toml:"handshake"`
	Goodbye      strictconfig.Duration `toml:"goodbye"`
	Limits       Limits                `toml:"limits"`
	TLS          *TLS                  `toml:"tls"`
	Peers        []Peer                `toml:"peer"`
	Commands     []Command             `toml:"command"`
	Ledger       Ledger                `toml:"ledger"`
}

// Limits bound what peers may hold.
type Limits struct {
	Peers      int   `toml:"peers"`      // connections
	Handshakes int   `toml:"handshakes"` // connections that have not said who they are
	InHand     int   `toml:"in_hand"`    // requests of one peer
	Bytes      int64 `toml:"bytes"`      // of all requests in hand
	Queue      int   `toml:"queue"`      // bytes that wait to be written to one peer
}

// TLS is for connections of peers and to servers: both sides show a certificate.
type TLS struct {
	Certificate string `toml:"certificate"` // files in PEM, beside this one
	Key         string `toml:"key"`
	CA          string `toml:"ca"` // who signs those of the peers
}

// Peer is who may connect: a host, or any host of a realm.
type Peer struct {
	Host        string `toml:"host"`
	Realm       string `toml:"realm"`
	Certificate string `toml:"certificate"` // the name that its certificate must have
	Tenant      string `toml:"tenant"`
	Agent       bool   `toml:"agent"` // it may hand on what others have sent
}

// Command is a kind of request that is taken.
type Command struct {
	Name            string                `toml:"command"` // by its name in the dictionary
	RequestType     *uint32               `toml:"request_type"`
	RequestedAction *uint32               `toml:"requested_action"`
	Class           string                `toml:"class"`
	GiveUp          strictconfig.Duration `toml:"give_up"`
	Deadline        string                `toml:"deadline"` // an Unsigned32 AVP by name: ms that the client waits, if that is less
	Path            string                `toml:"path"`     // of the HTTP request

	deadline *diameter.Definition
}

// Ledger is what is remembered so that nothing runs twice.
type Ledger struct {
	Window    strictconfig.Duration `toml:"window"`
	Uncertain strictconfig.Duration `toml:"uncertain"` // for which claims are remembered of which nobody knows how they ended
	Entries   int                   `toml:"entries"`
	Bytes     int                   `toml:"bytes"` // of the answers that are kept
	File      string                `toml:"file"`  // in the state directory; without it, or without that, it is memory alone
}

// mostFile is the longest file that is read, in bytes.
const mostFile = 1 << 20

// Load reads a file with the dictionary that it names. Errors name the file, the line where there is one, and the key.
func Load(path string) (*File, *Rules, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the Diameter settings: %w", err)
	}
	if info.Size() > mostFile {
		return nil, nil, fmt.Errorf("%s: %d bytes; %d are the most", path, info.Size(), mostFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the Diameter settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file.
func Parse(path string, text []byte) (*File, *Rules, error) {
	f := &File{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, nil, err
	}
	if f.Version != Version {
		return nil, nil, fmt.Errorf("%s: version: %d; this program reads %d", path, f.Version, Version)
	}
	f.fill()
	d := diameter.Base()
	if f.Dictionary != "" {
		var err error
		if d, err = d.With(Beside(path, f.Dictionary)); err != nil {
			return nil, nil, err
		}
	}
	r, err := NewRules(f, d)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, r, nil
}

// Beside is a file that another names: relative names are beside it.
func Beside(path, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

func (f *File) fill() {
	if len(f.Realms) == 0 {
		f.Realms = []string{f.Realm}
	}
	for i := range f.Commands {
		if f.Commands[i].Path == "" {
			f.Commands[i].Path = "/"
		}
	}
	if len(f.Applications) == 0 {
		f.Applications = []uint32{4}
	}
	if f.Ledger.Window == 0 {
		f.Ledger.Window = strictconfig.Duration(idempotency.MinWindow)
	}
	if f.Ledger.Uncertain == 0 {
		f.Ledger.Uncertain = max(strictconfig.Duration(time.Hour), f.Ledger.Window)
	}
	if f.Ledger.Entries == 0 {
		f.Ledger.Entries = 20_000
	}
	if f.Ledger.Bytes == 0 {
		f.Ledger.Bytes = 4 << 20
	}
	for _, d := range []struct {
		at *strictconfig.Duration
		to time.Duration
	}{{&f.Watchdog, 30 * time.Second}, {&f.Handshake, 3 * time.Second}, {&f.Goodbye, time.Second}} {
		if *d.at == 0 {
			*d.at = strictconfig.Duration(d.to)
		}
	}
	for _, d := range []struct{ at, to *int }{{&f.Limits.Peers, ptr(64)}, {&f.Limits.Handshakes, ptr(16)}, {&f.Limits.InHand, ptr(256)}, {&f.Limits.Queue, ptr(256 << 10)}} {
		if *d.at == 0 {
			*d.at = *d.to
		}
	}
	if f.Limits.Bytes == 0 {
		f.Limits.Bytes = 2 << 20
	}
}

func ptr[T any](v T) *T { return &v }

// longestGiveUp is for how long a client may wait.
const longestGiveUp = time.Minute

// NewRules makes the rules of a file. An error names all keys that make no sense.
func NewRules(f *File, d *diameter.Dictionary) (*Rules, error) {
	r := &Rules{file: f, dict: d, commands: map[[2]uint32][]*Command{}, peers: map[string]*Peer{}, realms: map[string]*Peer{}, serves: map[string]bool{}}
	for name, at := range map[string]**diameter.Definition{"Session-Id": &r.avp.session, "Origin-Host": &r.avp.originHost, "Origin-Realm": &r.avp.originRealm,
		"Destination-Realm": &r.avp.destRealm, "Destination-Host": &r.avp.destHost, "Route-Record": &r.avp.routeRecord, "CC-Request-Type": &r.avp.requestType,
		"Requested-Action": &r.avp.requestedAction} {
		*at = d.Named(name)
	}
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(!diameter.ValidIdentity(f.Host), "host: %q is no name of a host", f.Host)
	bad(!diameter.ValidIdentity(f.Realm), "realm: %q is no name of a realm", f.Realm)
	if f.Listen != "" {
		_, _, err := net.SplitHostPort(f.Listen)
		bad(err != nil, "listen: %v", err)
	}
	for i, realm := range f.Realms {
		bad(!diameter.ValidIdentity(realm), "realms[%d]: %q is no name of a realm", i, realm)
		r.serves[realm] = true
	}
	bad(time.Duration(f.Watchdog) < 6*time.Second, "watchdog: %v is under 6s, the least that RFC 3539 allows", time.Duration(f.Watchdog))
	bad(f.Handshake < 0 || f.Goodbye < 0, "handshake and goodbye must be above 0s")
	l := &f.Limits
	bad(l.Peers < 1 || l.Handshakes < 1 || l.InHand < 1 || l.Bytes < 1 || l.Queue < 1, "limits: all must be above 0")
	if t := f.TLS; t != nil {
		bad(t.Certificate == "" || t.Key == "" || t.CA == "", "tls: certificate, key and ca must be given")
	}
	s := f.LedgerSettings(0)
	if err := s.Validate(); err != nil {
		errs = append(errs, fmt.Errorf("ledger: %w", err))
	}
	for i := range f.Peers {
		p := &f.Peers[i]
		bad(p.Host == "" && p.Realm == "", "peer[%d]: host or realm must be given", i)
		bad(p.Certificate != "" && f.TLS == nil, "peer[%d]: certificate: there is no [tls]", i)
		switch {
		case p.Host != "":
			bad(r.peers[p.Host] != nil, "peer[%d]: host %q is there already", i, p.Host)
			r.peers[p.Host] = p
		case p.Realm != "":
			bad(r.realms[p.Realm] != nil, "peer[%d]: realm %q is there already", i, p.Realm)
			r.realms[p.Realm] = p
		}
	}
	for i := range f.Commands {
		c := &f.Commands[i]
		def := d.CommandNamed(c.Name)
		bad(def == nil, "command[%d]: command: the dictionary has none by the name of %q", i, c.Name)
		bad(c.Class == "", "command[%d]: class: missing", i)
		bad(c.GiveUp <= 0 || time.Duration(c.GiveUp) > longestGiveUp, "command[%d]: give_up: %v is not within 0s and %v", i, time.Duration(c.GiveUp), longestGiveUp)
		bad(c.Path[0] != '/', "command[%d]: path: %q does not begin with /", i, c.Path)
		if c.Deadline != "" {
			c.deadline = d.Lookup(c.Deadline)
			bad(c.deadline == nil || c.deadline.Format != diameter.Unsigned32, "command[%d]: deadline: %q is no Unsigned32 of the dictionary", i, c.Deadline)
		}
		if def != nil {
			key := [2]uint32{def.App, def.Code}
			r.commands[key] = append(r.commands[key], c)
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return r, nil
}

// LedgerSettings are those of the ledger; lost is when it began without what was known before, below 0 if nothing was lost.
func (f *File) LedgerSettings(lost time.Duration) idempotency.Settings {
	return idempotency.Settings{Window: time.Duration(f.Ledger.Window), UncertainWindow: time.Duration(f.Ledger.Uncertain), MaxEntries: f.Ledger.Entries, MaxBytes: f.Ledger.Bytes, LostAt: lost}
}

// Dictionary is what the rules were made with.
func (r *Rules) Dictionary() *diameter.Dictionary { return r.dict }

// Classes are the names of the classes that the rules send requests to.
func (r *Rules) Classes() []string {
	var out []string
	for i := range r.file.Commands {
		out = append(out, r.file.Commands[i].Class)
	}
	return out
}
