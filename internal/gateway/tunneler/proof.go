package tunneler

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"net"
	"net/http"
	"strings"

	"quincepath.example/quincepath/internal/gateway/dialer"
)

const (
	// authScheme is the authentication scheme of challenges and credentials.
	authScheme = "Quincepath"
	// nonceBytes is the length of the random values that both ends sign.
	nonceBytes = 16
)

// Roles keep a proof of one end from being played back by the other.
const (
	roleServer = "server"
	roleClient = "client"
)

// challengeKey is the context key of a connection's nonce.
type challengeKey struct{}

// connContext prepares a connection and adds a nonce to its context.
func (t *Tunneler) connContext(ctx context.Context, c net.Conn) context.Context {
	if started, ok := c.(*startedConn); ok {
		c = started.Conn
	}

	t.options.Accepted(c)

	return context.WithValue(ctx, challengeKey{}, newNonce())
}

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(nonce)

	return base64.RawStdEncoding.EncodeToString(nonce)
}

// proof signs the nonces of both ends and what is asked for, without sending the credential.
func proof(credential, role, node string, upstream dialer.Upstream, serverNonce, clientNonce string) string {
	mac := hmac.New(sha256.New, []byte(credential))
	// Writes to a hash never fail.
	_, _ = mac.Write([]byte(strings.Join([]string{"tunnel", role, node, upstream.ID, upstream.Address, serverNonce, clientNonce}, "\x00")))

	return base64.RawStdEncoding.EncodeToString(mac.Sum(nil))
}

// encodeParameters returns the value of a header field with the scheme and its parameters.
func encodeParameters(parameters ...string) string {
	return authScheme + " " + strings.Join(parameters, " ")
}

// parseParameters returns the given number of parameters of a header field, or false if it hasn't that many.
func parseParameters(value string, count int) ([]string, bool) {
	fields := strings.Fields(value)
	if len(fields) != count+1 || fields[0] != authScheme {
		return nil, false
	}

	return fields[1:], true
}

// authenticate returns the name of the peer that sent the request. It answers the request itself if the peer hasn't
// proved that it knows the credential.
func (t *Tunneler) authenticate(w http.ResponseWriter, request *http.Request, upstream dialer.Upstream) (string, bool) {
	nonce, _ := request.Context().Value(challengeKey{}).(string)
	credentials := request.Header.Get(credentialsHeader)

	if parameters, ok := parseParameters(credentials, 3); ok && nonce != "" {
		peer, clientNonce := parameters[0], parameters[1]
		want := proof(t.options.Credential, roleClient, peer, upstream, nonce, clientNonce)

		if hmac.Equal([]byte(want), []byte(parameters[2])) {
			return peer, true
		}
	}

	if parameters, ok := parseParameters(credentials, 1); ok {
		answer := proof(t.options.Credential, roleServer, "", upstream, nonce, parameters[0])
		w.Header().Set(challengeHeader, encodeParameters(nonce, answer))
		w.WriteHeader(http.StatusProxyAuthRequired)

		return "", false
	}

	t.unproven.Add(1)
	t.refusalLogger.Warn().Str("address", request.RemoteAddr).Msg("tunnel_unproven")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusProxyAuthRequired)

	return "", false
}
