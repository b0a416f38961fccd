// Package tlstest creates certificates for tests while they run, in temporary directories.
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

// Files are the paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// CA is an authority that signs certificates.
type CA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// NewCA creates an authority.
func NewCA(t testing.TB) *CA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
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
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &CA{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der)}
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// Issue creates a certificate for a name in new files. It expires after validFor, or has expired if that is negative.
func (ca *CA) Issue(t testing.TB, name string, validFor time.Duration) Files {
	t.Helper()
	dir := t.TempDir()
	f := Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
	if err := os.WriteFile(f.CA, ca.pem, fileMode); err != nil {
		t.Fatal(err)
	}
	if err := ca.Replace(t, f, name, validFor); err != nil {
		t.Fatal(err)
	}
	return f
}

// Replace writes another certificate, as Issue creates it, and its key into the files.
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
