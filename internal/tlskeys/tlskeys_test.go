package tlskeys

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/tlskeys/tlstest"
)

// handshake connects a client to a server, and passes a byte each way.
func handshake(server, client *tls.Config) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		accepted, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		s := tls.Server(accepted, server)
		defer func() { _ = s.Close() }()
		_, err = io.CopyN(s, s, 1)
		done <- err
	}()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err
	}
	c := tls.Client(dialed, client)
	err = c.SetDeadline(time.Now().Add(10 * time.Second))
	if err == nil {
		_, err = c.Write([]byte{7})
	}
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	_ = dialed.Close() // ends the server's side too
	return errors.Join(err, <-done)
}

func files(c tlstest.Files) Files { return Files{c.Certificate, c.Key, c.CA} }

// Both sides must present a certificate of a known authority that is valid now and for the right name. Files that are
// replaced apply to the next connection.
func TestMutualTLS(t *testing.T) {
	ca, other := tlstest.NewCA(t), tlstest.NewCA(t)
	server, err := Load(files(ca.Issue(t, "server.example", time.Hour)))
	if err != nil {
		t.Fatal(err)
	}
	mine := ca.Issue(t, "client.example", time.Hour)
	client, err := Load(files(mine))
	if err != nil {
		t.Fatal(err)
	}
	if err := handshake(server.ServerConfig(), client.ClientConfig("server.example")); err != nil {
		t.Error(err)
	}
	err = handshake(server.ServerConfig(), client.ClientConfig("other.example"))
	if err == nil || !strings.Contains(err.Error(), "other.example") {
		t.Errorf("another name: %v", err)
	}
	stranger, err := Load(files(other.Issue(t, "client.example", time.Hour)))
	if err != nil {
		t.Fatal(err)
	}
	if err := handshake(server.ServerConfig(), client.ClientConfig("")); err != nil {
		t.Errorf("any name: %v", err)
	}
	err = handshake(stranger.ServerConfig(), client.ClientConfig(""))
	if err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("any name of an unknown authority: %v", err)
	}
	trusting := stranger.ClientConfig("server.example")
	trusting.RootCAs = client.ClientConfig("").RootCAs
	err = handshake(server.ServerConfig(), trusting)
	if err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("an unknown authority: %v", err)
	}
	anonymous := &tls.Config{RootCAs: trusting.RootCAs, ServerName: "server.example"}
	if err := handshake(server.ServerConfig(), anonymous); err == nil {
		t.Error("a client without a certificate is accepted")
	}
	config := server.ServerConfig()
	server.now = func() time.Time { return time.Now().Add(2 * time.Hour) }
	err = handshake(config, client.ClientConfig("server.example"))
	if err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("an expired certificate: %v", err)
	}
	// A new certificate in the same file, and then an invalid one.
	if err := ca.Replace(t, mine, "client.example", 48*time.Hour); err != nil {
		t.Fatal(err)
	}
	before := client.Remaining()
	if err := client.Reload(); err != nil || client.Remaining() < before+time.Hour {
		t.Errorf("%v, %v left", err, client.Remaining())
	}
	if err := os.WriteFile(mine.Certificate, []byte("nothing"), 0o600); err != nil {
		t.Fatal(err)
	}
	err = client.Reload()
	if err == nil || !strings.Contains(err.Error(), mine.Certificate) || client.Remaining() < before {
		t.Errorf("an invalid file: %v, %v left", err, client.Remaining())
	}
}

func TestLoadNamesWhatIsInvalid(t *testing.T) {
	ca := tlstest.NewCA(t)
	good := files(ca.Issue(t, "a.example", time.Hour))
	old := files(ca.Issue(t, "a.example", -time.Minute))
	for name, k := range map[string]struct {
		f    Files
		want string
	}{
		"expired":     {old, "has expired on"},
		"another key": {Files{good.Certificate, old.Key, good.CA}, old.Key},
		"no file":     {Files{good.Certificate, good.Key, "none.pem"}, "none.pem"},
		"no CA":       {Files{good.Certificate, good.Key, good.Key}, "no certificate in it"},
	} {
		if _, err := Load(k.f); err == nil || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Watch reloads files that change, and warns of a certificate that expires soon.
func TestWatch(t *testing.T) {
	ca := tlstest.NewCA(t)
	mine := ca.Issue(t, "a.example", time.Hour)
	k, err := Load(files(mine))
	if err != nil {
		t.Fatal(err)
	}
	tick := make(chan time.Time)
	stop := make(chan struct{})
	changes := make(chan error, 9)
	warnings := make(chan time.Duration, 9)
	ended := make(chan struct{})
	go func() {
		k.Watch(tick, stop, func(err error) { changes <- err }, func(left time.Duration) { warnings <- left })
		close(ended)
	}()
	tick <- time.Now()
	if left := <-warnings; left > time.Hour || len(changes) != 0 {
		t.Errorf("%v left, %d changes", left, len(changes))
	}
	if err := ca.Replace(t, mine, "a.example", 1000*time.Hour); err != nil {
		t.Fatal(err)
	}
	tick <- time.Now()
	if err := <-changes; err != nil || k.Remaining() < 999*time.Hour {
		t.Errorf("%v, %v left", err, k.Remaining())
	}
	close(stop)
	<-ended
	if len(warnings) != 0 {
		t.Error("warned of a certificate that is valid for long")
	}
}
