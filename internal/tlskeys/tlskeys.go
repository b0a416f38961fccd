// Package tlskeys holds the TLS credentials of a process for mutual TLS, in which both sides present a certificate: the
// process's certificate and key, and the certificates of the authorities (CAs) that sign the peers' certificates. The
// files can be reloaded at any time without closing connections.
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

const (
	// minVersion is the minimum TLS version of all connections.
	minVersion = tls.VersionTLS12
	// expiryWarning is the remaining validity below which Watch warns about the process's certificate.
	expiryWarning = 14 * 24 * time.Hour
)

// Files are the paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	CA          string // certificates of the authorities
}

// Errors of this package. The returned errors wrap them; use errors.Is.
var (
	// ErrExpired is returned for a certificate that has expired.
	ErrExpired = errors.New("has expired")
	// ErrNotYetValid is returned for a certificate whose validity starts in the future.
	ErrNotYetValid = errors.New("is not valid before")
	// ErrNoCertificate is returned for a CA file that contains no certificate.
	ErrNoCertificate = errors.New("the file contains no certificate")
	// ErrNoPeerCertificate is the error of a handshake with a server that presents no certificate.
	ErrNoPeerCertificate = errors.New("the server presents no certificate")
)

// Keys holds the TLS credentials of a process. Create it with Load. It is safe for concurrent use.
type Keys struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[credentials]
}

// credentials is the parsed content of the files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files. An error names the file that cannot be read or is invalid.
func Load(f Files) (*Keys, error) {
	k := &Keys{files: f, now: time.Now}
	return k, k.Reload()
}

// Reload reads the files again, for connections that are opened afterwards. An error names the file that cannot be read
// or is invalid; the previous credentials then stay in use.
func (k *Keys) Reload() error {
	certificate, err := k.loadCertificate()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(k.files.CA)
	if err != nil {
		return fmt.Errorf("reading the CA certificates: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s: %w", k.files.CA, ErrNoCertificate)
	}
	k.current.Store(&credentials{certificate: certificate, authorities: authorities})
	return nil
}

// loadCertificate reads the certificate and its key, and checks that the certificate is currently valid.
func (k *Keys) loadCertificate() (tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("certificate %s with key %s: %w", k.files.Certificate, k.files.Key, err)
	}
	if certificate.Leaf == nil {
		certificate.Leaf, err = x509.ParseCertificate(certificate.Certificate[0])
		if err != nil {
			return tls.Certificate{}, fmt.Errorf("certificate %s: %w", k.files.Certificate, err)
		}
	}
	now := k.now()
	leaf := certificate.Leaf
	if now.After(leaf.NotAfter) {
		return tls.Certificate{}, fmt.Errorf("certificate %s %w on %s",
			k.files.Certificate, ErrExpired, leaf.NotAfter.Format(time.DateOnly))
	}
	if now.Before(leaf.NotBefore) {
		return tls.Certificate{}, fmt.Errorf("certificate %s %w %s",
			k.files.Certificate, ErrNotYetValid, leaf.NotBefore.Format(time.DateOnly))
	}
	return certificate, nil
}

// Remaining returns the time until the process's certificate expires.
func (k *Keys) Remaining() time.Duration {
	return k.current.Load().certificate.Leaf.NotAfter.Sub(k.now())
}

// ServerConfig returns the configuration for a server. It can be kept across reloads: each connection uses the
// credentials that are current when the connection is accepted. Clients must present a certificate signed by a known
// authority.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: minVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := k.current.Load()
			return &tls.Config{
				MinVersion:   minVersion,
				Certificates: []tls.Certificate{c.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    c.authorities,
				Time:         k.now,
			}, nil
		},
	}
}

// ClientConfig returns the configuration for one connection to a server. The server's certificate must be signed by a
// known authority and be valid for the given host name. With an empty name the host name is not checked, because
// discovery lists servers by address, without host names. The configuration keeps the current credentials, so callers
// request a new one for each connection.
func (k *Keys) ClientConfig(name string) *tls.Config {
	c := k.current.Load()
	config := &tls.Config{
		MinVersion:   minVersion,
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.authorities,
		ServerName:   name,
		Time:         k.now,
	}
	if name == "" {
		config.InsecureSkipVerify = true // VerifyConnection checks the chain, but not the name
		config.VerifyConnection = func(s tls.ConnectionState) error { return k.verifyChain(s, c.authorities) }
	}
	return config
}

// verifyChain checks that a server's certificate is currently valid and signed by a known authority.
func (k *Keys) verifyChain(s tls.ConnectionState, authorities *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return ErrNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range s.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		CurrentTime:   k.now(),
	})
	return err
}

// Watch checks the files at each tick until stop is closed. If a file has changed, it reloads all files and calls
// changed with the result of Reload. At each tick at which the certificate expires within 14 days, it calls warn. Watch
// blocks, and calls both functions on the caller's goroutine.
func (k *Keys) Watch(
	tick <-chan time.Time, stop <-chan struct{}, changed func(error), warn func(remaining time.Duration),
) {
	seen := k.fileStamp()
	for {
		select {
		case <-tick:
		case <-stop:
			return
		}
		if stamp := k.fileStamp(); stamp != seen {
			seen = stamp
			changed(k.Reload())
		}
		if remaining := k.Remaining(); remaining < expiryWarning {
			warn(remaining)
		}
	}
}

// fileStamp returns a text that changes when the size or modification time of a file changes.
func (k *Keys) fileStamp() string {
	var stamp string
	for _, path := range []string{k.files.Certificate, k.files.Key, k.files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			stamp += "-;"
			continue
		}
		stamp += fmt.Sprint(info.Size(), info.ModTime().UnixNano(), ";")
	}
	return stamp
}
