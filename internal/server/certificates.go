package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"quincepath.example/quincepath/internal/certifier"
	"quincepath.example/quincepath/internal/headreader"
)

// loadCertificates reads the files that the settings name, if they name any.
func (n *Node) loadCertificates() error {
	files := n.settings.TLS
	if files.CertificateFile == "" {
		return nil
	}

	certificates, err := certifier.New(certifier.Options{
		CertificateFile: files.CertificateFile,
		KeyFile:         files.KeyFile,
		ClientCAFile:    files.ClientCAFile,
		Logger:          n.logger,
	})
	if err != nil {
		return err
	}

	n.certificates = certificates

	return nil
}

// checksPeers says whether connections between nodes are encrypted and checked by certificate.
func (n *Node) checksPeers() bool {
	return n.certificates != nil && n.settings.TLS.ClientCAFile != ""
}

// entryTransport reaches other nodes' addresses for callers.
func (n *Node) entryTransport() http.RoundTripper {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = headreader.MaxBytes

	if n.checksPeers() {
		transport.DialTLSContext = n.dialEntry
	}

	return transport
}

// dialEntry opens a checked connection; the authorities are read for each, since they can change.
func (n *Node) dialEntry(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}

	config := n.certificates.PeerClientConfig()
	config.ServerName = host

	return (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
}
