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

// meet has a client and a server shake hands and pass a byte each way.
func meet(server, client *tls.Config) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		b, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		s := tls.Server(b, server)
		defer s.Close()
		_, err = io.CopyN(s, s, 1)
		done <- err
	}()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer a.Close()
	c := tls.Client(a, client)
	c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = c.Write([]byte{7})
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	a.Close()
	return errors.Join(err, <-done)
}

func files(c tlstest.Files) Files { return Files{c.Certificate, c.Key, c.CA} }

// Both sides must show a certificate of one who signs for both, in its time and of the right name; files that are replaced
// hold for the next connection.
func TestBothSidesShowACertificate(t *testing.T) {
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
	if err := meet(server.ServerConfig(), client.ClientConfig("server.example")); err != nil {
		t.Error(err)
	}
	if err := meet(server.ServerConfig(), client.ClientConfig("other.example")); err == nil || !strings.Contains(err.Error(), "other.example") {
		t.Errorf("another name: %v", err)
	}
	stranger, err := Load(files(other.Issue(t, "client.example", time.Hour)))
	if err != nil {
		t.Fatal(err)
	}
	if err := meet(server.ServerConfig(), client.ClientConfig("")); err != nil {
		t.Errorf("any name: %v", err)
	}
	if err := meet(stranger.ServerConfig(), client.ClientConfig("")); err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("any name of a stranger: %v", err)
	}
	trusting := stranger.ClientConfig("server.example")
	trusting.RootCAs = client.ClientConfig("").RootCAs
	if err := meet(server.ServerConfig(), trusting); err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("a stranger: %v", err)
	}
	if err := meet(server.ServerConfig(), &tls.Config{RootCAs: trusting.RootCAs, ServerName: "server.example"}); err == nil {
		t.Error("one without a certificate is taken")
	}
	held := server.ServerConfig()
	server.now = func() time.Time { return time.Now().Add(2 * time.Hour) }
	if err := meet(held, client.ClientConfig("server.example")); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("an expired one: %v", err)
	}
	// A new certificate under the same name of file, and one that is of no use.
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
	if err := client.Reload(); err == nil || !strings.Contains(err.Error(), mine.Certificate) || client.Remaining() < before {
		t.Errorf("a bad file: %v, %v left", err, client.Remaining())
	}
}

func TestWhatIsWrongIsNamed(t *testing.T) {
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

// Files that change are read again without being told, and an expiry that is near is warned of.
func TestWatch(t *testing.T) {
	ca := tlstest.NewCA(t)
	mine := ca.Issue(t, "a.example", time.Hour)
	k, err := Load(files(mine))
	if err != nil {
		t.Fatal(err)
	}
	tick, stop, changes, warnings := make(chan time.Time), make(chan struct{}), make(chan error, 9), make(chan time.Duration, 9)
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
		t.Error("warned of one that holds for long")
	}
}
