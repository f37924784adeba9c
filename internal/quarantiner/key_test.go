package quarantiner_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/quarantiner"
)

func TestKeyTellsRequestsApart(t *testing.T) {
	key := quarantiner.KeyOf("salon", "POST", "shop.example", "/chat/1?x=2", []byte("body"))

	assert.Equal(t, quarantiner.KeyOf("salon", "POST", "shop.example", "/chat/1?x=2", []byte("body")), key)

	others := []quarantiner.Key{
		quarantiner.KeyOf("studio", "POST", "shop.example", "/chat/1?x=2", []byte("body")),
		quarantiner.KeyOf("salon", "PUT", "shop.example", "/chat/1?x=2", []byte("body")),
		quarantiner.KeyOf("salon", "POST", "desk.example", "/chat/1?x=2", []byte("body")),
		quarantiner.KeyOf("salon", "POST", "shop.example", "/chat/1?x=3", []byte("body")),
		quarantiner.KeyOf("salon", "POST", "shop.example", "/chat/1?x=2", []byte("bodies")),
		// The same bytes, split at another place.
		quarantiner.KeyOf("salon", "POST", "shop.example/chat", "/1?x=2", []byte("body")),
	}
	for _, other := range others {
		assert.Assert(t, other != key)
	}
}

func TestKeyIsReadBack(t *testing.T) {
	key := quarantiner.KeyOf("salon", "POST", "shop.example", "/chat/1", nil)

	data, err := json.Marshal(key)
	assert.NilError(t, err)

	var read quarantiner.Key
	assert.NilError(t, json.Unmarshal(data, &read))
	assert.Equal(t, read, key)

	for _, text := range []string{`"ab"`, `"` + "zz" + key.String()[2:] + `"`} {
		assert.Assert(t, json.Unmarshal([]byte(text), &read) != nil, text)
	}
}

func TestPartsAreThoseThatOthersMayShare(t *testing.T) {
	assert.Equal(t, len(quarantiner.NewParts("salon", nil)), 0)
	assert.Equal(t, len(quarantiner.NewParts("salon", []string{"own"})), 0)

	parts := quarantiner.NewParts("salon", []string{"a", "", "b", "own"})
	assert.Equal(t, len(parts), 2)
	assert.Equal(t, parts[1].ID, "b")
	assert.Equal(t, parts[0].Key, quarantiner.NewParts("salon", []string{"x", "a", "own"})[1].Key)
	assert.Assert(t, parts[0].Key != quarantiner.NewParts("studio", []string{"a", "own"})[0].Key)
	assert.Assert(t, parts[0].Key != parts[1].Key)
}
