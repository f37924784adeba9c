package factory_test

import (
	"bytes"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/factory"
)

func TestLoggerWritesOneLinePerEvent(t *testing.T) {
	tests := map[string]string{
		"keyvalue": "time=T level=warn event=upstream_lost upstream=e1 reason=\"no \\\"answer\\\"\\nat all\" wait=1.5 empty= names=\"[\\\"a\\\",\\\"b\\\"]\"\n",
		"json":     `{"time":"T","level":"warn","event":"upstream_lost","upstream":"e1","reason":"no \"answer\"\nat all","wait":1.5,"empty":"","names":["a","b"]}` + "\n",
	}

	for format, want := range tests {
		t.Run(format, func(t *testing.T) {
			var failures bytes.Buffer

			f := factory.Factory{Streams: factory.Streams{Err: &failures}}
			logger := f.Logger("info", format)
			logger.Debug().Msg("hidden")
			logger.Warn().Str("upstream", "e1").Str("reason", "no \"answer\"\nat all").Float64("wait", 1.5).
				Str("empty", "").Strs("names", []string{"a", "b"}).Msg("upstream_lost")

			got := regexp.MustCompile(`\d{4}-\d\d-\d\dT[^ "]+`).ReplaceAllString(failures.String(), "T")
			assert.Equal(t, got, want)
		})
	}
}
