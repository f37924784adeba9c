package configurer

import "fmt"

// shareSlack allows for shares such as 0.1 that binary numbers can't hold exactly.
const shareSlack = 1e-9

// Fault is a broken rule that joins several fields of a service.
type Fault struct {
	// Path leads from the service to the field, such as classes, counter, hedge.
	Path []string
	// Text says what the value is and what would be right.
	Text string
}

// Faults returns the broken rules that join several fields; those of single fields stand in their tags.
func (s Service) Faults() []Fault {
	var (
		faults []Fault
		sum    float64
	)

	if _, ok := s.Classes[s.DefaultClass]; !ok && s.DefaultClass != "" {
		text := fmt.Sprintf("is %q; name one of the service's classes", s.DefaultClass)
		faults = append(faults, Fault{Path: []string{"default_class"}, Text: text})
	}

	for k, v := range s.Classes {
		sum += v.GuaranteedShare

		if v.Hedge && !v.Repeatable {
			text := "is true; only a class with repeatable: true may hedge"
			faults = append(faults, Fault{Path: []string{"classes", k, "hedge"}, Text: text})
		}

		if v.TokenGap > 0 && s.Kind == KindPlain {
			text := fmt.Sprintf("is %s; a plain service has no tokens, so remove it", v.TokenGap)
			faults = append(faults, Fault{Path: []string{"classes", k, "token_gap"}, Text: text})
		}

		if v.OrganisationTokensPerSecond > 0 && s.Kind == KindPlain {
			text := fmt.Sprintf("is %g; a plain service has no tokens, so limit organisation_requests_per_second instead", v.OrganisationTokensPerSecond)
			faults = append(faults, Fault{Path: []string{"classes", k, "organisation_tokens_per_second"}, Text: text})
		}
	}

	faults = append(faults, s.desiredFaults()...)

	if sum > 1+shareSlack {
		text := fmt.Sprintf("have guaranteed_share values with the sum %.3g; keep it at 1 or less", sum)
		faults = append(faults, Fault{Path: []string{"classes"}, Text: text})
	}

	return faults
}

// desiredFaults refuses a desired state that would never be ordered: an operator would wait for it.
func (s Service) desiredFaults() []Fault {
	if s.Kind != KindPlain {
		return nil
	}

	const text = "is given; a plain service takes no orders, so remove it"

	var faults []Fault

	if !s.Desired.IsEmpty() {
		faults = append(faults, Fault{Path: []string{"desired"}, Text: text})
	}

	for k, v := range s.Upstreams {
		if !v.Desired.IsEmpty() {
			faults = append(faults, Fault{Path: []string{"upstreams", k, "desired"}, Text: text})
		}
	}

	return faults
}
