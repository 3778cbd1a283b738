package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// selfSigned returns a certificate for 127.0.0.1 and a pool that trusts it.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

func TestMutualTLS(t *testing.T) {
	cert, pool := selfSigned(t)
	agent := newFakeAgent(testIncarnation, DefaultTiming(), answer(2))
	_, h := NewHandler(agent, agent.logs)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewHTTPServer(h, &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	})
	go func() { _ = Serve(server, ln) }()
	defer func() { _ = server.Close() }()
	options := Options{Revision: func() uint64 { return 1 }, Timing: DefaultTiming()}

	options.TLS = &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{cert}}
	s, err := NewClient(options).Attempt(t.Context(), ln.Addr().String(), request("a"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	wantAnswer(t, s, 2)

	options.TLS = &tls.Config{RootCAs: pool}
	_, err = NewClient(options).Report(t.Context(), ln.Addr().String(), &linkv1.ReportRequest{})
	want(t, err, result.NoUpstream, result.Unknown)
}
