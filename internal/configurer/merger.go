package configurer

import (
	"fmt"
	"reflect"

	"quincepath.example/quincepath/internal/checker"
)

// merger lays a branch over what it inherits.
type merger struct {
	problems []checker.Problem
}

// merge returns what holds when child overrides parent: mappings merge by key, other
// values replace, null removes. Parts that the child leaves alone are shared, not copied.
func (m *merger) merge(parent, child *node, path string) *node {
	if parent != nil && parent.children != nil && len(child.children) == 0 && child.children != nil {
		return parent
	}

	if child.children == nil || (parent == nil && !child.removes) {
		return child
	}

	made := &node{branch: child.branch, line: child.line, children: map[string]*node{}}
	if parent != nil {
		for k, v := range parent.children {
			made.children[k] = v
		}
	}

	for k, v := range child.children {
		at := join(path, k)

		if !v.removed {
			made.children[k] = m.merge(made.children[k], v, at)
			continue
		}

		m.checkRemoval(made.children[k], v, at)
		delete(made.children, k)
	}

	return made
}

// checkRemoval refuses a null that removes nothing. It is most often a mistyped
// name, and the organisation or upstream that was meant would stay in force unnoticed.
func (m *merger) checkRemoval(inherited, removal *node, path string) {
	if inherited != nil {
		return
	}

	text := fmt.Sprintf("%s is null, but nothing of this name is inherited; correct the name or remove the line", path)
	m.problems = append(m.problems, checker.Problem{Line: removal.line, Text: text})
}

func join(path, key string) string {
	if path == "" {
		return key
	}

	return path + "." + key
}

// decodeAs fills a struct or map from a node. Parts that branches share by inheritance are
// decoded once, so that a thousand organisations of the root cost the same for one service as for twenty.
func decodeAs[T any](from *node) T {
	return decode(from, reflect.TypeFor[T]()).Interface().(T)
}

func decode(from *node, want reflect.Type) reflect.Value {
	if from == nil {
		return emptyOf(want)
	}

	if from.children == nil || (from.value.IsValid() && from.value.Type() == want) {
		return from.value
	}

	from.value = decodeStruct(from, want)

	return from.value
}

func decodeStruct(from *node, want reflect.Type) reflect.Value {
	if want.Kind() == reflect.Map {
		return decodeMap(from, want)
	}

	value := reflect.New(want).Elem()
	fields := checker.Fields(want)

	for k, v := range from.children {
		value.FieldByIndex(fields[k].Index).Set(decode(v, fields[k].Type))
	}

	return value
}

func decodeMap(from *node, want reflect.Type) reflect.Value {
	value := reflect.MakeMapWithSize(want, len(from.children))

	for k, v := range from.children {
		element := reflect.New(want.Elem()).Elem()
		element.Set(decode(v, want.Elem()))

		if name := element.FieldByName("Name"); name.IsValid() {
			name.SetString(k)
		}

		value.SetMapIndex(reflect.ValueOf(k), element)
	}

	return value
}

func emptyOf(want reflect.Type) reflect.Value {
	if want.Kind() == reflect.Map {
		return reflect.MakeMap(want)
	}

	return reflect.Zero(want)
}
