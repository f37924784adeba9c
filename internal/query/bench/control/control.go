// Package control is the query that measures what control costs a node, and how that grows with the fleet.
package control

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/gauger"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/printer"
	"quincepath.example/quincepath/pkg/classifier"
)

const help = `Measure what control costs a node, and how that grows with the fleet.

It runs nodes, upstreams and a platform in this process on loopback: first idle,
then under requests, then with changes of the settings. It prints the bytes and
messages between nodes, the calls on the platform, the load reports fetched, what
one request and one change cost, and lines of the idle figures against the number
of nodes.

Processor time and memory are those of the whole process divided by the number of
nodes, with the stand-ins, the callers and the relays that count: an upper bound.
BenchmarkControl in test/capacity measures nodes as processes of their own.

Examples:
  quincepath bench control
  quincepath bench control --nodes 3,9,30 --rate 200 --policy power_of_two --json`

const (
	// phases are idle, under requests and with changes; startSeconds is about what a fleet takes to start and stop.
	phases       = 3
	startSeconds = 5
)

// Bounds of the flags.
const (
	// mostNodes keeps the process below the usual limit of open files and half a small machine's memory.
	mostNodes    = 100
	longestPhase = time.Minute
	mostRate     = 2000
	mostChanges  = 100
	mostLimits   = 1000
)

// Options are the flags of the query.
type Options struct {
	Factory  *factory.Factory
	Nodes    string
	Seconds  int
	Rate     float64
	Limits   float64
	Changes  int
	Policy   string
	JSON     bool
	Terminal bool
	// Gauge measures one size of fleet; nil means gauger.Gauge.
	Gauge func(ctx context.Context, options gauger.Options) ([]gauger.Figures, error)
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f, Gauge: gauger.Gauge}
	clause := parent.Command("control", help)
	clause.Flag("nodes", "Sizes of fleet to measure, parted by commas; at most 100 nodes.").Default("3,9,30,100").StringVar(&options.Nodes)
	clause.Flag("seconds", "Length of each of the three phases.").Default("10").IntVar(&options.Seconds)
	clause.Flag("rate", "Requests a second of all callers together.").Default("200").Float64Var(&options.Rate)
	clause.Flag("limits", "Limit of each organisation, as a multiple of what it sends; 0 means none.").Default("0").Float64Var(&options.Limits)
	clause.Flag("changes", "Settings changes in the last phase.").Default("3").IntVar(&options.Changes)
	clause.Flag("policy", "How nodes choose upstreams.").Default(string(loader.PolicyQueuePerRequest)).
		EnumVar(&options.Policy, string(loader.PolicyPowerOfTwo), string(loader.PolicyQueuePerRequest), string(loader.PolicyQueueCredits), string(loader.PolicyQueueSteered))
	clause.Flag("json", "Write JSON.").BoolVar(&options.JSON)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		options.Terminal = f.IsTerminal()

		return Run(ctx, options)
	}}
}

// answer is what JSON holds.
type answer struct {
	Figures []gauger.Figures `json:"figures"`
	Costs   []gauger.Cost    `json:"costs"`
	Slopes  []gauger.Slope   `json:"slopes"`
}

// Run measures each size of fleet after the other and prints the figures and their lines.
func Run(ctx context.Context, options Options) error {
	if options.Factory.Serve == nil {
		return classifier.New(classifier.InternalError, "this program holds no node")
	}

	sizes, err := options.sizes()
	if err != nil {
		return err
	}

	if err := options.checkBounds(); err != nil {
		return err
	}

	var result answer

	for _, nodes := range sizes {
		fmt.Fprintf(options.Factory.Streams.Err, "%d nodes, about %d seconds\n", nodes, phases*options.Seconds+startSeconds)

		figures, err := options.Gauge(ctx, gauger.Options{
			Serve:    options.Factory.Serve,
			Nodes:    nodes,
			Duration: time.Duration(options.Seconds) * time.Second,
			Rate:     options.Rate,
			Changes:  options.Changes,
			Policy:   loader.Policy(options.Policy),

			LimitFactor: options.Limits,
		})
		if err != nil {
			return err
		}

		result.Figures = append(result.Figures, figures...)
	}

	result.Costs = gauger.Costs(result.Figures)
	result.Slopes = gauger.Slopes(result.Figures)

	return options.write(result)
}

