package storer_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/storer"
)

// Guards against a value that is nested too deeply for the decoder taking what stands beside it along, or leaving no JSON.
func FuzzLimitDepth(f *testing.F) {
	for _, seed := range []string{
		`{"a":[[[1]]],"b":"[[["}`, `["\\",{"\"[":{"x":"\\\"]"}}]`, `[]`, `7`, `"`, `"\`, `]]][[[`, `{"a":{"b":{"c":{"d":1}}}}`,
		strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000), strings.Repeat(`{"":`, 100_000), "\xff[\xc3\x28]",
	} {
		f.Add([]byte(seed))
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		limited := storer.LimitDepth(data, 3)
		if !json.Valid(data) {
			return
		}

		assert.Assert(t, json.Valid(limited), "%s", limited)
		assert.Assert(t, bytes.Equal(storer.LimitDepth(data, 1<<30), data))
		assert.Assert(t, bytes.Equal(storer.LimitDepth(limited, 3), limited))
	})
}

func TestValuesBelowTheLimitAreNull(t *testing.T) {
	assert.Equal(t, string(storer.LimitDepth([]byte(`{"a":[{"b":["]"]},1,[2,{}]],"c":"{[\"["}`), 2)), `{"a":[null,1,null],"c":"{[\"["}`)
}

// Guards against decoders that end or take endless memory for what a store answers.
func FuzzDecodePage(f *testing.F) {
	for _, seed := range []string{
		`{"items":[{"key":"a","value":"YQ==","revision":3}],"more":true}`, `{"items":[{"key":"a","value":7}],"more":true}`, `{"items":{},"more":true}`,
		`{"items":[null,[],"",1e400,{"key":1e400}]}`, `{"Items":[7]}`, `{"items":[{"key":"a"}],"items":[7]}`, `[]`, `null`, `{"more":7,"items":[7]}`,
		`{"items":[` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `,{"key":"b"}]}`,
	} {
		f.Add([]byte(seed))
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		var page struct {
			Items []storer.Item `json:"items"`
			More  bool          `json:"more"`
		}

		if storer.DecodePage(data, &page, map[string]*[]storer.Item{"items": &page.Items}) != nil {
			return
		}

		for _, item := range page.Items {
			_, err := item.Data()
			assert.Assert(t, err != nil || item.Validate() == nil)
		}

		_, latest, err := storer.Newest(page.Items)
		assert.Assert(t, err != nil || latest >= 0 && latest <= storer.MaxWholeNumber)
	})
}
