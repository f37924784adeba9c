package configurer

import (
	"maps"
	"slices"
)

// organisationSet is what one or more services have as organisations.
type organisationSet struct {
	at *node
	// service names the first service with the set, for what is told of faults.
	service string
	byName  map[string]Organisation
}

// owner is the organisation that a bearer key belongs to.
type owner struct {
	organisation string
	at           *node
}

// collect notes a service's set of organisations once, however many services inherit it.
func (t *tree) collect(service Service, at *node) {
	same := func(s organisationSet) bool { return s.at == at }

	if at != nil && !slices.ContainsFunc(t.sets, same) {
		t.sets = append(t.sets, organisationSet{at: at, service: service.Name, byName: service.Organisations})
	}
}

// checkOrganisations looks at the collected sets, unless the tree before had the same and they were right.
func (t *tree) checkOrganisations() {
	same := func(a, b organisationSet) bool { return a.at == b.at }
	if t.previous.organisationsSound && slices.EqualFunc(t.sets, t.previous.sets, same) {
		t.organisationsSound = true
		return
	}

	t.flagged = false
	owners := map[string]owner{}

	for _, s := range t.sets {
		for _, k := range slices.Sorted(maps.Keys(s.byName)) {
			v := s.byName[k]
			t.checkMissing(s.service, s.at.child(k), []string{"organisations", k}, v)
			t.checkHashes(owners, v, s.at.child(k))
		}
	}

	t.organisationsSound = !t.flagged
}

// checkHashes refuses a bearer key that belongs to two organisations: which of them a
// request is counted for would depend on the order in which they are looked at.
func (t *tree) checkHashes(owners map[string]owner, organisation Organisation, at *node) {
	for _, v := range organisation.KeyHashes {
		known, ok := owners[v]
		if !ok {
			owners[v] = owner{organisation: organisation.Name, at: at}
			continue
		}

		if known.organisation != organisation.Name {
			t.addAt(at.nearest([]string{"key_hashes"}), "organisations.%s.key_hashes has %s, which organisation %s has in branch %s, line %d; keep it in one of the two",
				organisation.Name, v, known.organisation, shown(known.at.branch), known.at.line)
		}
	}
}
