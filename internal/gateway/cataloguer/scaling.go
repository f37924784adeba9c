package cataloguer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// maxUpstreams is more than any failure domain has. Sums and products of it with the number of domains stay in range.
const maxUpstreams = 1 << 20

// Scaling defines how many upstreams may be ordered for a service, and their prices.
type Scaling struct {
	// Minimum and Maximum bound the number of upstreams in one failure domain, regular and spot ones together; 0 <=
	// Minimum <= Maximum.
	Minimum int `json:"minimum"`
	Maximum int `json:"maximum"`
	// BootTime is the time from an order until the upstream serves requests.
	BootTime time.Duration `json:"boot"`
	// SpotPrice is the price of a spot upstream as a fraction of a regular one's, at least 0; nil if there are no
	// spot upstreams.
	SpotPrice *float64 `json:"spot_price,omitempty"`
	// DomainPrices maps failure domains to the price of one regular upstream per second; never negative.
	DomainPrices map[string]float64 `json:"domain_prices,omitempty"`
}

// HasSpot reports whether spot upstreams can be ordered; false for nil.
func (s *Scaling) HasSpot() bool {
	return s != nil && s.SpotPrice != nil
}

// DropInvalidScaling removes contradictory scaling settings and returns an error with the path of each. The service
// keeps its present upstreams, and its routes and all keys stay in force.
func (c *Configuration) DropInvalidScaling() []error {
	var problems []error

	for i := range c.Services {
		service := &c.Services[i]
		if service.Scaling == nil {
			continue
		}

		if err := service.Scaling.validate(); err != nil {
			problems = append(problems, errors.Wrapf(err, "services.%s.scaling", service.Name))
			service.Scaling = nil
		}
	}

	return problems
}

func (s *Scaling) validate() error {
	switch {
	case s.Minimum < 0:
		return errors.Newf("minimum: %d is negative", s.Minimum)
	case s.Maximum < s.Minimum:
		return errors.Newf("maximum: %d is below the minimum %d", s.Maximum, s.Minimum)
	case s.Maximum > maxUpstreams:
		return errors.Newf("maximum: %d is above %d", s.Maximum, maxUpstreams)
	case s.BootTime < 0:
		return errors.Newf("boot time: %s is negative", s.BootTime)
	case s.SpotPrice != nil && *s.SpotPrice < 0:
		return errors.Newf("spot price: %g is negative", *s.SpotPrice)
	}

	for domain, price := range s.DomainPrices {
		if price < 0 {
			return errors.Newf("price in %s: %g is negative", domain, price)
		}
	}

	return nil
}
