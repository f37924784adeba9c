package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"quincepath.example/quincepath/pkg/classifier"
)

// Trusting returns settings for connections to servers whose certificate an
// authority of the PEM file signed. Its errors carry classifier.InvalidUsage.
func Trusting(file string) (*tls.Config, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidUsage, "can't read the authority's file %s", file)
	}

	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, classifier.New(classifier.InvalidUsage, "%s holds no certificate in PEM", file)
	}

	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
