package cataloguer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// Contradictory limits must not lead to orders, and must not cause the configuration with its keys to be dropped.
func TestScalingThatNoOrderCanFollowIsDropped(t *testing.T) {
	negative := -0.1
	tests := map[string]struct {
		scaling cataloguer.Scaling
		problem string
	}{
		"minimum above maximum": {cataloguer.Scaling{Minimum: 3, Maximum: 2}, "services.chat.scaling: maximum: 2 is below the minimum 3"},
		"negative minimum":      {cataloguer.Scaling{Minimum: -1}, "services.chat.scaling: minimum: -1 is negative"},
		"maximum out of range":  {cataloguer.Scaling{Maximum: 1 << 62}, "services.chat.scaling: maximum: 4611686018427387904 is above 1048576"},
		"negative boot time":    {cataloguer.Scaling{BootTime: -1}, "services.chat.scaling: boot time: -1ns is negative"},
		"negative spot price":   {cataloguer.Scaling{SpotPrice: &negative}, "services.chat.scaling: spot price: -0.1 is negative"},
		"negative price": {
			cataloguer.Scaling{DomainPrices: map[string]float64{"sala": -1}}, "services.chat.scaling: price in sala: -1 is negative",
		},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sound := cataloguer.Scaling{Maximum: 2}
			configuration := cataloguer.Configuration{Services: []cataloguer.Service{
				{Name: "chat", Scaling: &test.scaling}, {Name: "desk", Scaling: &sound}, {Name: "calls"},
			}}

			problems := configuration.DropInvalidScaling()
			assert.Equal(t, len(problems), 1)
			assert.Error(t, problems[0], test.problem)
			assert.Assert(t, configuration.Services[0].Scaling == nil)
			assert.Assert(t, configuration.Services[1].Scaling == &sound)
		})
	}
}
