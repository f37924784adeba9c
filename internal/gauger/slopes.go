package gauger

import "slices"

// Slope is the straight line of one quantity of a phase against the number of nodes.
type Slope struct {
	Phase    Phase  `json:"phase"`
	Quantity string `json:"quantity"`
	// Base is the value at 0 nodes by the line; PerNode is added by each node of the fleet.
	Base    float64 `json:"base"`
	PerNode float64 `json:"per_node"`
	// Least and Most are the values measured.
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

// At returns the line's value for a fleet of that size.
func (s Slope) At(nodes int) float64 {
	return s.Base + s.PerNode*float64(nodes)
}

// quantities are what slopes are drawn of.
var quantities = []struct {
	name string
	of   func(Figures) float64
}{
	{"peer bytes/s", func(f Figures) float64 { return f.PeerBytes }},
	{"peer messages/s", func(f Figures) float64 { return f.PeerMessages }},
	{"links", func(f Figures) float64 { return f.Links }},
	{"platform bytes/s", func(f Figures) float64 { return f.PlatformBytes }},
	{"platform calls/s of all", func(f Figures) float64 { return sum(f.PlatformCalls) }},
	{"polls/s", func(f Figures) float64 { return f.Polls }},
	{"core %", func(f Figures) float64 { return 100 * f.Cores }},
	{"memory MB", func(f Figures) float64 { return f.MemoryBytes / 1e6 }},
}

// Slopes draws a line for each phase and quantity. It returns none for fewer than two sizes of fleet.
func Slopes(all []Figures) []Slope {
	var slopes []Slope

	for _, phase := range []Phase{PhaseIdle, PhaseLoad, PhaseChanges} {
		var (
			nodes  []float64
			chosen []Figures
		)

		for _, v := range all {
			if v.Phase == phase {
				nodes = append(nodes, float64(v.Nodes))
				chosen = append(chosen, v)
			}
		}

		if len(nodes) == 0 || slices.Min(nodes) == slices.Max(nodes) {
			continue
		}

		for _, quantity := range quantities {
			slopes = append(slopes, draw(phase, quantity.name, nodes, chosen, quantity.of))
		}
	}

	return slopes
}

func draw(phase Phase, name string, nodes []float64, chosen []Figures, of func(Figures) float64) Slope {
	values := make([]float64, len(chosen))
	for i, v := range chosen {
		values[i] = of(v)
	}

	base, perNode := line(nodes, values)

	return Slope{Phase: phase, Quantity: name, Base: base, PerNode: perNode, Least: slices.Min(values), Most: slices.Max(values)}
}

// line returns the straight line with the least squares through the points; not all x are the same.
func line(x, y []float64) (base, slope float64) {
	var meanX, meanY, products, squares float64

	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(x))
	}

	for i := range x {
		products += (x[i] - meanX) * (y[i] - meanY)
		squares += (x[i] - meanX) * (x[i] - meanX)
	}

	slope = products / squares

	return meanY - slope*meanX, slope
}

func sum(parts map[string]float64) float64 {
	var total float64
	for _, v := range parts {
		total += v
	}

	return total
}
