package administrator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

// keySum is the SHA-256 sum of an operator's key.
type keySum [sha256.Size]byte

func decodeSums(hashes []string) ([]keySum, error) {
	sums := make([]keySum, 0, len(hashes))

	for i, v := range hashes {
		decoded, err := hex.DecodeString(v)
		if err != nil || len(decoded) != sha256.Size {
			// The value isn't shown: a wrong hash may be the key itself.
			return nil, errors.Newf("operator key hash %d is no SHA-256 sum", i+1)
		}

		sums = append(sums, keySum(decoded))
	}

	return sums, nil
}

// authenticated lets a request through to next only with an operator's key.
func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || key == "" {
			s.writeError(w, r, classifier.New(classifier.Unauthenticated, "send an operator's key as bearer key in the Authorization header"))
			return
		}

		if !s.known(key) {
			s.writeError(w, r, classifier.New(classifier.Unauthenticated, "the bearer key belongs to no operator of this node"))
			return
		}

		next.ServeHTTP(w, r)
	})
}

// known compares with every sum in constant time, so that the time of the
// answer tells neither how much of a key is right nor whose key it is.
func (s *Server) known(key string) bool {
	sum := sha256.Sum256([]byte(key))
	found := 0

	for i := range s.sums {
		found |= subtle.ConstantTimeCompare(sum[:], s.sums[i][:])
	}

	return found == 1
}
