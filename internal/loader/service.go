package loader

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// Service is one service of the first tree; its name is its key in the file.
type Service struct {
	// Branch is the path of the branch in the tree; the service's name when left out.
	Branch string `yaml:"branch"`
	// Kind is "engine" or "plain".
	Kind    string           `yaml:"kind" validate:"required,oneof=engine plain"`
	Classes map[string]Class `yaml:"classes" validate:"min=1,dive,keys,name,endkeys"`
	// DefaultClass is a key of Classes.
	DefaultClass  string                  `yaml:"default_class" validate:"required"`
	Organisations map[string]Organisation `yaml:"organisations" validate:"dive,keys,name,endkeys"`
	Upstreams     map[string]Upstream     `yaml:"upstreams" validate:"dive,keys,name,endkeys"`
}

// Class is a request class; see configurer.Class for the meaning of its fields.
type Class struct {
	Tier            int           `yaml:"tier" validate:"min=1,max=5"`
	Target          time.Duration `yaml:"target" validate:"min=1ms,max=24h"`
	TokenGap        time.Duration `yaml:"token_gap" validate:"min=0s,max=1h"`
	GapLimit        time.Duration `yaml:"gap_limit" validate:"min=1ms,max=24h"`
	GuaranteedShare float64       `yaml:"guaranteed_share" validate:"min=0,max=1"`
	MoveUpAfter     time.Duration `yaml:"move_up_after" validate:"min=0s,max=24h"`
	MaxWait         time.Duration `yaml:"max_wait" validate:"min=1ms,max=24h"`
	Repeatable      bool          `yaml:"repeatable"`
	Hedge           bool          `yaml:"hedge"`
	RetryBudget     float64       `yaml:"retry_budget" validate:"min=0,max=0.1"`
}

// Organisation is a customer; see configurer.Organisation for the meaning of its fields.
type Organisation struct {
	KeyHashes         []string `yaml:"key_hashes" validate:"unique,dive,sha256_hex"`
	Weight            int      `yaml:"weight" validate:"min=1,max=1000000"`
	RequestsPerSecond float64  `yaml:"requests_per_second" validate:"min=0,max=1000000000"`
	Concurrency       int      `yaml:"concurrency" validate:"min=0,max=1000000000"`
	TokensPerSecond   float64  `yaml:"tokens_per_second" validate:"min=0,max=1000000000"`
}

// Upstream is a server of a service; see configurer.Upstream for the meaning of its fields.
type Upstream struct {
	Address       string `yaml:"address" validate:"required,ip_url"`
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	Leaving       bool   `yaml:"leaving"`
	ChecksFencing bool   `yaml:"checks_fencing"`
	Slots         int    `yaml:"slots" validate:"min=1,max=1000000"`
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
	}
	if resolved.Branch == "" {
		resolved.Branch = name
	}

	for k, v := range s.Classes {
		resolved.Classes[k] = v.resolved(k)
	}

	for k, v := range s.Organisations {
		resolved.Organisations[k] = v.resolved(k)
	}

	for k, v := range s.Upstreams {
		resolved.Upstreams[k] = v.resolved(k)
	}

	return resolved
}

func (c Class) resolved(name string) configurer.Class {
	return configurer.Class{
		Name:            name,
		Tier:            c.Tier,
		Target:          c.Target,
		TokenGap:        c.TokenGap,
		GapLimit:        c.GapLimit,
		GuaranteedShare: c.GuaranteedShare,
		MoveUpAfter:     c.MoveUpAfter,
		MaxWait:         c.MaxWait,
		Repeatable:      c.Repeatable,
		Hedge:           c.Hedge,
		RetryBudget:     c.RetryBudget,
	}
}

func (o Organisation) resolved(name string) configurer.Organisation {
	return configurer.Organisation{
		Name:              name,
		KeyHashes:         append([]string(nil), o.KeyHashes...),
		Weight:            o.Weight,
		RequestsPerSecond: o.RequestsPerSecond,
		Concurrency:       o.Concurrency,
		TokensPerSecond:   o.TokensPerSecond,
	}
}

func (u Upstream) resolved(name string) configurer.Upstream {
	return configurer.Upstream{
		Name:          name,
		Address:       u.Address,
		FailureDomain: u.FailureDomain,
		Leaving:       u.Leaving,
		ChecksFencing: u.ChecksFencing,
		Slots:         u.Slots,
	}
}
