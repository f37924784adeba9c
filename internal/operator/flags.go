package operator

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/printer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Environment variables that stand in for flags. A key on the command line is
// visible to every user of the machine, so the variable is the better place.
const (
	environmentNode   = "QUINCEPATH_NODE"
	environmentKey    = "QUINCEPATH_OPERATOR_KEY"
	environmentAuthor = "QUINCEPATH_AUTHOR"
)

const defaultTimeout = 15 * time.Second

// Flags are the flags that all operators' verbs share.
type Flags struct {
	Factory *factory.Factory
	// Node is the admin address, as IP:port or URL.
	Node string
	// Key is the operator's bearer key.
	Key string
	// CA is a PEM file of the authority that signs the node's certificate; empty means those of the system.
	CA string
	// Timeout bounds one call.
	Timeout time.Duration
	JSON    bool
	// Terminal says that the output is a terminal.
	Terminal bool
}

// Register adds the flags to a verb.
func (f *Flags) Register(clause *kingpin.CmdClause) {
	f.Timeout = defaultTimeout
	clause.Flag("node", "Admin address of any node, as IP:port or URL.").Envar(environmentNode).PlaceHolder("ADDRESS").StringVar(&f.Node)
	clause.Flag("key", "Operator's key; better in the environment, where other users can't see it.").Envar(environmentKey).PlaceHolder("KEY").StringVar(&f.Key)
	clause.Flag("ca", "PEM file of the authority that signs the node's certificate.").PlaceHolder("FILE").StringVar(&f.CA)
	clause.Flag("timeout", "Longest time of one call.").Default(defaultTimeout.String()).DurationVar(&f.Timeout)
	clause.Flag("json", "Write JSON.").BoolVar(&f.JSON)
}

// Command returns the command of a verb that registered these flags. Terminal
// is set before run is called.
func (f *Flags) Command(clause *kingpin.CmdClause, run func(ctx context.Context) error) factory.Command {
	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		f.Terminal = f.Factory.IsTerminal()

		return run(ctx)
	}}
}

// Format returns how to write the answer.
func (f Flags) Format() printer.Format {
	return printer.Choose(f.JSON, f.Terminal)
}

// Print writes a table in the format that the flags choose.
func (f Flags) Print(t printer.Table) error {
	return printer.Write(f.Factory.Streams.Out, f.Format(), t)
}

// Client returns a client of the node that the flags name.
func (f Flags) Client() (*Client, error) {
	if f.Node == "" {
		return nil, classifier.New(classifier.InvalidUsage, "name a node's admin address by --node ADDRESS or %s", environmentNode)
	}

	if f.Key == "" {
		return nil, classifier.New(classifier.InvalidUsage, "give the operator's key by %s or --key KEY", environmentKey)
	}

	base, err := baseURL(f.Node, f.CA != "")
	if err != nil {
		return nil, err
	}

	rest := f.Factory.AdminClient(base, f.Key, f.Timeout)

	if f.CA != "" {
		if _, err := os.Stat(f.CA); err != nil {
			return nil, classifier.Wrap(err, classifier.InvalidUsage, "can't read the authority's file %s", f.CA)
		}

		rest.SetRootCertificate(f.CA)
	}

	return &Client{rest: rest}, nil
}

// ChangeFlags name a change and its author.
type ChangeFlags struct {
	// Author stands in the history; empty means the user's name.
	Author string
	// ChangeID is given to repeat a change whose outcome is unknown; empty means a new one.
	ChangeID string
}

// Register adds the flags to a verb.
func (c *ChangeFlags) Register(clause *kingpin.CmdClause) {
	clause.Flag("author", "Your name for the history; $USER when left out.").Envar(environmentAuthor).PlaceHolder("NAME").StringVar(&c.Author)
	clause.Flag("change-id", "Id of a change to try again after an unknown outcome.").PlaceHolder("ID").StringVar(&c.ChangeID)
}

// filled returns the flags with their defaults.
func (c ChangeFlags) filled() (ChangeFlags, error) {
	if c.Author == "" {
		c.Author = os.Getenv("USER")
	}

	if c.Author == "" {
		return c, classifier.New(classifier.InvalidUsage, "give your name for the history by --author NAME or %s", environmentAuthor)
	}

	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}

	return c, nil
}

// fileValue is a file's path; "-" means the input stream.
type fileValue struct {
	path *string
}

// FileFlag registers a flag that takes a file's path, or "-" for the input stream.
func FileFlag(flag *kingpin.FlagClause, path *string) {
	flag.PlaceHolder("FILE").SetValue(fileValue{path: path})
}

// Set takes the value. Kingpin hands a lone "-" over as an empty text; without
// this the flag would count as not given.
func (v fileValue) Set(text string) error {
	if text == "" {
		text = "-"
	}

	*v.path = text

	return nil
}

// String returns the path.
func (v fileValue) String() string {
	if v.path == nil {
		return ""
	}

	return *v.path
}
