package headreader_test

import (
	"bufio"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/headreader"
)

// Guards against a response with an invalid status that is taken for an interim one, for whose end a caller waits, or for a final one.
func TestOnlyValidStatusesAreRead(t *testing.T) {
	for statuses, want := range map[string]int{
		"200": 200, "599": 599, "100 204": 204, "103 100 404": 404,
		"000 200": 0, "099 200": 0, "103 000 200": 0, "600": 0, "999": 0,
	} {
		t.Run(statuses, func(t *testing.T) {
			var text strings.Builder
			for status := range strings.FieldsSeq(statuses) {
				text.WriteString("HTTP/1.1 " + status + " Text\r\n\r\n")
			}

			response, err := headreader.ReadResponse(bufio.NewReader(strings.NewReader(text.String())), nil)
			if want == 0 {
				assert.Assert(t, errors.Is(err, headreader.ErrInvalidStatus), "%v", err)

				return
			}

			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, want)
			assert.NilError(t, response.Body.Close())
		})
	}
}
