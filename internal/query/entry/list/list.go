// Package list is the query that lists the addresses that callers are told.
package list

import (
	"context"
	"net/http"
	"time"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/printer"
	"quincepath.example/quincepath/pkg/classifier"
	"quincepath.example/quincepath/pkg/finder"
)

const help = `List the addresses that callers are told to use, the best first.

It asks like a caller does: at the address for callers, with an organisation's key.

Examples:
  quincepath entry list --node 192.0.2.11:8080
  quincepath entry list --node 192.0.2.11:8080 --node 192.0.2.21:8080 --json`

// Options are the flags of the query.
type Options struct {
	Factory *factory.Factory
	// Nodes are the IP:port of nodes for callers.
	Nodes []string
	// Key is the bearer key of an organisation.
	Key string
	// CA is a PEM file of the authority that signs the nodes' certificates; empty means plain HTTP.
	CA       string
	Timeout  time.Duration
	JSON     bool
	Terminal bool
}

// entry is one row for scripts.
type entry struct {
	Address       string `json:"address"`
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f}
	clause := parent.Command("list", help)
	clause.Flag("node", "Address for callers of any node, as IP:port; may be repeated.").Required().PlaceHolder("ADDRESS").StringsVar(&options.Nodes)
	clause.Flag("key", "Bearer key of an organisation.").Envar("QUINCEPATH_KEY").PlaceHolder("KEY").StringVar(&options.Key)
	clause.Flag("ca", "PEM file of the authority that signs the nodes' certificates; asks by HTTPS.").PlaceHolder("FILE").StringVar(&options.CA)
	clause.Flag("timeout", "Longest time for one node's answer.").Default(finder.DefaultTimeout.String()).DurationVar(&options.Timeout)
	clause.Flag("json", "Write JSON.").BoolVar(&options.JSON)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		options.Terminal = f.IsTerminal()
		return Run(ctx, options)
	}}
}

// Run prints one row for each address.
func Run(ctx context.Context, options Options) error {
	if options.Key == "" {
		return classifier.New(classifier.InvalidUsage, "give an organisation's key by QUINCEPATH_KEY or --key KEY")
	}

	asked := finder.Options{Addresses: options.Nodes, Key: options.Key, Timeout: options.Timeout}

	if options.CA != "" {
		settings, err := operator.Trusting(options.CA)
		if err != nil {
			return err
		}

		asked.Scheme, asked.Transport = "https", &http.Transport{TLSClientConfig: settings}
	}

	found, err := finder.New(asked)
	if err != nil {
		return classifier.Wrap(err, classifier.InvalidUsage, "name a node by --node ADDRESS")
	}

	entries, err := found.Entries(ctx)
	if err != nil {
		return classifier.Wrap(err, classifier.NodeUnreachable, "no node told its entries; check the addresses and the key")
	}

	return write(options, entries)
}

func write(options Options, entries []finder.Entry) error {
	data := make([]entry, 0, len(entries))
	t := printer.Table{Columns: []string{"address", "node", "failure domain"}}

	for _, v := range entries {
		data = append(data, entry(v))
		t.Rows = append(t.Rows, []string{v.Address, v.Node, v.FailureDomain})
	}

	t.Data = data

	return printer.Write(options.Factory.Streams.Out, printer.Choose(options.JSON, options.Terminal), t)
}
