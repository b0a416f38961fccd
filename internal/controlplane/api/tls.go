package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"lapisspread/internal/tlskeys"
)

// TLSFiles names the files of this machine's certificate, in PEM: beside the fleet's file if they are no whole paths. With it all calls to
// stewards, and between them, are by TLS in which both sides show a certificate that the CA has signed.
type TLSFiles struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// LoadTLSKeys are what the files say; nil without TLS.
func (f *Config) LoadTLSKeys() (*tlskeys.Keys, error) {
	if f.TLS == nil {
		return nil, nil
	}
	return tlskeys.Load(tlskeys.Files{Certificate: f.TLS.Certificate, Key: f.TLS.Key, CA: f.TLS.CA})
}

// NewTransport leads calls to stewards: without keys in the clear.
func NewTransport(keys *tlskeys.Keys) http.RoundTripper {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	if keys == nil {
		return t
	}
	t.TLSClientConfig = keys.Client("") // stewards are named by address; whoever the CA has signed may be one
	return tlsTransport{t}
}

// tlsTransport has calls go by TLS whatever their address says: it is the file that decides.
type tlsTransport struct{ *http.Transport }

func (s tlsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return s.Transport.RoundTrip(r)
}

// tlsReloadInterval is how often the files are looked at.
const tlsReloadInterval = 10 * time.Second

// WatchTLSKeys reads the files anew when they change, until ctx ends.
func WatchTLSKeys(ctx context.Context, keys *tlskeys.Keys, log *slog.Logger) {
	tick := time.NewTicker(tlsReloadInterval)
	defer tick.Stop()
	keys.Watch(tick.C, ctx.Done(), func(err error) {
		if err != nil {
			log.Error("the fleet's certificate stays as it was", "err", err)
			return
		}
		log.Info("the fleet's certificate was read anew")
	}, func(left time.Duration) {
		log.Warn("the fleet's certificate expires soon", "left", left.Round(time.Hour))
	})
}
