package broker

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"
)

// fill sets all fields that are sent to values other than zero.
func fill(v reflect.Value) {
	switch v.Kind() { //nolint:exhaustive // Messages have values of these kinds only.
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() && v.Type().Field(i).Tag.Get("json") != "-" {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
		fill(v.Index(1))
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.25)
	case reflect.Uint64:
		// A float would round it.
		v.SetUint(math.MaxUint64)
	default:
		v.SetInt(3)
	}
}

// Guards against a field that is added to a message and that setChoose or setReports doesn't know: each message would then be decoded
// at the price of both ways.
func TestAllFieldsAreDecodedWithoutReflection(t *testing.T) {
	var ask, gotAsk chooseParams

	fill(reflect.ValueOf(&ask).Elem())

	data, err := json.Marshal(ask)
	assert.NilError(t, err)
	assert.Assert(t, setChoose(&gotAsk, gjson.ParseBytes(data)), "%s", data)
	assert.Assert(t, reflect.DeepEqual(gotAsk, ask), "%+v", gotAsk)

	var batch, gotBatch reportParams

	fill(reflect.ValueOf(&batch).Elem())

	data, err = json.Marshal(batch)
	assert.NilError(t, err)
	assert.Assert(t, setReports(&gotBatch, gjson.ParseBytes(data)), "%s", data)
	assert.Assert(t, reflect.DeepEqual(gotBatch, batch), "%+v", gotBatch)
}

// FuzzDecoding checks that messages are decoded as encoding/json does, from nodes of any release and from broken ones.
func FuzzDecoding(f *testing.F) {
	for _, seed := range []string{
		`{"s":"chat/0","w":{"id":"r","p":1,"c":[{"i":"a","t":5}],"n":9,"t":100,"l":5,"x":["u1"]}}`, `{"w":{"id":"\u00e9\ud800","p":1e2}}`,
		`{"r":[{"s":"chat/0","i":"r","f":true,"l":{"r":1,"w":2,"t":130}},{"e":0,"p":{"n":2,"m":0.5,"l":1}}]}`, `{"r":null}`, `{"r":[null]}`,
		`{"S":"upper","w":{"ID":"x"}}`, `{"w":{"c":[]},"f":0}`, `{"r":[{"b":{"u":"u","w":{"id":"r"},"a":true,"r":false},"e":-1}]}`, `[]`, "{\"s\":\"\xff\"}",
		`{"s":"a","later":{"x":[1]}}`, `{"r":[{"t":1e400}]}`, `{"r":[{"e":99999999999999999999}]}`, `{"w":{"id":"a"},"w":{"p":3}}`,
	} {
		f.Add([]byte(seed))
	}

	f.Fuzz(func(t *testing.T, message []byte) {
		var ask chooseParams

		wantErr := json.Unmarshal(message, &ask)
		gotAsk, err := decodeChoose(message)
		assert.Equal(t, err == nil, wantErr == nil, "%v, want %v", err, wantErr)

		if err == nil {
			assert.Assert(t, reflect.DeepEqual(gotAsk, ask), "%+v, want %+v", gotAsk, ask)
		}

		var batch reportParams

		wantErr = json.Unmarshal(message, &batch)
		gotBatch, err := decodeReports(message)
		assert.Equal(t, err == nil, wantErr == nil, "%v, want %v", err, wantErr)

		if err == nil {
			assert.Assert(t, reflect.DeepEqual(gotBatch, batch), "%+v, want %+v", gotBatch, batch)
		}
	})
}
