package certifier_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/certifier"
)

// authority signs the test's certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T, name string) authority {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	template := template(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign

	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)

	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)

	return authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		// Virtual time begins in the year 2000.
		NotBefore:   time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:    time.Date(2099, 1, 1, 0, 0, 0, 0, time.UTC),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// sign returns a new certificate and its key as PEM.
func (a authority) sign(t *testing.T, name string) (certificate, key []byte) {
	t.Helper()

	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	der, err := x509.CreateCertificate(rand.Reader, template(name), a.certificate, private.Public(), a.key)
	assert.NilError(t, err)

	encoded, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)

	return encode("CERTIFICATE", der), encode("EC PRIVATE KEY", encoded)
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// files are the TLS files of one node.
type files struct {
	directory string
	written   int
}

func (f *files) path(name string) string {
	return filepath.Join(f.directory, name)
}

// write writes a file with a modification time that differs from all before.
func (f *files) write(t *testing.T, name string, data []byte) {
	t.Helper()

	f.written++
	modified := time.Unix(1_000_000_000+int64(f.written), 0)

	assert.NilError(t, os.WriteFile(f.path(name), data, 0o600))
	assert.NilError(t, os.Chtimes(f.path(name), modified, modified))
}

func (f *files) writePair(t *testing.T, a authority, name string) {
	t.Helper()

	certificate, key := a.sign(t, name)
	f.write(t, "node.pem", certificate)
	f.write(t, "node.key", key)
}

func (f *files) certifier(t *testing.T, log *bytes.Buffer) *certifier.Certifier {
	t.Helper()

	c, err := certifier.New(certifier.Options{
		CertificateFile: f.path("node.pem"),
		KeyFile:         f.path("node.key"),
		ClientCAFile:    f.path("ca.pem"),
		Logger:          zerolog.New(log),
	})
	assert.NilError(t, err)

	return c
}

// served returns the name in the certificate that a handshake gets.
func served(t *testing.T, c *certifier.Certifier) string {
	t.Helper()

	certificate, err := c.ServerConfig().GetCertificate(nil)
	assert.NilError(t, err)

	return certificate.Leaf.Subject.CommonName
}

func newFiles(t *testing.T, a authority) *files {
	t.Helper()

	f := &files{directory: t.TempDir()}
	f.writePair(t, a, "first")
	f.write(t, "ca.pem", a.pem)

	return f
}

func TestServesTheRenewedCertificate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer

		a := newAuthority(t, "authority")
		f := newFiles(t, a)
		c := f.certifier(t, &log)

		f.writePair(t, a, "second")
		assert.Equal(t, served(t, c), "first")
		time.Sleep(time.Second)
		assert.Equal(t, served(t, c), "second")
		assert.Equal(t, strings.Count(log.String(), "certificate_reloaded"), 1)
		time.Sleep(time.Second)
		assert.Equal(t, served(t, c), "second")
		assert.Equal(t, strings.Count(log.String(), "certificate_reloaded"), 1)
	})
}

// Symptom: every handshake fails after a renewal, until someone restarts the node.
// Sequence: a file is replaced by a broken one, or is missing for a moment, or
// a look falls between the writing of certificate and key; later all is right.
// Cause: the new files are taken without a check.
func TestKeepsTheOldCertificateWhileFilesAreBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer

		a := newAuthority(t, "authority")
		f := newFiles(t, a)
		c := f.certifier(t, &log)

		failures := 0
		keeps := func(why string) {
			t.Helper()

			failures++

			for range 3 {
				time.Sleep(time.Second)
				assert.Equal(t, served(t, c), "first", why)
			}

			assert.Equal(t, strings.Count(log.String(), "certificate_reload_failed"), failures, why)
		}

		certificate, key := a.sign(t, "second")

		f.write(t, "node.pem", []byte("broken"))
		keeps("no PEM")
		f.write(t, "node.pem", certificate)
		keeps("another key's certificate")
		assert.NilError(t, os.Remove(f.path("node.key")))
		keeps("no key file")
		f.write(t, "node.key", key)
		f.write(t, "ca.pem", []byte("broken"))
		keeps("no authority")
		f.write(t, "ca.pem", a.pem)

		time.Sleep(time.Second)
		assert.Equal(t, served(t, c), "second")
	})
}

func TestWrongFilesAtTheStartAreAnError(t *testing.T) {
	f := newFiles(t, newAuthority(t, "authority"))
	f.write(t, "node.key", []byte("broken"))

	for _, key := range []string{"node.key", "none.key", "."} {
		_, err := certifier.New(certifier.Options{CertificateFile: f.path("node.pem"), KeyFile: f.path(key)})
		assert.Assert(t, err != nil, key)
	}
}

func TestPeersNeedACertificateOfTheAuthority(t *testing.T) {
	var log bytes.Buffer

	ours, others := newAuthority(t, "ours"), newAuthority(t, "others")
	node := newFiles(t, ours).certifier(t, &log)
	peer := newFiles(t, ours).certifier(t, &log)

	// A stranger trusts our authority but shows a certificate of another one.
	strange := newFiles(t, others)
	strange.write(t, "ca.pem", ours.pem)
	stranger := strange.certifier(t, &log)

	server, err := node.PeerServerConfig()
	assert.NilError(t, err)
	assert.NilError(t, handshake(t, server, peer.PeerClientConfig()))
	assert.ErrorContains(t, handshake(t, server, stranger.PeerClientConfig()), "certificate")

	strange.write(t, "ca.pem", others.pem)
	assert.ErrorContains(t, handshake(t, server, strange.certifier(t, &log).PeerClientConfig()), "certificate")
	assert.ErrorContains(t, handshake(t, server, &tls.Config{MinVersion: tls.VersionTLS12, InsecureSkipVerify: true}), "certificate")

	alone, err := certifier.New(certifier.Options{CertificateFile: strange.path("node.pem"), KeyFile: strange.path("node.key")})
	assert.NilError(t, err)
	_, err = alone.PeerServerConfig()
	assert.ErrorContains(t, err, "without a client authority's file")
}

// handshake joins both sides over loopback and returns the client's error,
// which for a refused certificate only shows when it reads.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()

	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)

	defer listener.Close()

	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}

		_, _ = accepted.Write([]byte("x"))
		_ = accepted.Close()
	}()

	connection, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return err
	}
	defer connection.Close()

	_, err = connection.Read(make([]byte, 1))

	return err
}
