package bencher

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/tracer"
)

const (
	// longestLength times the mean is where prompts and answers are cut.
	longestLength = 20
	// promptSpread is the sigma of the log-normal distribution of prompts.
	promptSpread = 0.5
)

// Generate returns the trace of a scenario, sorted by arrival. The same seed gives the same trace.
func Generate(shop Shop, scenario Scenario, seed uint64) []tracer.Event {
	var events []tracer.Event

	for i := range shop.Demands {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		events = append(events, arrivals(shop, shop.Demands[i], scenario, random)...)
	}

	slices.SortStableFunc(events, func(a, b tracer.Event) int { return int(a.AtMS - b.AtMS) })

	return events
}

// arrivals draws a Poisson stream at the highest rate and keeps each arrival with the chance that its time has.
func arrivals(shop Shop, demand Demand, scenario Scenario, random *rand.Rand) []tracer.Event {
	var events []tracer.Event

	highest := 0.0
	for at := time.Duration(0); at < scenario.length(); at += time.Second {
		highest = max(highest, rate(shop, demand, scenario, at))
	}

	at := time.Duration(0)

	for {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= scenario.length() {
			return events
		}

		if random.Float64()*highest > rate(shop, demand, scenario, at) {
			continue
		}

		events = append(events, draw(shop, demand, scenario, at, random))
	}
}

// rate is the number of requests a second of one class at a time.
func rate(shop Shop, demand Demand, scenario Scenario, at time.Duration) float64 {
	offered := demand.Share * scenario.Load
	if shop.Settings.Services[demand.Service].Kind == configurer.KindPlain {
		offered *= plainLoad
	}

	for _, b := range scenario.Bursts {
		if b.Class == demand.Class && at >= b.From && at < b.To {
			offered = b.Capacities
		}
	}

	return offered * shop.capacity(demand.Service) / shop.work(demand)
}

func draw(shop Shop, demand Demand, scenario Scenario, at time.Duration, random *rand.Rand) tracer.Event {
	service := shop.Settings.Services[demand.Service]
	event := tracer.Event{
		AtMS:          at.Milliseconds(),
		Service:       demand.Service,
		Class:         demand.Class,
		Organisation:  drawOrganisation(random),
		PromptTokens:  lognormal(demand.Prompt, promptSpread, random),
		AnswerTokens:  lognormal(demand.Answer, demand.Spread, random),
		NotRepeatable: !service.Classes[demand.Class].Repeatable,
		ComeBack:      true,
	}

	if slices.Contains(scenario.Crowd.Classes, demand.Class) {
		event.ComeBack = scenario.Crowd.Obey
	}

	if service.Kind == configurer.KindPlain {
		event.Path = "/" + demand.Class
	}

	return event
}

func drawOrganisation(random *rand.Rand) string {
	left := random.Float64()

	for i, share := range organisationShares {
		left -= share
		if left < 0 {
			return organisationName(i)
		}
	}

	return organisationName(len(organisationShares) - 1)
}

// lognormal draws a length with the given mean, at least 1 and at most longestLength means.
func lognormal(mean, sigma float64, random *rand.Rand) int {
	if mean == 0 {
		return 0
	}

	value := math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*random.NormFloat64())

	return int(max(1, min(value, longestLength*mean)))
}
