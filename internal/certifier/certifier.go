// Package certifier serves TLS certificates from files and reads them again
// when they change, so that a renewed certificate needs no restart.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// maxFileBytes bounds what a wrong path can read into memory.
const maxFileBytes = 1 << 20

// Options name the PEM files.
type Options struct {
	// CertificateFile holds the chain, the node's own certificate first; KeyFile its key.
	CertificateFile string
	KeyFile         string
	// ClientCAFile holds the authorities that sign peers' certificates; empty means that no peer is asked for one.
	ClientCAFile string
	Logger       zerolog.Logger
}

// material is what the files held when they were last right. It never changes once made.
type material struct {
	certificate tls.Certificate
	// authorities is nil without a ClientCAFile.
	authorities *x509.CertPool
}

// stamp tells two states of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

func (s stamp) equal(other stamp) bool {
	return s.modified.Equal(other.modified) && s.size == other.size
}

// Certifier holds the last good certificate. It is safe for concurrent use.
type Certifier struct {
	options Options

	mu sync.Mutex
	// current is never nil.
	current *material
	// checked is the time of the last look at the files.
	checked time.Time
	// seen are the files' stamps at that look, also when their content was wrong:
	// so that a wrong file is logged once and not at each look.
	seen []stamp
}

// New reads the files. Unlike a later change, a wrong file is an error here: a
// node must not start and then refuse every connection.
func New(options Options) (*Certifier, error) {
	seen, err := stamps(options.files())
	if err != nil {
		return nil, err
	}

	current, err := load(options)
	if err != nil {
		return nil, err
	}

	return &Certifier{options: options, current: current, checked: time.Now(), seen: seen}, nil
}

// ServerConfig returns settings for a server that asks for no client certificate.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.material().certificate, nil
		},
	}
}

// PeerServerConfig returns settings for a server that takes only clients whose
// certificate is signed by an authority of the ClientCAFile.
func (c *Certifier) PeerServerConfig() (*tls.Config, error) {
	if c.options.ClientCAFile == "" {
		return nil, errors.New("peers can't be checked without a client authority's file")
	}

	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := c.material()

			return &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
				// A resumed session would skip the check against authorities that were taken out since.
				SessionTicketsDisabled: true,
			}, nil
		},
	}, nil
}

// PeerClientConfig returns settings for connections to other nodes: it shows the
// node's certificate and accepts servers that an authority of the ClientCAFile signed.
// Ask for it anew for each connection, since authorities change.
func (c *Certifier) PeerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    c.material().authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.material().certificate, nil
		},
	}
}

// material returns the last good material and looks at the files if that is due.
//
// A renewal writes certificate and key one after the other, and a look between
// the two finds a pair that doesn't fit. Served, it would fail every handshake;
// so the old pair stays in force until both fit, and the fault is logged.
func (c *Certifier) material() *material {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := time.Now()
	if now.Sub(c.checked) < checkInterval {
		return c.current
	}

	c.checked = now

	seen, err := stamps(c.options.files())
	if err != nil {
		c.failed(nil, err)
		return c.current
	}

	if slices.EqualFunc(seen, c.seen, stamp.equal) {
		return c.current
	}

	loaded, err := load(c.options)
	if err != nil {
		c.failed(seen, err)
		return c.current
	}

	c.current = loaded
	c.seen = seen
	c.options.Logger.Info().
		Str("file", c.options.CertificateFile).
		Time("not_after", loaded.certificate.Leaf.NotAfter).
		Msg("certificate_reloaded")

	return c.current
}

// failed logs a fault once for each state of the files; missing files have no stamps.
func (c *Certifier) failed(seen []stamp, err error) {
	if c.seen == nil && seen == nil {
		return
	}

	c.seen = seen
	c.options.Logger.Error().
		Str("file", c.options.CertificateFile).
		Time("not_after", c.current.certificate.Leaf.NotAfter).
		Err(err).
		Msg("certificate_reload_failed")
}

func (o Options) files() []string {
	files := []string{o.CertificateFile, o.KeyFile}
	if o.ClientCAFile != "" {
		files = append(files, o.ClientCAFile)
	}

	return files
}

func load(options Options) (*material, error) {
	certificatePEM, err := read(options.CertificateFile)
	if err != nil {
		return nil, err
	}

	keyPEM, err := read(options.KeyFile)
	if err != nil {
		return nil, err
	}

	certificate, err := tls.X509KeyPair(certificatePEM, keyPEM)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", options.CertificateFile, options.KeyFile)
	}

	if options.ClientCAFile == "" {
		return &material{certificate: certificate}, nil
	}

	authorities, err := loadAuthorities(options.ClientCAFile)
	if err != nil {
		return nil, err
	}

	return &material{certificate: certificate, authorities: authorities}, nil
}

func loadAuthorities(file string) (*x509.CertPool, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}

	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, errors.Newf("%s holds no certificate in PEM", file)
	}

	return authorities, nil
}

func read(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, errors.Wrap(err, "read a TLS file")
	}

	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, errors.Newf("%s is no ordinary file of at most %d bytes", file, maxFileBytes)
	}

	data, err := os.ReadFile(file)

	return data, errors.Wrap(err, "read a TLS file")
}

func stamps(files []string) ([]stamp, error) {
	found := make([]stamp, 0, len(files))

	for _, v := range files {
		info, err := os.Stat(v)
		if err != nil {
			return nil, errors.Wrap(err, "look at a TLS file")
		}

		found = append(found, stamp{modified: info.ModTime(), size: info.Size()})
	}

	return found, nil
}
