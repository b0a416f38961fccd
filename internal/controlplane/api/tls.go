package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"lapisspread/internal/tlskeys"
)

const (
	tlsReloadInterval   = 10 * time.Second // between two checks of the certificate files for changes
	idleConnTimeout     = time.Minute
	maxIdleConnsPerHost = 2
)

// TLSFiles are the names of this machine's certificate files, in PEM. With them, both sides of every call to or between
// servers must present a certificate that the CA has signed.
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

// NewTransport returns the transport for calls to servers. With nil keys it sends without TLS.
func NewTransport(keys *tlskeys.Keys) http.RoundTripper {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout}
	if keys == nil {
		return t
	}
	// Any certificate of the CA is accepted, whatever name it has, because servers are called by address.
	t.TLSClientConfig = keys.ClientConfig("")
	return tlsTransport{t}
}

// tlsTransport sends every request over TLS, whatever scheme its URL has.
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
	onReload := func(err error) {
		if err != nil {
			log.Error("reloading the fleet's certificate failed, the old one stays in use", "err", err)
			return
		}
		log.Info("fleet's certificate reloaded")
	}
	onExpiring := func(left time.Duration) {
		log.Warn("fleet's certificate expires soon", "left", left.Round(time.Hour))
	}
	keys.Watch(ticker.C, ctx.Done(), onReload, onExpiring)
}
