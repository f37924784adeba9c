package loader

import (
	"quincepath.example/quincepath/internal/configurer"
)

// Service is one service of the first tree; its name is its key in the file.
type Service struct {
	// Branch is the path of the branch in the tree; the service's name when left out.
	Branch string `yaml:"branch"`
	// Kind is "engine" or "plain".
	Kind    string                      `yaml:"kind" validate:"required,oneof=engine plain"`
	Classes map[string]configurer.Class `yaml:"classes" validate:"min=1,dive,keys,name,endkeys"`
	// DefaultClass is a key of Classes.
	DefaultClass  string                             `yaml:"default_class" validate:"required"`
	Organisations map[string]configurer.Organisation `yaml:"organisations" validate:"dive,keys,name,endkeys"`
	Upstreams     map[string]configurer.Upstream     `yaml:"upstreams" validate:"dive,keys,name,endkeys"`
	// Desired and Orders are those of the settings tree.
	Desired configurer.Desired `yaml:"desired"`
	Orders  configurer.Orders  `yaml:"orders"`
}

// Snapshot returns the services part as a settings tree with revision 0,
// which any tree of the platform replaces.
func (s Settings) Snapshot() configurer.Snapshot {
	services := make(map[string]configurer.Service, len(s.Services))
	for name, v := range s.Services {
		services[name] = v.resolved(name)
	}

	return configurer.Snapshot{Services: services}
}

func (s Service) resolved(name string) configurer.Service {
	resolved := configurer.Service{
		Name:          name,
		Branch:        s.Branch,
		Kind:          configurer.Kind(s.Kind),
		Classes:       make(map[string]configurer.Class, len(s.Classes)),
		DefaultClass:  s.DefaultClass,
		Organisations: make(map[string]configurer.Organisation, len(s.Organisations)),
		Upstreams:     make(map[string]configurer.Upstream, len(s.Upstreams)),
		Desired:       s.Desired,
		Orders:        s.Orders,
	}
	if resolved.Branch == "" {
		resolved.Branch = name
	}

	for k, v := range s.Classes {
		v.Name = k
		resolved.Classes[k] = v
	}

	for k, v := range s.Organisations {
		v.Name = k
		resolved.Organisations[k] = v
	}

	for k, v := range s.Upstreams {
		v.Name = k
		resolved.Upstreams[k] = v
	}

	return resolved
}
