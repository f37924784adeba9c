package checker

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// knownFields holds the results of Fields by type.
var knownFields sync.Map

var durationType = reflect.TypeFor[time.Duration]()

// typeChecker compares the nodes of a document with a type.
//
// The YAML decoder alone would take a bare number as nanoseconds, quoted
// numbers as numbers and so on, and its errors for durations have no line.
type typeChecker struct {
	problems []Problem
	nulls    bool
}

// Types compares a document with the fields of a struct type and their yaml tags.
// No value of a field tagged secret:"true" is shown.
func Types(body ast.Node, want reflect.Type) []Problem {
	var c typeChecker
	c.check(body, want, "", false)

	return c.problems
}

// OverrideTypes is Types for a document whose keys may be null to remove an inherited value.
func OverrideTypes(body ast.Node, want reflect.Type) []Problem {
	c := typeChecker{nulls: true}
	c.check(body, want, "", false)

	return c.problems
}

func (c *typeChecker) add(node ast.Node, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: Line(node), Text: fmt.Sprintf(format, args...)})
}

func (c *typeChecker) check(node ast.Node, want reflect.Type, path string, secret bool) {
	switch node.Type() {
	case ast.NullType:
		c.checkNull(node, path)
		return
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		c.add(node, "%s uses a YAML anchor, alias or tag; write the value out", title(path))
		return
	}

	switch {
	case want == durationType:
		c.checkDuration(node, path)
	case want.Kind() == reflect.Struct:
		c.checkStruct(node, want, path)
	case want.Kind() == reflect.Map:
		c.checkMap(node, want, path)
	case want.Kind() == reflect.Slice:
		c.checkList(node, want, path)
	default:
		c.checkScalar(node, want, path, secret)
	}
}

// checkNull takes an empty value as a mistake even where null is allowed: a key
// whose lines below it were lost would otherwise remove all that it inherits.
func (c *typeChecker) checkNull(node ast.Node, path string) {
	if !c.nulls || path == "" {
		c.add(node, "%s has no value; write one or remove the key", title(path))
		return
	}

	if node.GetToken().Type == token.ImplicitNullType {
		c.add(node, "%s has no value; write one, write null to remove what is inherited, or remove the key", path)
	}
}

func (c *typeChecker) checkDuration(node ast.Node, path string) {
	text := ScalarText(node)

	switch node.Type() {
	case ast.IntegerType, ast.FloatType:
		c.add(node, "%s is %s without a unit; write the unit, such as %sms, %ss or %sm", path, text, text, text, text)
		return
	case ast.StringType:
		if _, err := time.ParseDuration(text); err == nil {
			return
		}
	}

	c.add(node, "%s is %q; write a duration with its unit, such as 300ms, 5s or 2m", path, text)
}

func (c *typeChecker) checkStruct(node ast.Node, want reflect.Type, path string) {
	fields := Fields(want)

	for _, v := range c.entries(node, path) {
		key := KeyText(v)

		field, ok := fields[key]
		if !ok {
			text := fmt.Sprintf("%s is unknown; the keys here are %s", join(path, key), knownKeys(fields))
			c.problems = append(c.problems, Problem{Line: Line(v.Key), Text: text, UnknownKey: true})

			continue
		}

		c.check(v.Value, field.Type, join(path, key), field.Tag.Get("secret") != "")
	}
}

func (c *typeChecker) checkMap(node ast.Node, want reflect.Type, path string) {
	for _, v := range c.entries(node, path) {
		c.check(v.Value, want.Elem(), join(path, KeyText(v)), false)
	}
}

func (c *typeChecker) checkList(node ast.Node, want reflect.Type, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		c.add(node, "%s is no list; write each item on its own line after a dash", path)
		return
	}

	for i, v := range list.Values {
		c.check(v, want.Elem(), fmt.Sprintf("%s[%d]", path, i), false)
	}
}

func (c *typeChecker) checkScalar(node ast.Node, want reflect.Type, path string, secret bool) {
	wanted := "text"
	fits := node.Type() == ast.StringType || node.Type() == ast.LiteralType

	switch want.Kind() {
	case reflect.Bool:
		wanted, fits = "true or false", node.Type() == ast.BoolType
	case reflect.Int, reflect.Int64:
		wanted, fits = "a whole number", node.Type() == ast.IntegerType
	case reflect.Float64:
		wanted, fits = "a number", node.Type() == ast.IntegerType || node.Type() == ast.FloatType
	}

	if fits {
		return
	}

	if wanted == "text" && ScalarText(node) != "" {
		wanted = "text, in quotes if it looks like a number or a truth value"
	}

	if strings.HasSuffix(wanted, "number") && hasUnit(node) {
		wanted += " without a unit"
	}

	if secret {
		c.add(node, "%s has a value of the wrong kind; write %s", path, wanted)
		return
	}

	c.add(node, "%s is %q; write %s", path, ScalarText(node), wanted)
}

// hasUnit reports whether something follows a number, as in 5/s.
func hasUnit(node ast.Node) bool {
	text := ScalarText(node)
	if node.Type() != ast.StringType || text == "" || text[0] < '0' || text[0] > '9' {
		return false
	}

	_, err := strconv.ParseFloat(text, 64)

	return err != nil
}

// entries returns the entries of a mapping and reports any other node.
func (c *typeChecker) entries(node ast.Node, path string) []*ast.MappingValueNode {
	entries, ok := Mapping(node)
	if !ok {
		c.add(node, "%s is no mapping; write its keys below it, each as key: value", title(path))
		return nil
	}

	var kept []*ast.MappingValueNode

	for _, v := range entries {
		if v.Key.IsMergeKey() || v.Value == nil {
			c.add(v, "%s uses a YAML merge key or lacks a value; write the values out", title(path))
			continue
		}

		kept = append(kept, v)
	}

	return kept
}

// Mapping returns the entries of a mapping, and false for any other node.
func Mapping(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch v := node.(type) {
	case *ast.MappingNode:
		return v.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{v}, true
	}

	return nil, false
}

// Fields returns the fields of a struct type by their keys, those of embedded structs among them.
// A field tagged yaml:"-" has no key. The map is shared and not to be changed.
func Fields(t reflect.Type) map[string]reflect.StructField {
	if known, ok := knownFields.Load(t); ok {
		return known.(map[string]reflect.StructField)
	}

	fields := make(map[string]reflect.StructField, t.NumField())
	for _, v := range reflect.VisibleFields(t) {
		if key := v.Tag.Get("yaml"); key != "-" && !v.Anonymous {
			fields[key] = v
		}
	}

	knownFields.Store(t, fields)

	return fields
}

func knownKeys(fields map[string]reflect.StructField) string {
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}

	sort.Strings(keys)

	return strings.Join(keys, ", ")
}

// KeyText returns the key of an entry.
func KeyText(entry *ast.MappingValueNode) string {
	return ScalarText(entry.Key)
}

// ScalarText returns the text of a scalar, or nothing for any other node.
func ScalarText(node ast.Node) string {
	switch v := node.(type) {
	case *ast.StringNode:
		return v.Value
	case *ast.LiteralNode:
		return v.Value.Value
	case ast.ScalarNode:
		return v.GetToken().Value
	}

	return ""
}

// Line returns the line on which a node begins, counted from 1.
func Line(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}

	// The token of a mapping entry is its colon, which stands on the key's line.
	return node.GetToken().Position.Line
}

func join(path, key string) string {
	if path == "" {
		return key
	}

	return path + "." + key
}

func title(path string) string {
	if path == "" {
		return "the file"
	}

	return path
}