// sizes returns the numbers of nodes to measure, in the order given.
func (o Options) sizes() ([]int, error) {
	var sizes []int

	for _, text := range strings.Split(o.Nodes, ",") {
		nodes, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || nodes < 1 || nodes > mostNodes {
			return nil, classifier.New(classifier.InvalidUsage, "--nodes has %q; write numbers from 1 to %d, parted by commas", text, mostNodes)
		}

		sizes = append(sizes, nodes)
	}

	return sizes, nil
}

func (o Options) checkBounds() error {
	bounds := []struct {
		flag         string
		value, least float64
		most         float64
	}{
		{"seconds", float64(o.Seconds), 1, longestPhase.Seconds()},
		{"rate", o.Rate, 0, mostRate},
		{"changes", float64(o.Changes), 0, mostChanges},
		{"limits", o.Limits, 0, mostLimits},
	}

	for _, v := range bounds {
		if v.value < v.least || v.value > v.most {
			return classifier.New(classifier.InvalidUsage, "--%s is %g; write a number from %g to %g", v.flag, v.value, v.least, v.most)
		}
	}

	return nil
}

func (o Options) write(result answer) error {
	out := o.Factory.Streams.Out
	if o.JSON {
		return printer.WriteJSON(out, result)
	}

	format := printer.Choose(false, o.Terminal)

	tables := []printer.Table{
		figuresTable(result.Figures), methodsTable(result.Figures), costsTable(result.Costs), slopesTable(result.Slopes),
	}

	for i, table := range tables {
		if i > 0 {
			fmt.Fprintln(out)
		}

		if err := printer.Write(out, format, table); err != nil {
			return err
		}
	}

	return nil
}

func figuresTable(all []gauger.Figures) printer.Table {
	t := printer.Table{Columns: []string{
		"nodes", "phase", "answered", "failed", "changes", "peer B/s", "messages/s", "busiest B/s", "links",
		"platform B/s", "platform calls/s of all", "polls/s", "B a poll", "core %", "memory MB",
	}}

	for _, v := range all {
		var calls float64
		for _, n := range v.PlatformCalls {
			calls += n
		}

		answered, failed := v.Answered()

		t.Rows = append(t.Rows, []string{
			strconv.Itoa(v.Nodes), string(v.Phase), strconv.FormatInt(answered, 10), strconv.FormatInt(failed, 10), strconv.Itoa(v.Changes),
			number(v.PeerBytes), number(v.PeerMessages), number(v.BusiestPeerBytes), number(v.Links),
			number(v.PlatformBytes), number(calls), number(v.Polls), number(v.PollBytes), number(100 * v.Cores), number(v.MemoryBytes / 1e6),
		})
	}

	return t
}

// methodsTable tells the size of each kind of message.
func methodsTable(all []gauger.Figures) printer.Table {
	t := printer.Table{Columns: []string{"nodes", "phase", "method", "messages/s", "B/s", "B a message"}, Empty: "no messages between nodes"}

	for _, v := range all {
		for _, name := range sorted(v.Methods) {
			m := v.Methods[name]
			t.Rows = append(t.Rows, []string{
				strconv.Itoa(v.Nodes), string(v.Phase), name, number(m.Messages), number(m.Bytes), number(m.Bytes / m.Messages),
			})
		}
	}

	return t
}

func costsTable(costs []gauger.Cost) printer.Table {
	t := printer.Table{Columns: []string{"nodes", "one", "B", "messages", "processor ms"}, Empty: "no requests and no changes"}

	for _, v := range costs {
		one := "request, on all nodes"
		if v.Of == gauger.PhaseChanges {
			one = "change, on each node"
		}

		t.Rows = append(t.Rows, []string{strconv.Itoa(v.Nodes), one, number(v.Bytes), number(v.Messages), number(v.Milliseconds)})
	}

	return t
}

func slopesTable(slopes []gauger.Slope) printer.Table {
	t := printer.Table{
		Columns: []string{"idle", "least", "most", "line at 0 nodes", "per node"},
		Empty:   "one size of fleet gives no line",
	}

	for _, v := range slopes {
		t.Rows = append(t.Rows, []string{v.Quantity, number(v.Least), number(v.Most), number(v.Base), number(v.PerNode)})
	}

	return t
}

func sorted(methods map[string]gauger.Method) []string {
	names := make([]string, 0, len(methods))
	for name := range methods {
		names = append(names, name)
	}

	slices.Sort(names)

	return names
}

// number writes three significant digits, and whole numbers from 100 up.
func number(value float64) string {
	if value >= 100 || value <= -100 {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}

	return strconv.FormatFloat(value, 'g', 3, 64)
}
