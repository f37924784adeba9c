package gauger

import "slices"

// Slope is the straight line of one quantity of idle nodes against the number of nodes.
type Slope struct {
	Quantity string `json:"quantity"`
	// Base is the value at 0 nodes by the line; PerNode is added by each node of the fleet.
	Base    float64 `json:"base"`
	PerNode float64 `json:"per_node"`
	// Least and Most are the values measured.
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

// quantities are what slopes are drawn of.
var quantities = []struct {
	name string
	of   func(Figures) float64
}{
	{"peer bytes/s", func(f Figures) float64 { return f.PeerBytes }},
	{"links", func(f Figures) float64 { return f.Links }},
	{"platform bytes/s", func(f Figures) float64 { return f.PlatformBytes }},
	{"platform calls/s of all", func(f Figures) float64 { return sum(f.PlatformCalls) }},
	{"polls/s of all", func(f Figures) float64 { return f.Polls * float64(f.Nodes) }},
	{"core %", func(f Figures) float64 { return 100 * f.Cores }},
	{"memory MB", func(f Figures) float64 { return f.MemoryBytes / 1e6 }},
}

// Slopes draws a line through the idle phases for each quantity. Under load and
// changes a node's part of the work falls with the number of nodes, so these have
// costs instead. It returns none for fewer than two sizes of fleet.
func Slopes(all []Figures) []Slope {
	var (
		nodes []float64
		idle  []Figures
	)

	for _, v := range all {
		if v.Phase == PhaseIdle {
			nodes = append(nodes, float64(v.Nodes))
			idle = append(idle, v)
		}
	}

	if len(nodes) == 0 || slices.Min(nodes) == slices.Max(nodes) {
		return nil
	}

	var slopes []Slope

	for _, quantity := range quantities {
		values := make([]float64, len(idle))
		for i, v := range idle {
			values[i] = quantity.of(v)
		}

		base, perNode := line(nodes, values)
		slopes = append(slopes, Slope{
			Quantity: quantity.name, Base: base, PerNode: perNode, Least: slices.Min(values), Most: slices.Max(values),
		})
	}

	return slopes
}

// Cost is what one request costs the whole fleet, or one settings change each
// node, beyond the idle phase of the same fleet.
type Cost struct {
	Nodes int `json:"nodes"`
	// Of is PhaseLoad for a request and PhaseChanges for a change.
	Of Phase `json:"of"`
	// Bytes and Messages are counted at both ends.
	Bytes    float64 `json:"bytes"`
	Messages float64 `json:"messages"`
	// Milliseconds are processor time, with the work of the request itself.
	Milliseconds float64 `json:"milliseconds"`
}

// Costs compares the phases of work with the idle phase before them.
func Costs(all []Figures) []Cost {
	var (
		costs []Cost
		idle  Figures
	)

	for _, v := range all {
		var share float64

		answered, _ := v.Answered()

		switch {
		case v.Phase == PhaseIdle:
			idle = v
		case v.Phase == PhaseLoad && answered > 0:
			share = v.Seconds * float64(v.Nodes) / float64(answered)
		case v.Phase == PhaseChanges && v.Changes > 0:
			share = v.Seconds / float64(v.Changes)
		}

		if share == 0 {
			continue
		}

		costs = append(costs, Cost{
			Nodes:        v.Nodes,
			Of:           v.Phase,
			Bytes:        share * (v.PeerBytes - idle.PeerBytes),
			Messages:     share * (v.PeerMessages - idle.PeerMessages),
			Milliseconds: share * (v.Cores - idle.Cores) * 1000,
		})
	}

	return costs
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
