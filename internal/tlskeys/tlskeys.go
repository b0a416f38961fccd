// Package tlskeys holds a certificate, its key and those who sign the peers' certificates, for TLS in which both sides show
// one. They are read from files, and read again without a connection being dropped.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Files name what is read, in PEM.
type Files struct{ Certificate, Key, CA string }

// Keys are what the files say. They are for any goroutine.
type Keys struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[credentials]
}

type credentials struct {
	pair tls.Certificate
	ca   *x509.CertPool
}

// Load reads the files. An error names the file.
func Load(f Files) (*Keys, error) {
	k := &Keys{files: f, now: time.Now}
	return k, k.Reload()
}

// Reload reads the files anew. Bad ones change nothing: connections that are there go on, and new ones have the old keys.
func (k *Keys) Reload() error {
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", k.files.Certificate, k.files.Key, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return fmt.Errorf("certificate %s: %w", k.files.Certificate, err)
		}
	}
	now := k.now()
	if now.After(pair.Leaf.NotAfter) {
		return fmt.Errorf("certificate %s has expired on %s", k.files.Certificate, pair.Leaf.NotAfter.Format(time.DateOnly))
	}
	if now.Before(pair.Leaf.NotBefore) {
		return fmt.Errorf("certificate %s holds from %s on", k.files.Certificate, pair.Leaf.NotBefore.Format(time.DateOnly))
	}
	text, err := os.ReadFile(k.files.CA)
	if err != nil {
		return fmt.Errorf("who signs: %w", err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s: no certificate in it", k.files.CA)
	}
	k.current.Store(&credentials{pair, ca})
	return nil
}

// Remaining is for how long our certificate holds yet.
func (k *Keys) Remaining() time.Duration { return k.current.Load().pair.Leaf.NotAfter.Sub(k.now()) }

// ServerConfig is for connections that come. Each has the keys as they are when it comes.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		h := k.current.Load()
		return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{h.pair}, ClientAuth: tls.RequireAndVerifyClientCert,
			ClientCAs: h.ca, Time: k.now}, nil
	}}
}

// ClientConfig is for a connection that is made to a server whose certificate must have that name. Without a name any is taken whose
// certificate one of ours has signed: servers are found by a register that names no hosts.
func (k *Keys) ClientConfig(name string) *tls.Config {
	h := k.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{h.pair}, RootCAs: h.ca, ServerName: name, Time: k.now}
	if name == "" {
		c.InsecureSkipVerify = true // of the name alone: the chain is checked here
		c.VerifyConnection = func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("the server shows no certificate")
			}
			inner := x509.NewCertPool()
			for _, cert := range s.PeerCertificates[1:] {
				inner.AddCert(cert)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: h.ca, Intermediates: inner, CurrentTime: k.now()})
			return err
		}
	}
	return c
}

// Watch reads the files again at each tick where they have changed, and warns of an expiry that is near, until stop is
// closed.
func (k *Keys) Watch(tick <-chan time.Time, stop <-chan struct{}, changed func(error), warn func(left time.Duration)) {
	seen := k.fileStamp()
	for {
		select {
		case <-tick:
		case <-stop:
			return
		}
		if at := k.fileStamp(); at != seen {
			seen = at
			changed(k.Reload())
		}
		if left := k.Remaining(); left < nearExpiry {
			warn(left)
		}
	}
}

// nearExpiry is how long before its end a certificate is warned of.
const nearExpiry = 14 * 24 * time.Hour

// fileStamp changes with the files.
func (k *Keys) fileStamp() string {
	var text string
	for _, name := range []string{k.files.Certificate, k.files.Key, k.files.CA} {
		info, err := os.Stat(name)
		if errors.Is(err, os.ErrNotExist) || err != nil {
			text += "-;"
			continue
		}
		text += fmt.Sprint(info.Size(), info.ModTime().UnixNano(), ";")
	}
	return text
}
