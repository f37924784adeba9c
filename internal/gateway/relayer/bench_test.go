package relayer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// discardedResponse is a response that nobody reads. It implements http.ResponseWriter and http.Flusher.
type discardedResponse struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardedResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardedResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardedResponse) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardedResponse) Flush() {}

func benchmarkRelay(b *testing.B, path string, respond http.HandlerFunc) {
	b.Helper()

	w := newFixture(b, 10)
	w.add(respond)
	b.ReportAllocs()

	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
		request.Host = "shop.example"
		request.Header.Set(names.RequestID, "id-1")
		request.Header.Set("Authorization", "Token k1")
		w.relayer.ServeHTTP(&discardedResponse{header: make(http.Header)}, request)
	}
}

// BenchmarkShortAnswer relays short answers.
func BenchmarkShortAnswer(b *testing.B) {
	benchmarkRelay(b, "/quote/1", respondWith(http.StatusOK, "answer"))
}

// BenchmarkStream relays streams of 200 events.
func BenchmarkStream(b *testing.B) {
	text := strings.Repeat("data: piece\n\n", 200)

	benchmarkRelay(b, "/note/1", func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(rw, text)
	})
}
