package reporter

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Expectations are the stated outcomes of a trace.
type Expectations struct {
	// Classes are by "service/class".
	Classes map[string]ClassExpectation `yaml:"classes"`
	Total   TotalExpectation            `yaml:"total"`
}

// ClassExpectation states the outcome of one class. Nil and empty fields state nothing.
type ClassExpectation struct {
	// Target is the latency target as a duration with its unit; it goes before the one in the settings.
	Target string `yaml:"target"`
	// MaxP95 bounds the latency's 95th percentile, as a duration with its unit.
	MaxP95 string `yaml:"max_p95"`
	// MinAttainment, MinFinished and MaxRefused are shares from 0 to 1 of what was asked.
	MinAttainment *float64 `yaml:"min_attainment"`
	MinFinished   *float64 `yaml:"min_finished"`
	MaxRefused    *float64 `yaml:"max_refused"`
	// The others are counts.
	MaxFailed  *int `yaml:"max_failed"`
	MaxWrong   *int `yaml:"max_wrong"`
	MaxMissing *int `yaml:"max_missing"`
	MaxDouble  *int `yaml:"max_double"`
}

// TotalExpectation states the outcome of the whole trace.
type TotalExpectation struct {
	MaxWrong        *int `yaml:"max_wrong"`
	MaxMissing      *int `yaml:"max_missing"`
	MaxDouble       *int `yaml:"max_double"`
	MaxNotRunButRan *int `yaml:"max_not_run_but_ran"`
	// MaxLateShare and MaxWastedShare are shares from 0 to 1: of the events, and of the tokens produced.
	MaxLateShare   *float64 `yaml:"max_late_share"`
	MaxWastedShare *float64 `yaml:"max_wasted_share"`
}

// ParseExpectations reads a file of stated outcomes strictly. Its errors carry
// classifier.SettingsInvalid and name the file, the line, the value and what would be right.
func ParseExpectations(name string, data []byte) (Expectations, error) {
	var e Expectations

	if err := yaml.UnmarshalWithOptions(data, &e, yaml.Strict()); err != nil {
		return Expectations{}, yamlProblem(name, err)
	}

	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Expectations{}, yamlProblem(name, err)
	}

	c := expectationChecker{name: name, file: file}
	for _, k := range slices.Sorted(maps.Keys(e.Classes)) {
		c.checkClass(k, e.Classes[k])
	}

	for k, v := range map[string]*float64{"max_late_share": e.Total.MaxLateShare, "max_wasted_share": e.Total.MaxWastedShare} {
		c.checkShare(v, "total", k)
	}

	if len(c.problems) > 0 {
		slices.Sort(c.problems)

		return Expectations{}, classifier.New(classifier.SettingsInvalid, "%s", strings.Join(c.problems, "\n"))
	}

	return e, nil
}

// yamlProblem names the place and the value of an error of the YAML library.
func yamlProblem(name string, err error) error {
	var (
		located   yaml.Error
		wrongKind *yaml.TypeError
	)

	if !errors.As(err, &located) || located.GetToken() == nil {
		return classifier.New(classifier.SettingsInvalid, "%s: %s", name, yaml.FormatError(err, false, false))
	}

	at := located.GetToken()
	if errors.As(err, &wrongKind) {
		return classifier.New(classifier.SettingsInvalid, "%s:%d: %q is of the wrong kind; write a value of type %s",
			name, at.Position.Line, at.Value, wrongKind.DstType)
	}

	return classifier.New(classifier.SettingsInvalid, "%s:%d: %s; docs/TRACES.md lists the keys", name, at.Position.Line, located.GetMessage())
}

// expectationChecker gathers the values out of range.
type expectationChecker struct {
	name     string
	file     *ast.File
	problems []string
}

func (c *expectationChecker) checkClass(name string, e ClassExpectation) {
	if service, class, ok := strings.Cut(name, "/"); !ok || service == "" || class == "" {
		c.add("write service/class", name, "classes", name)
	}

	for k, v := range map[string]string{"target": e.Target, "max_p95": e.MaxP95} {
		length, err := time.ParseDuration(v)
		if v != "" && (err != nil || length <= 0) {
			c.add("write a duration above zero with its unit, such as 300ms or 5s", v, "classes", name, k)
		}
	}

	for k, v := range map[string]*float64{"min_attainment": e.MinAttainment, "min_finished": e.MinFinished, "max_refused": e.MaxRefused} {
		c.checkShare(v, "classes", name, k)
	}
}

func (c *expectationChecker) checkShare(value *float64, path ...string) {
	if value != nil && (*value < 0 || *value > 1) {
		c.add("write a share from 0 to 1", fmt.Sprint(*value), path...)
	}
}

func (c *expectationChecker) add(advice, value string, path ...string) {
	c.problems = append(c.problems, fmt.Sprintf("%s:%d: %s is %q; %s", c.name, c.line(path), strings.Join(path, "."), value, advice))
}

func (c *expectationChecker) line(path []string) int {
	builder := (&yaml.PathBuilder{}).Root()
	for _, v := range path {
		builder = builder.Child(v)
	}

	node, err := builder.Build().FilterFile(c.file)
	if err != nil {
		return 1
	}

	return node.GetToken().Position.Line
}

// Targets returns the known targets with those of the expectations put over them.
func (e Expectations) Targets(known map[replayer.ClassKey]time.Duration) map[replayer.ClassKey]time.Duration {
	targets := maps.Clone(known)
	if targets == nil {
		targets = map[replayer.ClassKey]time.Duration{}
	}

	for k, v := range e.Classes {
		service, class, _ := strings.Cut(k, "/")
		if target, err := time.ParseDuration(v.Target); err == nil {
			targets[replayer.ClassKey{Service: service, Class: class}] = target
		}
	}

	return targets
}

// Missed returns an error with classifier.ExpectationMissed when a check of the report is missed, or nil.
func (r Report) Missed() error {
	missed := 0

	for _, v := range r.Checks {
		if !v.Met {
			missed++
		}
	}

	if missed == 0 {
		return nil
	}

	return errors.WithStack(classifier.New(classifier.ExpectationMissed, "%d of %d stated outcomes are missed", missed, len(r.Checks)))
}
