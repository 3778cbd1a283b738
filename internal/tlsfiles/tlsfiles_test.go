package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// authority signs certificates in a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	key := newKey(t)
	tpl := template(1)
	tpl.IsCA, tpl.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{cert: cert, key: key, file: filepath.Join(dir, "ca.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue writes a certificate and its key into the folder.
func (a *authority) issue(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template(serial), a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, certFile, "CERTIFICATE", der)
	writePEM(t, keyFile, "EC PRIVATE KEY", keyDER)
	return certFile, keyFile
}

// handshake returns the serial number of the server's certificate. A byte from
// the server shows that it took the client's certificate as well.
func handshake(server, client *tls.Config) (int64, error) {
	a, b := net.Pipe()
	defer b.Close()
	go func() {
		defer a.Close()
		_, _ = tls.Server(a, server).Write([]byte{1}) // a refusal is read at the other end
	}()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	conn := tls.Client(b, client)
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestReplacedCertificateIsServed(t *testing.T) {
	dir := t.TempDir()
	ca := newAuthority(t, dir)
	certFile, keyFile := ca.issue(t, dir, 2)
	synctest.Test(t, func(t *testing.T) {
		server, client, err := Mutual(certFile, keyFile, ca.file)
		if err != nil {
			t.Fatal(err)
		}
		if serial, err := handshake(server, client); err != nil || serial != 2 {
			t.Fatalf("got %d %v", serial, err)
		}
		ca.issue(t, dir, 3)
		later := time.Unix(1<<32, 0)
		if err := os.Chtimes(certFile, later, later); err != nil {
			t.Fatal(err)
		}
		time.Sleep(checkEvery)
		if serial, err := handshake(server, client); err != nil || serial != 3 {
			t.Errorf("after the files changed: %d %v", serial, err)
		}
		if err := os.WriteFile(certFile, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(checkEvery)
		if serial, err := handshake(server, client); err != nil || serial != 3 {
			t.Errorf("with half a file: %d %v", serial, err)
		}
	})
}

func TestCertificateOfAnotherAuthorityIsRefused(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	ca, stranger := newAuthority(t, dir), newAuthority(t, other)
	certFile, keyFile := ca.issue(t, dir, 2)
	server, _, err := Mutual(certFile, keyFile, ca.file)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = stranger.issue(t, other, 2)
	_, client, err := Mutual(certFile, keyFile, ca.file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(server, client); err == nil {
		t.Error("a client of another authority was taken")
	}
}

func TestFilesThatCannotBeUsedAreNumberedErrors(t *testing.T) {
	dir := t.TempDir()
	ca := newAuthority(t, dir)
	certFile, keyFile := ca.issue(t, dir, 2)
	for _, files := range [][3]string{
		{"none", keyFile, ca.file}, {certFile, "none", ca.file}, {certFile, keyFile, "none"},
		{keyFile, certFile, ca.file}, {certFile, keyFile, keyFile},
	} {
		if _, _, err := Mutual(files[0], files[1], files[2]); !result.Is(err, result.BadTLS) {
			t.Errorf("%v: got %v", files, err)
		}
	}
}
