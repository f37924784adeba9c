package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/tracer"
)

// shop is one user's part of the demo: an engine service and a plain service with small stand-ins.
type shop struct {
	engine, plain string
	// failureDomains hold one upstream each, in turn.
	failureDomains []string
	// slots are the sizes of the engines; uneven on purpose.
	slots   []int
	classes map[string]map[string]configurer.Class
}

const (
	gapLimit    = time.Second
	longWait    = time.Minute
	retryBudget = 0.1
)

func shops() []shop {
	return []shop{
		{
			engine: "assistente", plain: "banco", slots: []int{5, 3},
			failureDomains: []string{"catania-sala", "siracusa-sala"},
			classes: map[string]map[string]configurer.Class{
				"assistente": {
					"counter_lookup": {Tier: 1, Target: 300 * time.Millisecond, MaxWait: 2 * time.Second, Repeatable: true},
					"owner_chat":     {Tier: 2, Target: 2 * time.Second, MaxWait: 6 * time.Second, Repeatable: true, GuaranteedShare: 0.1},
					"care_notes":     {Tier: 4, Target: 10 * time.Second, MaxWait: longWait, Repeatable: true, GuaranteedShare: 0.1, MoveUpAfter: 8 * time.Second},
				},
				"banco": {
					"lookup":  {Tier: 1, Target: 100 * time.Millisecond, MaxWait: time.Second, Repeatable: true},
					"booking": {Tier: 1, Target: 500 * time.Millisecond, MaxWait: 2 * time.Second},
				},
			},
		},
		{
			engine: "redacteur", plain: "acces-site", slots: []int{4, 2},
			failureDomains: []string{"brest", "quimper"},
			classes: map[string]map[string]configurer.Class{
				"redacteur": {
					"crew_answer":     {Tier: 1, Target: 300 * time.Millisecond, MaxWait: 2 * time.Second, Repeatable: true},
					"renewal_draft":   {Tier: 3, Target: 4 * time.Second, MaxWait: 8 * time.Second},
					"contract_review": {Tier: 4, Target: 10 * time.Second, MaxWait: longWait, Repeatable: true, GuaranteedShare: 0.2, MoveUpAfter: 8 * time.Second},
				},
				"acces-site": {
					"clearance": {Tier: 1, Target: 100 * time.Millisecond, MaxWait: time.Second, Repeatable: true},
					"check_in":  {Tier: 1, Target: 500 * time.Millisecond, MaxWait: 2 * time.Second},
				},
			},
		},
	}
}

// service returns the settings of a service with everything but its upstreams.
func (s shop) service(name string, kind configurer.Kind, organisations []string) loader.Service {
	service := loader.Service{
		Kind:          string(kind),
		Classes:       map[string]configurer.Class{},
		Organisations: map[string]configurer.Organisation{},
		Upstreams:     map[string]configurer.Upstream{},
	}

	for k, v := range s.classes[name] {
		v.GapLimit, v.RetryBudget = gapLimit, retryBudget
		if kind == configurer.KindEngine {
			v.TokenGap = 50 * time.Millisecond
		}

		service.Classes[k] = v

		if v.Tier == 1 && v.Repeatable {
			service.DefaultClass = k
		}
	}

	for _, v := range organisations {
		service.Organisations[v] = configurer.Organisation{Weight: 1, KeyHashes: []string{hash(keyOf(v))}}
	}

	return service
}

// organisations returns the names of a trace by service.
func organisations(events []tracer.Event) map[string][]string {
	names := map[string][]string{}
	seen := map[string]bool{}

	for _, v := range events {
		mark := v.Service + "/" + v.Organisation
		if !seen[mark] {
			seen[mark] = true
			names[v.Service] = append(names[v.Service], v.Organisation)
		}
	}

	return names
}

// keyOf returns the bearer key of an organisation. It opens nothing but the demo's own nodes on loopback.
func keyOf(organisation string) string {
	return fmt.Sprintf("demo-%s", organisation)
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}
