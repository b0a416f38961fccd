package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"lapisspread/internal/tlskeys"
)

const (
	tlsReloadInterval   = 10 * time.Second // between two looks at the certificate's files
	idleConnTimeout     = time.Minute
	maxIdleConnsPerHost = 2
)

// TLSFiles name this machine's certificate files, in PEM. With them, both sides of every call to or between servers
// show a certificate that the CA has signed.
type TLSFiles struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// LoadTLSKeys reads the certificate files. It returns nil if the configuration has no TLS.
func (c *Config) LoadTLSKeys() (*tlskeys.Keys, error) {
	if c.TLS == nil {
		return nil, nil
	}
	return tlskeys.Load(tlskeys.Files{Certificate: c.TLS.Certificate, Key: c.TLS.Key, CA: c.TLS.CA})
}

// NewTransport returns the transport for calls to servers. Nil keys give one that sends in the clear.
func NewTransport(keys *tlskeys.Keys) http.RoundTripper {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout}
	if keys == nil {
		return t
	}
	t.TLSClientConfig = keys.ClientConfig("") // servers are named by address; any certificate of the CA will do
	return tlsTransport{t}
}

// tlsTransport sends every request by TLS, whatever scheme its URL has.
type tlsTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t tlsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return t.Transport.RoundTrip(r)
}

// WatchTLSKeys reloads the certificate files whenever they change. It blocks until ctx ends.
func WatchTLSKeys(ctx context.Context, keys *tlskeys.Keys, log *slog.Logger) {
	ticker := time.NewTicker(tlsReloadInterval)
	defer ticker.Stop()
	reloaded := func(err error) {
		if err != nil {
			log.Error("reloading the fleet's certificate failed, the old one stays", "err", err)
			return
		}
		log.Info("fleet's certificate reloaded")
	}
	expiring := func(left time.Duration) {
		log.Warn("fleet's certificate expires soon", "left", left.Round(time.Hour))
	}
	keys.Watch(ticker.C, ctx.Done(), reloaded, expiring)
}
