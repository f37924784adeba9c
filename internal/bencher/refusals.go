package bencher

import (
	"maps"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/tracer"
)

// keptSuffix ends the name of a class whose requests are never given up.
const keptSuffix = "_kept"

// Refusals says how right a policy was to give up on the requests of a class.
type Refusals struct {
	Class string
	// Accepted counts first asks that were not refused; Late those of them that missed their target.
	Accepted int
	Late     int
	// Refused counts first asks that were refused. Replayed of them were played
	// again, one at a time and never given up; WouldHaveMade of these met the target.
	Refused       int
	Replayed      int
	WouldHaveMade int
}

// JudgeRefusals plays a scenario, and then again for up to most refusals of
// each class, evenly spread over the run. In each of these runs one request
// belongs to a class of the same tier that is never given up.
func JudgeRefusals(shop Shop, scenario Scenario, seed uint64, build func(World) Policy, most int) []Refusals {
	events := Generate(shop, scenario, seed)
	result := Replay(shop, scenario, events, seed, build)

	var list []Refusals

	for _, c := range result.Classes {
		refused := result.firstRefused[classKey{c.Service, c.Class}]
		judged := Refusals{Class: c.Class, Refused: len(refused), Accepted: c.Requests - len(refused), Late: c.LateFirst}

		for i := 0; i < len(refused) && judged.Replayed < most; i += max(1, len(refused)/most) {
			judged.Replayed++

			if wouldMake(shop, scenario, events, refused[i], seed, build) {
				judged.WouldHaveMade++
			}
		}

		list = append(list, judged)
	}

	return list
}

// wouldMake plays the trace with one event that is never given up.
func wouldMake(shop Shop, scenario Scenario, events []tracer.Event, index int, seed uint64, build func(World) Policy) bool {
	kept := events[index]
	target := shop.Settings.Services[kept.Service].Classes[kept.Class].Target

	changed := append([]tracer.Event(nil), events...)
	changed[index].Class += keptSuffix

	result := Replay(shop.keeping(kept.Service, kept.Class), scenario, changed, seed, build)
	wait := result.Class(kept.Class + keptSuffix).MaxWait

	return wait <= target-2*clientHop
}

// keeping returns the shop with one more class, like the given one but never given up.
func (s Shop) keeping(service, class string) Shop {
	branch := s.Settings.Services[service]
	branch.Classes = maps.Clone(branch.Classes)

	kept := branch.Classes[class]
	kept.Name += keptSuffix
	kept.GuaranteedShare = 0
	kept.Target = time.Hour
	kept.MaxWait = time.Hour
	branch.Classes[kept.Name] = kept

	s.Settings = configurer.Snapshot{Revision: s.Settings.Revision, Services: maps.Clone(s.Settings.Services)}
	s.Settings.Services[service] = branch

	return s
}
