package server

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// bearerHash returns the SHA-256 sum of the request's bearer key in hexadecimal, or "".
func bearerHash(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ""
	}

	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}

// authenticate finds the organisation that a bearer key belongs to.
func authenticate(r *http.Request, service configurer.Service) (configurer.Organisation, *classifier.Error) {
	hash := bearerHash(r)
	if hash == "" {
		return configurer.Organisation{}, classifier.New(classifier.Unauthenticated, "send a bearer key in the Authorization header")
	}

	for _, organisation := range service.Organisations {
		if slices.Contains(organisation.KeyHashes, hash) {
			return organisation, nil
		}
	}

	return configurer.Organisation{}, classifier.New(classifier.Unauthenticated, "the bearer key belongs to no organisation of %q", service.Name)
}

// authenticateAny accepts a bearer key of any organisation in the tree.
func authenticateAny(r *http.Request, snapshot configurer.Snapshot) *classifier.Error {
	var failure *classifier.Error

	for _, service := range snapshot.Services {
		if _, failure = authenticate(r, service); failure == nil {
			return nil
		}
	}

	if failure == nil {
		failure = classifier.New(classifier.SettingsUnavailable, "the node has no settings tree yet")
	}

	return failure
}
