// Package tlstest creates certificates and keys for tests at run time, in temporary directories.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const fileMode = 0o600

// Files are the paths of the PEM files of one certificate.
type Files struct {
	Certificate string
	Key         string
	CA          string // certificate of the authority that signed Certificate
}

// CA is a certificate authority for tests.
type CA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// NewCA creates an authority with a new key and a self-signed certificate.
func NewCA(t testing.TB) *CA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatalf("generating the authority's key: %v", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(10000 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatalf("creating the authority's certificate: %v", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatalf("parsing the authority's certificate: %v", err)
	}
	return &CA{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der)}
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// Issue creates a certificate for a host name and writes it to new files. The certificate expires after validFor; if
// validFor is negative, it has already expired.
func (ca *CA) Issue(t testing.TB, name string, validFor time.Duration) Files {
	t.Helper()
	dir := t.TempDir()
	f := Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
	if err := os.WriteFile(f.CA, ca.pem, fileMode); err != nil {
		t.Fatalf("writing the authority's certificate: %v", err)
	}
	if err := ca.Replace(t, f, name, validFor); err != nil {
		t.Fatalf("issuing a certificate for %s: %v", name, err)
	}
	return f
}

// Replace creates a new key and a certificate like those of Issue, and writes them to existing files. It returns an
// error if this fails.
func (ca *CA) Replace(t testing.TB, f Files, name string, validFor time.Duration) error {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     time.Now().Add(validFor),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, key.Public(), ca.key)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.Key, encodePEM("PRIVATE KEY", keyDER), fileMode); err != nil {
		return err
	}
	return os.WriteFile(f.Certificate, encodePEM("CERTIFICATE", der), fileMode)
}
