package configurer

import (
	"maps"
	"slices"
	"strings"

	"quincepath.example/quincepath/internal/checker"
)

// isService reports whether the branch serves requests: it sets kind itself, and has
// upstreams, of its own or inherited. A branch that merely inherits a kind is a template or a group.
func (t *tree) isService(path string) bool {
	kind := t.own[path].child("kind")

	return kind != nil && !kind.removed && t.merged[path].child("upstreams") != nil
}

func (t *tree) addService(services map[string]Service, path string) {
	if !t.isService(path) {
		return
	}

	merged := t.merged[path]

	service, ok := t.previous.sound[path]
	if !ok || t.previous.merged[path] != merged {
		t.flagged = false
		service = t.newService(path, merged)
		t.checkService(service)
		ok = !t.flagged
	}

	if ok {
		t.sound[path] = service
	}

	// These look beyond the service itself.
	t.checkName(services, service)
	t.collect(service, merged.child("organisations"))
	services[service.Name] = service
}

func (t *tree) newService(path string, merged *node) Service {
	service := Service{
		Name:          lastName(path),
		Branch:        path,
		Kind:          leafAs[Kind](merged.child("kind")),
		DefaultClass:  leafAs[string](merged.child("default_class")),
		Classes:       t.classes(path, merged),
		Organisations: decodeAs[map[string]Organisation](merged.child("organisations")),
		Upstreams:     decodeAs[map[string]Upstream](merged.child("upstreams")),
		Desired:       decodeAs[Desired](merged.child("desired")),
		Orders:        decodeAs[Orders](merged.child("orders")),
	}

	if name := leafAs[string](merged.child("service")); name != "" {
		service.Name = name
	}

	return service
}

func leafAs[T any](from *node) T {
	var none T
	if from == nil || !from.value.IsValid() {
		return none
	}

	return from.value.Interface().(T)
}

// classes lays each class over its service level.
func (t *tree) classes(path string, merged *node) map[string]Class {
	if t.keepsClasses(path) {
		return t.previous.sound[path].Classes
	}

	made := map[string]Class{}
	for k := range merged.child("classes").all() {
		class := decodeAs[Class](t.levelled(merged, k))
		class.Name = k
		made[k] = class
	}

	return made
}

// keepsClasses reports whether the classes of a service are those of the tree before, in which nothing was wrong.
func (t *tree) keepsClasses(path string) bool {
	_, sound := t.previous.sound[path]
	before, merged := t.previous.merged[path], t.merged[path]

	return sound && before.child("classes") == merged.child("classes") && before.child("levels") == merged.child("levels")
}

// levelled returns the fields of a class, those of its service level below its own.
func (t *tree) levelled(merged *node, name string) *node {
	class := merged.child("classes").child(name)
	named := class.child("level")
	plain := without(class, "level")

	if named == nil {
		return plain
	}

	level := merged.child("levels").child(named.text)
	if level == nil {
		known := slices.Sorted(maps.Keys(merged.child("levels").all()))
		t.addAt(named, "classes.%s.level is %q; name one of the service levels: %s", name, named.text, strings.Join(known, ", "))

		return plain
	}

	var m merger

	return m.merge(level, plain, "")
}

func (n *node) all() map[string]*node {
	if n == nil {
		return nil
	}

	return n.children
}

func (t *tree) checkName(services map[string]Service, service Service) {
	at := t.merged[service.Branch].nearest([]string{"service"})

	if !checker.IsName(service.Name) {
		t.addAt(at, "the root serves requests, but has no name; write one as service")
		return
	}

	if other, ok := services[service.Name]; ok {
		t.addAt(at, "the service name %q is taken by branch %s; give one of the two another name as service", service.Name, shown(other.Branch))
	}
}

func (t *tree) checkService(service Service) {
	merged := t.merged[service.Branch]

	if service.DefaultClass == "" {
		t.addAt(merged, "service %s: default_class is missing; name one of the service's classes", service.Name)
	}

	if len(service.Classes) == 0 {
		t.addAt(merged, "service %s: classes are missing; write at least one", service.Name)
	}

	for k, v := range service.Classes {
		if t.keepsClasses(service.Branch) {
			break
		}

		t.checkMissing(service.Name, t.levelled(merged, k), []string{"classes", k}, v)
	}

	for k, v := range service.Upstreams {
		t.checkMissing(service.Name, merged.child("upstreams").child(k), []string{"upstreams", k}, v)
	}

	for _, v := range service.Faults() {
		t.addAt(merged.nearest(v.Path), "service %s: %s %s", service.Name, strings.Join(v.Path, "."), v.Text)
	}
}

// checkMissing reports rules broken by fields that are nowhere written; written ones were checked in their branch.
func (t *tree) checkMissing(service string, from *node, path []string, value any) {
	if from.sound {
		return
	}

	faults := checker.Struct(value)
	from.sound = len(faults) == 0

	for _, v := range faults {
		if from.child(v.Path[0]) == nil {
			t.addAt(from, "service %s: %s.%s is missing; %s", service, strings.Join(path, "."), v.Shown, v.Advice)
		}
	}
}
