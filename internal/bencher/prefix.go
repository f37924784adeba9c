package bencher

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/prefixer"
	"quincepath.example/quincepath/internal/standin/cacher"
)

// eventPeriod is how often the holder reads each engine's cache events.
const eventPeriod = 2 * time.Second

// prefixes are the prompt caches of the engines, and what the holders know of
// them. Without caches all methods do nothing.
type prefixes struct {
	runner *runner
	table  *prefixer.Table
	// caches holds a cache for each engine; nil where engines don't cache.
	caches map[string]*cacher.Cache
	// shared is the number of leading blocks that an organisation's prompts of a class have in common.
	shared map[classKey]int
	// asked counts the tokens that engines had to read, saved those of them that were in caches.
	asked int
	saved int
}

func newPrefixes(r *runner) *prefixes {
	p := &prefixes{runner: r, table: prefixer.NewTable()}
	if r.scenario.Repeated == 0 {
		return p
	}

	p.caches = make(map[string]*cacher.Cache)
	p.shared = make(map[classKey]int)

	lag := r.scenario.reportLag()

	for service := range r.names {
		if r.shop.Settings.Services[service].Kind != configurer.KindEngine {
			continue
		}

		for _, name := range r.names[service] {
			p.caches[name] = cacher.New(r.scenario.CacheBlocks, lag, xxhash.Sum64String(name))
		}
	}

	for _, d := range r.shop.Demands {
		p.shared[classKey{d.Service, d.Class}] = int(d.Prompt*r.scenario.Repeated) / prefixer.BlockTokens
	}

	return p
}

// blocks returns the hashes of a request's prompt.
func (p *prefixes) blocks(q *Request) []uint64 {
	if p.caches == nil {
		return nil
	}

	shared := p.shared[q.classKey()]
	count := min(q.Event.PromptTokens/prefixer.BlockTokens, prefixer.MaxBlocks)
	blocks := make([]uint64, 0, count)
	prompt := q.caller.index % p.runner.scenario.Prompts

	for i := range count {
		text := fmt.Sprintf("%s/%s/%s/%d/%d", q.Service.Name, q.Class.Name, q.Event.Organisation, prompt, i)
		if i >= shared {
			text = fmt.Sprintf("request %d/%d", q.caller.index, i)
		}

		blocks = append(blocks, xxhash.Sum64String(text))
	}

	return blocks
}

// attach lets an attempt's job use and fill the cache of its engine.
func (p *prefixes) attach(a *attempt) {
	cache := p.caches[a.slot.Upstream.Name]
	if cache == nil {
		return
	}

	blocks := p.blocks(a.request)
	a.job.begin = func() {
		held := cache.Held(blocks) * prefixer.BlockTokens
		p.asked += a.request.Event.PromptTokens + a.request.Progress
		p.saved += held
		a.job.prefill -= float64(held) * a.engine().model.PrefillTokens
	}

	first := a.job.first
	a.job.first = func() {
		cache.Store(p.runner.clock.date(), blocks)
		first()
	}
}

// plan lets the holder read the events of each engine.
func (p *prefixes) plan() {
	for _, service := range sortedKeys(p.runner.names) {
		for _, name := range p.runner.names[service] {
			if p.caches[name] == nil {
				continue
			}

			p.runner.clock.every(eventPeriod, func() bool {
				p.read(service, name)

				return p.runner.open > 0
			})
		}
	}
}

func (p *prefixes) read(service, name string) {
	if p.runner.engines[name].down {
		return
	}

	events, last := p.caches[name].Events(p.runner.clock.date(), p.table.AppliedSequence(service, name))
	p.table.Apply(service, name, last, events)
}

// suffer empties the cache of an engine that crashes.
func (p *prefixes) suffer(name string, kind FaultKind) {
	if cache := p.caches[name]; cache != nil && kind == FaultCrash {
		cache.Clear()
	}
}

// PrefixLine is a scenario under one policy with several seeds, in means over the runs.
type PrefixLine struct {
	Shop, Scenario, Policy string
	Runs                   int
	// Asked and Saved are prefill tokens of all runs.
	Asked, Saved int
	// Goodput, Fill, LeastFill and MostFill are means.
	Goodput, Fill, LeastFill, MostFill float64
	// FirstRequests counts requests of tier 1 to engines, FirstMissed those that missed their target.
	FirstRequests, FirstMissed int
	// LowerRequests and LowerMissed are those of all other tiers.
	LowerRequests, LowerMissed int
}

// NewPrefixLine sums up runs that differ in their seeds only; there is at least one.
func NewPrefixLine(shop Shop, runs []Result) PrefixLine {
	line := PrefixLine{Shop: runs[0].Shop, Scenario: runs[0].Scenario, Policy: runs[0].Policy, Runs: len(runs)}
	part := 1 / float64(len(runs))

	for _, r := range runs {
		line.Asked += r.PrefillAsked
		line.Saved += r.PrefillSaved
		line.Goodput += part * r.Goodput
		line.Fill += part * r.Fill
		line.LeastFill += part * r.LeastFill
		line.MostFill += part * r.MostFill

		for _, c := range r.Classes {
			line.count(shop, c)
		}
	}

	return line
}

func (p *PrefixLine) count(shop Shop, c ClassResult) {
	switch {
	case shop.Settings.Services[c.Service].Kind != configurer.KindEngine:
	case c.Tier == 1:
		p.FirstRequests += c.Requests
		p.FirstMissed += c.Requests - c.Attained
	default:
		p.LowerRequests += c.Requests
		p.LowerMissed += c.Requests - c.Attained
	}
}

// SavedShare is the part of the prefill that the caches saved.
func (p PrefixLine) SavedShare() float64 { return share(p.Saved, p.Asked) }

// WritePrefixTable writes one line for each scenario and policy: what the caches saved, and how even the load was.
func WritePrefixTable(w io.Writer, lines []PrefixLine) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tpolicy\truns\tprefill_tokens\tsaved\tsaved_share\tgoodput\tfill\tleast_fill\tmost_fill\ttier_1\tmissed\tlower\tmissed\t")

	for _, p := range lines {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.4f\t%.0f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t\n", p.Scenario, p.Policy, p.Runs,
			p.Asked, p.Saved, p.SavedShare(), p.Goodput, p.Fill, p.LeastFill, p.MostFill,
			p.FirstRequests, p.FirstMissed, p.LowerRequests, p.LowerMissed)
	}

	return table.Flush()
}
