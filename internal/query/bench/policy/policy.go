// Package policy is the query that compares scheduling policies in virtual time.
package policy

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"quincepath.example/quincepath/internal/bencher"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/pkg/classifier"
)

// all selects every scenario, shop or policy.
const all = "all"

// Options are the flags of the query.
type Options struct {
	Factory *factory.Factory
	// Shop, Scenario and Policy each name one, or "all".
	Shop     string
	Scenario string
	Policy   string
	// Seed selects the trace and every draw of the run.
	Seed uint64
	// Seeds is the number of traces, with seeds from Seed up; at least 1.
	Seeds uint64
	// Summary prints one line a run in place of its table.
	Summary bool
	// Refusals is the number of refusals to replay without giving up; zero skips that.
	Refusals int
	// Check makes a missed outcome an error.
	Check bool
}

const help = `Compare scheduling policies on generated traces in virtual time.

Examples:
  quincepath bench policy --shop barbagallo --scenario overload
  quincepath bench policy --summary --seeds 5 --policy queue`

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f}
	clause := parent.Command("policy", help)
	clause.Flag("shop", "Deployment: barbagallo, le_goff or all.").Default(all).StringVar(&options.Shop)
	clause.Flag("scenario", "Name of a scenario, or all.").Default(all).StringVar(&options.Scenario)
	clause.Flag("policy", "Name of a policy, or all.").Default(all).StringVar(&options.Policy)
	clause.Flag("seed", "Seed of the trace.").Default("1").Uint64Var(&options.Seed)
	clause.Flag("seeds", "Number of traces to play, with seeds from the first one up.").Default("1").Uint64Var(&options.Seeds)
	clause.Flag("summary", "Print one line a run.").BoolVar(&options.Summary)
	clause.Flag("refusals", "Refusals to replay without giving up, to see whether they were right.").Default("0").IntVar(&options.Refusals)
	clause.Flag("check", "Fail when a run misses a stated outcome.").BoolVar(&options.Check)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error { return Run(ctx, options) }}
}

// Run prints a table for each shop, scenario and policy, and the stated
// outcomes that each run missed. It fails with ExpectationMissed when Check is
// set and one was missed, and with InvalidUsage when a name is unknown.
func Run(ctx context.Context, options Options) error {
	missed, runs := 0, 0

	for _, shop := range bencher.Shops() {
		for _, scenario := range bencher.Scenarios(shop) {
			for _, choice := range bencher.Choices() {
				if !options.selects(shop.Name, scenario.Name, choice.Name) {
					continue
				}

				if ctx.Err() != nil {
					return ctx.Err()
				}

				count, err := options.compare(shop, scenario, choice)
				if err != nil {
					return err
				}

				missed += count
				runs++
			}
		}
	}

	if runs == 0 {
		return classifier.New(classifier.InvalidUsage, "nothing is called so; known are %s", known())
	}

	if options.Check && missed > 0 {
		return classifier.New(classifier.ExpectationMissed, "%d stated outcomes were missed in %d runs", missed, runs)
	}

	return nil
}

func (o Options) selects(shop, scenario, policy string) bool {
	return matches(o.Shop, shop) && matches(o.Scenario, scenario) && matches(o.Policy, policy)
}

func matches(wanted, name string) bool {
	return wanted == all || wanted == name
}

// compare plays the runs of one policy, prints them and returns the number of missed outcomes.
func (o Options) compare(shop bencher.Shop, scenario bencher.Scenario, choice bencher.Choice) (int, error) {
	missed := 0

	for seed := o.Seed; seed < o.Seed+max(o.Seeds, 1); seed++ {
		count, err := o.play(shop, scenario, choice, seed)
		if err != nil {
			return 0, err
		}

		missed += count
	}

	return missed, nil
}

func (o Options) play(shop bencher.Shop, scenario bencher.Scenario, choice bencher.Choice, seed uint64) (int, error) {
	out := o.Factory.Streams.Out
	result := bencher.Run(shop, scenario, seed, choice.Build)
	missed := result.Missed(shop)

	if o.Summary {
		_, err := fmt.Fprintf(out, "seed=%d %s missed=%d\n", seed, result.Summary(), len(missed))

		return len(missed), err
	}

	if err := bencher.WriteTable(out, []bencher.Result{result}); err != nil {
		return 0, err
	}

	for _, outcome := range missed {
		fmt.Fprintf(out, "missed: %s: %s\n", outcome.Name, outcome.Got)
	}

	if o.Refusals > 0 {
		writeRefusals(out, bencher.JudgeRefusals(shop, scenario, seed, choice.Build, o.Refusals))
	}

	return len(missed), nil
}

func writeRefusals(out io.Writer, judged []bencher.Refusals) {
	for _, r := range judged {
		fmt.Fprintf(out, "refusals: class=%s accepted=%d accepted_late=%d refused=%d replayed=%d would_have_made_it=%d\n",
			r.Class, r.Accepted, r.Late, r.Refused, r.Replayed, r.WouldHaveMade)
	}
}

// known lists all names that the flags take.
func known() string {
	var names []string

	for _, shop := range bencher.Shops() {
		names = append(names, shop.Name)

		for _, scenario := range bencher.Scenarios(shop) {
			names = append(names, scenario.Name)
		}
	}

	for _, choice := range bencher.Choices() {
		names = append(names, choice.Name)
	}

	slices.Sort(names)

	return strings.Join(slices.Compact(names), ", ")
}
