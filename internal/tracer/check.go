package tracer

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of a trace. They keep a wrong unit, such as nanoseconds, from passing as a trace of years.
const (
	MaxAtMS     = 7 * 24 * 60 * 60 * 1000
	MaxTokens   = 1_000_000
	MaxKeyBytes = 200
	MaxPath     = 1000
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	// textPattern keeps paths and keys usable in request lines and headers.
	textPattern = regexp.MustCompile(`^[!-~]*$`)
)

// Check returns an error that names the first field out of range, its value and what would be right.
func (e Event) Check() error {
	if e.AtMS < 0 || e.AtMS > MaxAtMS {
		return errors.Newf("at_ms is %d; write 0 to %d milliseconds since the start", e.AtMS, int64(MaxAtMS))
	}

	for _, v := range []struct{ field, value string }{
		{"service", e.Service}, {"class", e.Class}, {"organisation", e.Organisation},
	} {
		if !namePattern.MatchString(v.value) {
			return errors.Newf("%s is %q; write a name of 1 to 100 letters, digits, dots, dashes or underscores", v.field, v.value)
		}
	}

	if err := e.checkWork(); err != nil {
		return err
	}

	if len(e.IdempotencyKey) > MaxKeyBytes || !textPattern.MatchString(e.IdempotencyKey) {
		return errors.Newf("idempotency_key is %q; write at most %d printable ASCII characters without spaces", e.IdempotencyKey, MaxKeyBytes)
	}

	return nil
}

// checkWork checks that the event is for an engine or for a plain service, and not a mixture.
func (e Event) checkWork() error {
	for _, v := range []struct {
		field string
		value int
	}{{"prompt_tokens", e.PromptTokens}, {"answer_tokens", e.AnswerTokens}} {
		if e.Path == "" && (v.value < 1 || v.value > MaxTokens) {
			return errors.Newf("%s is %d; write 1 to %d, or a path for a plain service", v.field, v.value, MaxTokens)
		}

		if e.Path != "" && v.value != 0 {
			return errors.Newf("%s is %d beside path %q; a plain service has no tokens, so remove one of the two", v.field, v.value, e.Path)
		}
	}

	if e.Path == "" {
		return nil
	}

	if len(e.Path) > MaxPath || !textPattern.MatchString(e.Path) || !strings.HasPrefix(e.Path, "/") {
		return errors.Newf("path is %q; write at most %d printable ASCII characters, the first a slash", e.Path, MaxPath)
	}

	return nil
}

// IsEngine says whether the event asks an engine; all others ask plain services.
func (e Event) IsEngine() bool {
	return e.Path == ""
}
