package httpserver

import (
	"context"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// certificate writes the test certificate of net/http/httptest, which is valid
// for 127.0.0.1, and returns a client that trusts it.
func certificate(t *testing.T) (settings.CallerTLS, *http.Client) {
	t.Helper()
	s := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	pair := s.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := settings.CallerTLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	writePEM(t, files.CertFile, "CERTIFICATE", pair.Certificate[0])
	writePEM(t, files.KeyFile, "PRIVATE KEY", key)
	return files, s.Client()
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestListenServesTheCertificateOfTheSettings(t *testing.T) {
	files, client := certificate(t)
	c := testConfig
	c.Address, c.TLS = "127.0.0.1:0", files
	s, err := Listen(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	res, err := client.Get("https://" + s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	res.Body.Close()
	if err != nil || string(body) != "hello" {
		t.Errorf("got %q %v", body, err)
	}
	client.CloseIdleConnections()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestListenRefusesACertificateThatCannotBeUsed(t *testing.T) {
	files, _ := certificate(t)
	files.KeyFile = files.CertFile
	_, err := Listen(Config{Address: "127.0.0.1:0", TLS: files, Drain: time.Second}, http.NotFoundHandler())
	if !result.Is(err, result.BadTLS) {
		t.Errorf("got %v", err)
	}
}
