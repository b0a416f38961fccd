// Package tlskeys holds the certificate and key of a process, and the certificates of the authorities that sign its
// peers', for TLS in which both sides present a certificate (mutual TLS). The files can be read again at any time
// without closing a connection.
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
	// minVersion is the oldest version of TLS that is negotiated.
	minVersion = tls.VersionTLS12
	// expiryWarning is how long before its expiry Watch warns of a certificate.
	expiryWarning = 14 * 24 * time.Hour
)

// Files are the paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	CA          string // the certificates of the authorities
}

// Errors of this package, which errors.Is finds.
var (
	// ErrExpired is returned for a certificate that has expired.
	ErrExpired = errors.New("has expired")
	// ErrNotYetValid is returned for a certificate that is valid from a later time on.
	ErrNotYetValid = errors.New("holds from")
	// ErrNoCertificate is returned for a file of authorities without a certificate.
	ErrNoCertificate = errors.New("no certificate in it")
	// ErrNoPeerCertificate is returned in the handshake with a server that presents no certificate.
	ErrNoPeerCertificate = errors.New("the server shows no certificate")
)

// Keys are the certificates of a process. All methods are safe for concurrent use.
type Keys struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[credentials]
}

// credentials are the content of the files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files. Its error names the file.
func Load(f Files) (*Keys, error) {
	k := &Keys{files: f, now: time.Now}
	return k, k.Reload()
}

// Reload reads the files again, for new connections. On an error, which names the file, nothing changes.
func (k *Keys) Reload() error {
	certificate, err := k.loadCertificate()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(k.files.CA)
	if err != nil {
		return fmt.Errorf("who signs: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s: %w", k.files.CA, ErrNoCertificate)
	}
	k.current.Store(&credentials{certificate: certificate, authorities: authorities})
	return nil
}

// loadCertificate reads the certificate and its key, and checks that it is valid now.
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
		return tls.Certificate{}, fmt.Errorf("certificate %s %w %s on",
			k.files.Certificate, ErrNotYetValid, leaf.NotBefore.Format(time.DateOnly))
	}
	return certificate, nil
}

// Remaining returns how long the process's certificate is still valid.
func (k *Keys) Remaining() time.Duration {
	return k.current.Load().certificate.Leaf.NotAfter.Sub(k.now())
}

// ServerConfig returns the configuration of a server. Each connection uses the certificates that are loaded when it
// arrives, and its client must present one of a known authority.
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

// ClientConfig returns the configuration of one connection to a server whose certificate must be for a name. Without
// a name, any certificate of a known authority is accepted: discovery lists servers by address, without host names.
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
		config.InsecureSkipVerify = true // VerifyConnection checks the chain, all but the name
		config.VerifyConnection = func(s tls.ConnectionState) error { return k.verifyChain(s, c.authorities) }
	}
	return config
}

// verifyChain checks that a server's certificate is of a known authority.
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

// Watch checks the files at each tick until stop is closed. After a change it reloads them and calls changed with the
// result; while the certificate expires within 14 days it calls warn. It blocks, and calls both in its goroutine.
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

// fileStamp returns the sizes and modification times of the files, as a text to compare.
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
