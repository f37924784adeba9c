package relayer

import (
	"math"
	"net/http"
	"strconv"
)

// parseRateLimit returns the number of requests per second that an upstream accepts from all nodes together, as named in
// its response, or 0 if it names none.
func parseRateLimit(header http.Header, name string) float64 {
	rate, err := strconv.ParseFloat(header.Get(name), 64)
	if err != nil || !(rate > 0) || math.IsInf(rate, 1) {
		return 0
	}

	return rate
}
