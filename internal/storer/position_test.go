package storer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/storer"
)

// Guards against a revision that a store gave out again being taken for the one of the lost history.
func TestPositionsOfALaterEraAreLater(t *testing.T) {
	for _, test := range []struct {
		older, newer storer.Position
	}{
		{storer.Position{}, storer.Position{Revision: 1}},
		{storer.Position{Revision: 900}, storer.Position{Era: 1, Revision: 3}},
		{storer.Position{Era: 4, Revision: 900}, storer.Position{Era: 5, Revision: 3}},
		{storer.Position{Era: 4, Revision: 3}, storer.Position{Era: 4, Revision: 4}},
		{storer.Position{Revision: 900}, storer.Position{Resets: 1, Revision: 3}},
		{storer.Position{Resets: 3, Revision: 900}, storer.Position{Era: 1, Revision: 3}},
	} {
		assert.Assert(t, test.older.IsBefore(test.newer), "%v", test)
		assert.Assert(t, !test.newer.IsBefore(test.older), "%v", test)
		assert.Assert(t, !test.newer.IsBefore(test.newer), "%v", test)
		assert.Assert(t, test.newer.IsKnown())
	}

	assert.Assert(t, !storer.Position{}.IsKnown())
}

// Guards against answers that came late, or through something that drops headers, being taken for answers of the present era.
func TestAnswersOfNoOrOfAnEarlierEraAreNotBelieved(t *testing.T) {
	var eras storer.Eras

	for range 2 {
		era, err := eras.Observe("")
		assert.NilError(t, err)
		assert.Equal(t, era, int64(0))
	}

	for _, text := range []string{"3", "3", "5"} {
		_, err := eras.Observe(text)
		assert.NilError(t, err)
	}

	_, err := eras.Observe("4")
	assert.ErrorIs(t, err, storer.ErrEarlierEra)

	for _, text := range []string{"", "0", "-7", "six", "6.5"} {
		_, err := eras.Observe(text)
		assert.ErrorIs(t, err, storer.ErrEraUnknown)
	}

	assert.Equal(t, eras.Latest(), int64(5))
}
