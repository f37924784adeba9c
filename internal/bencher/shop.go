package bencher

import (
	"fmt"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// Shop is one deployment of the brief: its settings, its fake servers and the shape of its demand.
type Shop struct {
	Name string
	// Domains are the failure domains; entry nodes and servers are spread over them in turn.
	Domains []string
	// Hop is the one-way latency between failure domains.
	Hop time.Duration
	// Settings holds one snapshot for the whole run.
	Settings configurer.Snapshot
	// Models has one entry for each service of Settings.
	Models map[string]ServerModel
	// Demands lists the classes that the callers use.
	Demands []Demand
}

// Demand is the shape of the requests of one class.
type Demand struct {
	Service string
	Class   string
	// Share is the part of the service's offered work that comes from this class; the shares of a service add up to 1.
	Share float64
	// Prompt and Answer are mean lengths in tokens; for plain services Answer is the mean work in steps and Prompt is zero.
	Prompt float64
	Answer float64
	// Spread is the sigma of the log-normal distribution of answers.
	Spread float64
}

// plainLoad is the load of plain services as a part of the scenario's: all of
// their classes are of tier 1, for which no policy can help above capacity.
const plainLoad = 0.5

const (
	// nodes is the number of entry nodes.
	nodes = 9
	// clientHop is the one-way latency between a caller and its entry node.
	clientHop = 3 * time.Millisecond
	// sameDomainHop is the one-way latency within a failure domain.
	sameDomainHop = 200 * time.Microsecond
	// batchSlowdown is the Slowdown of all servers.
	batchSlowdown = 0.04
	// tokenGap is the stated gap between tokens of all classes of engines.
	tokenGap = 40 * time.Millisecond
	// retryBudget is the retries of each class as a part of its requests.
	retryBudget = 0.1
	// firstSlots is the first guess of requests at once, half of what an engine can run.
	firstSlots = 8
)

var engineModel = ServerModel{Batch: 16, Step: 20 * time.Millisecond, Slowdown: batchSlowdown, PrefillTokens: 0.01}
var plainModel = ServerModel{Batch: 4, Step: time.Millisecond, Slowdown: batchSlowdown}

// Barbagallo returns the grooming salons of eastern Sicily: 12 engines, 3 servers of the front application.
func Barbagallo() Shop {
	domains := []string{"catania-sala", "siracusa-sala", "acireale-sala"}
	chat := engineService("assistente", 12, domains, []configurer.Class{
		{Name: "counter_lookup", Tier: 1, Target: 300 * time.Millisecond, GapLimit: 500 * time.Millisecond, MaxWait: 5 * time.Second, Repeatable: true},
		{Name: "owner_chat", Tier: 2, Target: 2 * time.Second, GapLimit: 2 * time.Second, MaxWait: 20 * time.Second, GuaranteedShare: 0.1, Repeatable: true},
		{Name: "care_notes", Tier: 4, Target: time.Minute, GapLimit: 5 * time.Second, MaxWait: 10 * time.Minute, GuaranteedShare: 0.1, MoveUpAfter: 2 * time.Minute, Repeatable: true},
	})
	front := plainService("banco", 3, domains, []configurer.Class{
		{Name: "price_lookup", Tier: 1, Target: 300 * time.Millisecond, GapLimit: time.Second, MaxWait: 5 * time.Second, Repeatable: true},
		{Name: "booking", Tier: 1, Target: time.Second, GapLimit: 2 * time.Second, MaxWait: 10 * time.Second},
	})

	return Shop{
		Name:     "barbagallo",
		Domains:  domains,
		Hop:      1500 * time.Microsecond,
		Settings: snapshot(chat, front),
		Models:   map[string]ServerModel{"assistente": engineModel, "banco": plainModel},
		Demands: []Demand{
			{Service: "assistente", Class: "counter_lookup", Share: 0.12, Prompt: 200, Answer: 20, Spread: 0.7},
			{Service: "assistente", Class: "owner_chat", Share: 0.6, Prompt: 600, Answer: 150, Spread: 1},
			{Service: "assistente", Class: "care_notes", Share: 0.28, Prompt: 800, Answer: 250, Spread: 0.8},
			{Service: "banco", Class: "price_lookup", Share: 0.7, Answer: 50, Spread: 0.5},
			{Service: "banco", Class: "booking", Share: 0.3, Answer: 90, Spread: 0.6},
		},
	}
}

// LeGoff returns the mast spaces of Brittany: 20 engines, 4 servers of the site-access application.
func LeGoff() Shop {
	domains := []string{"brest", "quimper", "vannes", "rennes"}
	desk := engineService("redacteur", 20, domains, []configurer.Class{
		{Name: "crew_answer", Tier: 1, Target: 500 * time.Millisecond, GapLimit: 500 * time.Millisecond, MaxWait: 5 * time.Second, Repeatable: true},
		{Name: "renewal_draft", Tier: 3, Target: 10 * time.Second, GapLimit: 5 * time.Second, MaxWait: time.Minute, GuaranteedShare: 0.1},
		{Name: "contract_review", Tier: 4, Target: 5 * time.Minute, GapLimit: 10 * time.Second, MaxWait: 15 * time.Minute, GuaranteedShare: 0.1, MoveUpAfter: 5 * time.Minute, Repeatable: true},
	})
	access := plainService("acces-site", 4, domains, []configurer.Class{
		{Name: "clearance", Tier: 1, Target: 200 * time.Millisecond, GapLimit: time.Second, MaxWait: 5 * time.Second, Repeatable: true},
		{Name: "check_in", Tier: 1, Target: time.Second, GapLimit: 2 * time.Second, MaxWait: 10 * time.Second},
	})

	return Shop{
		Name:     "le_goff",
		Domains:  domains,
		Hop:      500 * time.Microsecond,
		Settings: snapshot(desk, access),
		Models:   map[string]ServerModel{"redacteur": engineModel, "acces-site": plainModel},
		Demands: []Demand{
			{Service: "redacteur", Class: "crew_answer", Share: 0.15, Prompt: 300, Answer: 40, Spread: 0.7},
			{Service: "redacteur", Class: "renewal_draft", Share: 0.55, Prompt: 1500, Answer: 200, Spread: 0.8},
			{Service: "redacteur", Class: "contract_review", Share: 0.3, Prompt: 4000, Answer: 600, Spread: 1},
			{Service: "acces-site", Class: "clearance", Share: 0.6, Answer: 35, Spread: 0.5},
			{Service: "acces-site", Class: "check_in", Share: 0.4, Answer: 50, Spread: 0.5},
		},
	}
}

// Shops returns both deployments.
func Shops() []Shop {
	return []Shop{Barbagallo(), LeGoff()}
}

func snapshot(services ...configurer.Service) configurer.Snapshot {
	s := configurer.Snapshot{Revision: 1, Services: make(map[string]configurer.Service)}
	for i := range services {
		s.Services[services[i].Name] = services[i]
	}

	return s
}

func engineService(name string, servers int, domains []string, classes []configurer.Class) configurer.Service {
	for i := range classes {
		classes[i].TokenGap = tokenGap
	}

	return service(name, configurer.KindEngine, servers, domains, classes)
}

func plainService(name string, servers int, domains []string, classes []configurer.Class) configurer.Service {
	return service(name, configurer.KindPlain, servers, domains, classes)
}

func service(name string, kind configurer.Kind, servers int, domains []string, classes []configurer.Class) configurer.Service {
	s := configurer.Service{
		Name:          name,
		Branch:        "bench/" + name,
		Kind:          kind,
		Classes:       make(map[string]configurer.Class),
		DefaultClass:  classes[0].Name,
		Organisations: organisations(),
		Upstreams:     make(map[string]configurer.Upstream),
	}

	for i := range classes {
		classes[i].RetryBudget = retryBudget
		s.Classes[classes[i].Name] = classes[i]
	}

	for i := range servers {
		server := fmt.Sprintf("%s-%02d", name, i+1)
		s.Upstreams[server] = configurer.Upstream{
			Name:          server,
			Address:       "http://" + server,
			FailureDomain: domains[i%len(domains)],
			Slots:         firstSlots,
		}
	}

	return s
}

// organisationShares is the part of the demand that comes from each organisation: a few are large.
var organisationShares = []float64{0.3, 0.25, 0.15, 0.06, 0.05, 0.05, 0.04, 0.04, 0.03, 0.03}

func organisations() map[string]configurer.Organisation {
	list := make(map[string]configurer.Organisation)
	for i := range organisationShares {
		name := organisationName(i)
		list[name] = configurer.Organisation{Name: name, Weight: 1}
	}

	return list
}

func organisationName(i int) string {
	return fmt.Sprintf("organisation-%02d", i+1)
}

// capacity is the work that all servers of a service do in a second at full batch, in tokens.
func (s Shop) capacity(service string) float64 {
	model := s.Models[service]
	full := model.Step.Seconds() * (1 + model.Slowdown*float64(model.Batch-1))

	return float64(len(s.Settings.Services[service].Upstreams)*model.Batch) / full
}

// work is the mean work of a request, in tokens.
func (s Shop) work(d Demand) float64 {
	return d.Answer + d.Prompt*s.Models[d.Service].PrefillTokens
}
