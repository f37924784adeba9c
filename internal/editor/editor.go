// Package editor changes single values of a YAML text and keeps the order of
// its keys and its comments.
package editor

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// ErrNotFound means that a path to remove is not in the text.
var ErrNotFound = errors.New("there is no such key")

// document is a YAML mapping with its comments.
type document struct {
	root     yaml.MapSlice
	comments yaml.CommentMap
}

// SplitPath parts a path such as "classes.booking.tier" into its keys.
// A key with dots is written in double quotes: organisations."a.b".weight.
func SplitPath(path string) ([]string, error) {
	var (
		keys   []string
		key    strings.Builder
		quoted bool
	)

	for _, r := range path {
		switch {
		case r == '"':
			quoted = !quoted
		case r == '.' && !quoted:
			keys = append(keys, key.String())
			key.Reset()
		default:
			key.WriteRune(r)
		}
	}

	keys = append(keys, key.String())

	for _, v := range keys {
		if v == "" || quoted {
			return nil, errors.Newf("%q is no path; write keys joined by dots, such as classes.booking.tier", path)
		}
	}

	return keys, nil
}

// Set returns text with the value at path, which is YAML itself, written or replaced.
// Mappings that are missing on the way are made. Numbers in keys don't index lists.
func Set(text string, path []string, value string) (string, error) {
	var decoded any
	if err := yaml.UnmarshalWithOptions([]byte(value), &decoded, yaml.UseOrderedMap()); err != nil {
		return "", errors.Newf("the value %q of %s is no YAML: %v", value, strings.Join(path, "."), err)
	}

	d, err := parse(text)
	if err != nil {
		return "", err
	}

	if d.root, err = set(d.root, path, textKeys(decoded)); err != nil {
		return "", err
	}

	return d.render()
}

// Remove returns text without the key at path; it fails with ErrNotFound if there is none.
func Remove(text string, path []string) (string, error) {
	d, err := parse(text)
	if err != nil {
		return "", err
	}

	if d.root, err = remove(d.root, path); err != nil {
		return "", errors.Wrap(err, strings.Join(path, "."))
	}

	return d.render()
}

func parse(text string) (document, error) {
	d := document{comments: yaml.CommentMap{}}

	err := yaml.UnmarshalWithOptions([]byte(text), &d.root, yaml.UseOrderedMap(), yaml.CommentToMap(d.comments))
	if err != nil {
		return document{}, errors.Newf("the text is no YAML mapping: %s", yaml.FormatError(err, false, false))
	}

	d.root, _ = textKeys(d.root).(yaml.MapSlice)

	return d, nil
}

// textKeys turns keys such as 42 or true into texts, which names are. The
// library ends the process by a panic when it writes any other key.
func textKeys(value any) any {
	switch v := value.(type) {
	case yaml.MapSlice:
		for i := range v {
			v[i].Key = fmt.Sprint(v[i].Key)
			v[i].Value = textKeys(v[i].Value)
		}
	case []any:
		for i := range v {
			v[i] = textKeys(v[i])
		}
	}

	return value
}

func (d document) render() (string, error) {
	if len(d.root) == 0 {
		return "", nil
	}

	text, err := yaml.MarshalWithOptions(d.root, yaml.WithComment(d.comments), yaml.IndentSequence(true), yaml.UseLiteralStyleIfMultiline(true))
	if err != nil {
		return "", errors.Wrap(err, "write the edited YAML")
	}

	// The library writes some keys and texts so that they read back as something
	// else. Unnoticed, an edit of one value would change another one.
	again, err := parse(string(text))
	if err != nil || !reflect.DeepEqual(again.root, d.root) {
		return "", errors.New("the text has keys or values that can't be kept in an edit; write the whole branch instead")
	}

	return string(text), nil
}

func set(mapping yaml.MapSlice, path []string, value any) (yaml.MapSlice, error) {
	i := find(mapping, path[0])
	if i < 0 {
		mapping = append(mapping, yaml.MapItem{Key: path[0]})
		i = len(mapping) - 1
	}

	if len(path) == 1 {
		mapping[i].Value = value
		return mapping, nil
	}

	child, ok := mapping[i].Value.(yaml.MapSlice)
	if !ok && mapping[i].Value != nil {
		return nil, errors.Newf("%s has a value; it can't hold the key %s", path[0], path[1])
	}

	child, err := set(child, path[1:], value)
	mapping[i].Value = child

	return mapping, err
}

func remove(mapping yaml.MapSlice, path []string) (yaml.MapSlice, error) {
	i := find(mapping, path[0])
	if i < 0 {
		return nil, ErrNotFound
	}

	if len(path) == 1 {
		return append(mapping[:i], mapping[i+1:]...), nil
	}

	child, ok := mapping[i].Value.(yaml.MapSlice)
	if !ok {
		return nil, ErrNotFound
	}

	child, err := remove(child, path[1:])
	mapping[i].Value = child

	return mapping, err
}

func find(mapping yaml.MapSlice, key string) int {
	for i, v := range mapping {
		if fmt.Sprint(v.Key) == key {
			return i
		}
	}

	return -1
}
