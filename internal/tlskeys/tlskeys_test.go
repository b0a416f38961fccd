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

// handshake connects a client to a server over TLS and sends one byte in each direction. It returns the errors of both
// sides.
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

func toFiles(f tlstest.Files) Files { return Files{f.Certificate, f.Key, f.CA} }

// Both sides must present a certificate that is signed by a known authority, currently valid, and for the right name.
// After Reload, replaced files apply to the next connection.
func TestMutualTLS(t *testing.T) {
	ca, otherCA := tlstest.NewCA(t), tlstest.NewCA(t)
	server, err := Load(toFiles(ca.Issue(t, "server.example", time.Hour)))
	if err != nil {
		t.Fatalf("Load of the server's files: %v", err)
	}
	clientFiles := ca.Issue(t, "client.example", time.Hour)
	client, err := Load(toFiles(clientFiles))
	if err != nil {
		t.Fatalf("Load of the client's files: %v", err)
	}
	if err := handshake(server.ServerConfig(), client.ClientConfig("server.example")); err != nil {
		t.Errorf("handshake with the server's host name: %v", err)
	}
	err = handshake(server.ServerConfig(), client.ClientConfig("other.example"))
	if err == nil || !strings.Contains(err.Error(), "other.example") {
		t.Errorf("handshake with another host name returned error %v, want one that names other.example", err)
	}
	foreign, err := Load(toFiles(otherCA.Issue(t, "client.example", time.Hour)))
	if err != nil {
		t.Fatalf("Load of files signed by the other authority: %v", err)
	}
	if err := handshake(server.ServerConfig(), client.ClientConfig("")); err != nil {
		t.Errorf("handshake without a host name to check: %v", err)
	}
	err = handshake(foreign.ServerConfig(), client.ClientConfig(""))
	if err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("handshake without a host name to check, with a server of an unknown authority, returned error %v; "+
			"want \"unknown authority\"", err)
	}
	foreignClient := foreign.ClientConfig("server.example")
	foreignClient.RootCAs = client.ClientConfig("").RootCAs
	err = handshake(server.ServerConfig(), foreignClient)
	if err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("handshake of a client whose authority is unknown returned error %v, want \"unknown authority\"", err)
	}
	anonymous := &tls.Config{RootCAs: foreignClient.RootCAs, ServerName: "server.example"}
	if err := handshake(server.ServerConfig(), anonymous); err == nil {
		t.Error("handshake of a client without a certificate returned no error")
	}
	config := server.ServerConfig()
	server.now = func() time.Time { return time.Now().Add(2 * time.Hour) }
	err = handshake(config, client.ClientConfig("server.example"))
	if err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("handshake after the certificates expired returned error %v, want \"expired\"", err)
	}
	// Replace the client's files, first by a new certificate and then by an invalid file.
	if err := ca.Replace(t, clientFiles, "client.example", 48*time.Hour); err != nil {
		t.Fatalf("replacing the client's certificate: %v", err)
	}
	before := client.Remaining()
	if err := client.Reload(); err != nil || client.Remaining() < before+time.Hour {
		t.Errorf("Reload of a certificate valid for 48h = %v, and then Remaining() = %v; want nil and at least %v",
			err, client.Remaining(), before+time.Hour)
	}
	if err := os.WriteFile(clientFiles.Certificate, []byte("nothing"), 0o600); err != nil {
		t.Fatalf("writing an invalid certificate file: %v", err)
	}
	err = client.Reload()
	if err == nil || !strings.Contains(err.Error(), clientFiles.Certificate) || client.Remaining() < before {
		t.Errorf("Reload of an invalid file = %v, and then Remaining() = %v; want an error naming %s and at least %v",
			err, client.Remaining(), clientFiles.Certificate, before)
	}
}

// Load of invalid files returns an error that names the file or says what is wrong with it.
func TestLoadNamesWhatIsInvalid(t *testing.T) {
	ca := tlstest.NewCA(t)
	valid := toFiles(ca.Issue(t, "a.example", time.Hour))
	expired := toFiles(ca.Issue(t, "a.example", -time.Minute))
	for name, c := range map[string]struct {
		files Files
		want  string // part of the error
	}{
		"expired certificate":        {expired, "has expired on"},
		"key of another certificate": {Files{valid.Certificate, expired.Key, valid.CA}, expired.Key},
		"missing CA file":            {Files{valid.Certificate, valid.Key, "none.pem"}, "none.pem"},
		"key in place of the CA":     {Files{valid.Certificate, valid.Key, valid.Key}, "contains no certificate"},
	} {
		if _, err := Load(c.files); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: Load returned error %v, want one that contains %q", name, err, c.want)
		}
	}
}

// Watch reloads files that have changed, and warns if the certificate expires soon.
func TestWatch(t *testing.T) {
	ca := tlstest.NewCA(t)
	files := ca.Issue(t, "a.example", time.Hour)
	k, err := Load(toFiles(files))
	if err != nil {
		t.Fatalf("Load: %v", err)
	}
	tick := make(chan time.Time)
	stop := make(chan struct{})
	changes := make(chan error, 9)
	warnings := make(chan time.Duration, 9)
	ended := make(chan struct{})
	go func() {
		k.Watch(tick, stop, func(err error) { changes <- err }, func(remaining time.Duration) { warnings <- remaining })
		close(ended)
	}()
	tick <- time.Now()
	if remaining := <-warnings; remaining > time.Hour || len(changes) != 0 {
		t.Errorf("first tick: Watch warned of %v remaining and reported %d changes; want at most 1h and no change",
			remaining, len(changes))
	}
	if err := ca.Replace(t, files, "a.example", 1000*time.Hour); err != nil {
		t.Fatalf("replacing the certificate: %v", err)
	}
	tick <- time.Now()
	if err := <-changes; err != nil || k.Remaining() < 999*time.Hour {
		t.Errorf("after the certificate was replaced: Watch reported %v, Remaining() = %v; want nil, at least 999h",
			err, k.Remaining())
	}
	close(stop)
	<-ended
	if len(warnings) != 0 {
		t.Error("Watch warned about a certificate that is valid for 1000h")
	}
}
