package throttler

import (
	"math"
	"strconv"
)

// ParseRate reads the rate that an upstream names in a header: a decimal number of requests a second. An empty text names
// none. ok is false if the text can't be read.
func ParseRate(text string) (rate float64, named, ok bool) {
	if text == "" {
		return 0, false, true
	}

	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, true, false
	}

	return rate, true, true
}
