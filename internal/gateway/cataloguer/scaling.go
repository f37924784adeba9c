package cataloguer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Scaling says which numbers of upstreams can be ordered for a service, and what they cost.
type Scaling struct {
	// Minimum and Maximum bound the upstreams of one failure domain, regular and spot ones together; 0 <= Minimum <= Maximum.
	Minimum int `json:"minimum"`
	Maximum int `json:"maximum"`
	// BootTime is the time from an order to an upstream that serves.
	BootTime time.Duration `json:"boot"`
	// SpotPrice is that of a spot upstream as a part of a regular one's, from 0 on; nil where there are none.
	SpotPrice *float64 `json:"spot_price,omitempty"`
	// DomainPrices are the prices of one regular upstream for a second, by failure domain; never negative.
	DomainPrices map[string]float64 `json:"domain_prices,omitempty"`
}

// DropInvalidScaling takes away the scaling that no order could follow, and returns an error with the place of each. What
// stands of such a service is left as it is; its routes and all keys hold.
func (c *Configuration) DropInvalidScaling() []error {
	var problems []error

	for i := range c.Services {
		service := &c.Services[i]
		if service.Scaling == nil {
			continue
		}

		if err := service.Scaling.check(); err != nil {
			problems = append(problems, errors.Wrapf(err, "services.%s.scaling", service.Name))
			service.Scaling = nil
		}
	}

	return problems
}

func (s *Scaling) check() error {
	switch {
	case s.Minimum < 0:
		return errors.Newf("minimum: %d is negative", s.Minimum)
	case s.Maximum < s.Minimum:
		return errors.Newf("maximum: %d is below the minimum %d", s.Maximum, s.Minimum)
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
