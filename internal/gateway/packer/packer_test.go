package packer_test

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
)

func pack(t testing.TB, value any) packer.Payload {
	t.Helper()

	payload, err := packer.Pack(value)
	assert.NilError(t, err)

	return payload
}

// incompressibleText returns text that hardly compresses.
func incompressibleText(length int) string {
	var text strings.Builder

	state := uint32(7)
	for range length {
		state = state*1664525 + 1013904223
		text.WriteByte(byte('!' + state>>24%90))
	}

	return strings.NewReplacer(`"`, "x", `\`, "x").Replace(text.String())
}

func TestParcelsComeWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := incompressibleText(rapid.IntRange(0, 200_000).Draw(t, "length"))

		payload, err := packer.Pack(want)
		assert.NilError(t, err)

		var assembler packer.Assembler

		for {
			whole, done, err := assembler.Add(payload.Page(assembler.Progress()))
			assert.NilError(t, err)

			if !done {
				// A repeated page changes nothing.
				if rapid.Bool().Draw(t, "twice") {
					_, _, err := assembler.Add(payload.Page(packer.Progress{ID: payload.ID, Bytes: 1}))
					assert.NilError(t, err)
				}

				continue
			}

			var got string
			assert.NilError(t, whole.Unpack(&got))
			assert.Equal(t, got, want)
			assert.Equal(t, assembler.Progress(), packer.Progress{})

			return
		}
	})
}

// A peer switches to a newer payload, or another peer sends its own, when half of a payload has been received. Pages
// joined only by their offset would form a configuration that nobody wrote.
func TestPagesOfTwoParcelsAreNotJoined(t *testing.T) {
	first, second := pack(t, incompressibleText(60_000)), pack(t, incompressibleText(60_001))

	var assembler packer.Assembler

	_, done, err := assembler.Add(first.Page(packer.Progress{}))
	assert.NilError(t, err)
	assert.Assert(t, !done)

	held := assembler.Progress()
	assert.Equal(t, second.Page(held).Offset, 0, "the other payload starts over")

	_, done, err = assembler.Add(second.Page(packer.Progress{ID: second.ID, Bytes: held.Bytes}))
	assert.NilError(t, err)
	assert.Assert(t, !done)
	assert.Equal(t, assembler.Progress(), held, "a later page of the other payload is ignored")

	_, _, err = assembler.Add(second.Page(held))
	assert.NilError(t, err)
	assert.Equal(t, assembler.Progress().ID, second.ID)
}

func TestBrokenPagesAreErrors(t *testing.T) {
	var assembler packer.Assembler

	_, _, err := assembler.Add(packer.Page{ID: 7, Size: 3, Data: []byte("abc")})
	assert.ErrorContains(t, err, "payload does not match its ID")

	_, _, err = assembler.Add(packer.Page{ID: 7, Size: 1 << 30})
	assert.ErrorContains(t, err, "bytes")

	_, _, err = assembler.Add(packer.Page{ID: 7, Size: 3, Offset: -1})
	assert.ErrorContains(t, err, "page at -1")

	assert.ErrorContains(t, packer.Payload{}.Unpack(new(string)), "empty")
}

func TestLongParcelsAreCompressed(t *testing.T) {
	page := pack(t, strings.Repeat("route ", 100_000)).Page(packer.Progress{})
	assert.Assert(t, page.IsLast())
	assert.Assert(t, page.Size < 60_000, "%d bytes", page.Size)
}

// Guards against nodes that end or take endless memory for a payload that a peer sends.
func FuzzPages(f *testing.F) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for _, seed := range []string{
		"", "p", "c", "x{}", "p{}", "p" + deep, `p{"upstreams":` + deep + `}`, `p{"upstreams":[` + deep + `]}`, `p{"upstreams":[{"slots":1e400}]}`, `p{"upstreams":{}}`,
		`p{"upstreams":[{"id":"a","slots":9223372036854775808}]}`, `p{"nodes":[{"capacity":1e400}],"revision":1e30}`, `p{"more":` + deep + `}`, `p{"upstreams":[`, "p7", "pnull", "c\xff\xff\xff",
		string(deflated(`{"more":"` + strings.Repeat("x", 64<<20))), string(deflated(strings.Repeat(" ", 1<<20))), string(deflated(`{"upstreams":[` + strings.Repeat(`{"id":"a"},`, 100_000) + `{}]}`)),
	} {
		f.Add([]byte(seed), len(seed), 0)
	}

	f.Add([]byte("p{}"), 1<<62, 0)
	f.Add([]byte("p{}"), -1, -1)
	f.Add([]byte("p{}"), 1, 0)

	f.Fuzz(func(t *testing.T, data []byte, size, offset int) {
		var assembler packer.Assembler

		payload, complete, err := assembler.Add(packer.Page{ID: xxhash.Sum64(data), Size: size, Offset: offset, Data: data})
		if err != nil || !complete {
			return
		}

		var (
			registry      cataloguer.Registry
			delta         cataloguer.RegistryDelta
			configuration cataloguer.Configuration
		)

		for _, value := range []any{&registry, &delta, &configuration} {
			_ = payload.Unpack(value)
		}

		_ = registry.Digest()
		_ = registry.Apply(&delta)
	})
}

// deflated returns a compressed payload.
func deflated(text string) []byte {
	packed := bytes.NewBuffer([]byte("c"))

	// A buffer takes all, and the level is one of the package's.
	writer, _ := flate.NewWriter(packed, flate.BestSpeed)
	_, _ = writer.Write([]byte(text))
	_ = writer.Close()

	return packed.Bytes()
}
