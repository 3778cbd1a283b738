// Package tlsfiles serves certificates from files that are replaced while the
// daemon runs. It is used for callers and, with mutual checks, between
// daemons.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// checkEvery is the least time between two looks at the files.
const checkEvery = time.Second

// Pair is a certificate with its key. It is read again when a file's time
// changes; a pair that cannot be read leaves the old one in use.
type Pair struct {
	certFile string
	keyFile  string

	mu      sync.Mutex // guards what follows
	cert    *tls.Certificate
	stamp   stamp
	checked time.Time
}

// stamp tells whether a file has changed.
type stamp struct {
	cert, key time.Time
}

// Load reads the files. The error is a *result.Error with the code BadTLS.
func Load(certFile, keyFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile}
	st, err := p.look()
	if err != nil {
		return nil, result.Wrap(err, result.BadTLS, "the certificate cannot be read")
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, result.Wrap(err, result.BadTLS, "the certificate cannot be used")
	}
	p.cert, p.stamp, p.checked = &cert, st, time.Now()
	return p, nil
}

func (p *Pair) look() (stamp, error) {
	c, err := os.Stat(p.certFile)
	if err != nil {
		return stamp{}, err
	}
	k, err := os.Stat(p.keyFile)
	if err != nil {
		return stamp{}, err
	}
	return stamp{c.ModTime(), k.ModTime()}, nil
}

// current returns the certificate, read again if the files have changed.
func (p *Pair) current() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.checked) < checkEvery {
		return p.cert
	}
	p.checked = now
	st, err := p.look()
	if err != nil || st == p.stamp {
		return p.cert
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return p.cert // the files are being replaced; the next look reads both
	}
	p.cert, p.stamp = &cert, st
	return p.cert
}

// Server returns the configuration of a listener that asks for no client
// certificate.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current(), nil },
	}
}

// Mutual returns the configurations of both ends of a connection between
// daemons, each of which checks the other's certificate against the
// authority's. The error is a *result.Error with the code BadTLS.
func Mutual(certFile, keyFile, caFile string) (server, client *tls.Config, err error) {
	pair, err := Load(certFile, keyFile)
	if err != nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, result.Wrap(err, result.BadTLS, "the authority's certificate cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, result.New(result.BadTLS, "the authority's file holds no certificate")
	}
	server = pair.Server()
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.current(), nil },
	}
	return server, client, nil
}
