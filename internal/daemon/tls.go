package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// linkTLS builds the mutual TLS between daemons, or nil when it is off. Each
// side shows its certificate and accepts only those of the authority. The
// certificate is read again at each handshake, so that it can be replaced.
func linkTLS(s settings.LinkTLS) (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	load := func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
		return &cert, err
	}
	if _, err := load(); err != nil {
		return nil, result.Wrap(err, result.BadTLS, "the link certificate cannot be used")
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, result.Wrap(err, result.BadTLS, "the link authority cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, result.New(result.BadTLS, "the link authority file %s holds no certificate", s.CAFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return load()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return load()
		},
	}, nil
}
