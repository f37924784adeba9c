package tracer

import "time"

// Story is a generator of traces for one event that users told.
type Story struct {
	// Name is unique, in snake case.
	Name string
	// Summary is one sentence on what the trace holds.
	Summary string
	// Generate returns the same sorted events for the same seed.
	Generate func(seed uint64) []Event
}

// Stories returns all generators in the order of the docs.
func Stories() []Story {
	return []Story{
		{"overnight_notes", "A batch of care notes waits behind the owners' chat, which alone nearly fills the engines.", OvernightNotes},
		{"double_confirmation", "Clients whose booking hangs ask again with the same idempotency key.", DoubleConfirmation},
		{"hung_lookup", "Steady counter lookups, for an upstream whose open connections go silent.", HungLookup},
		{"late_clearance", "Morning clearances and check-ins arrive at once while reviews and drafts run.", LateClearance},
		{"draft_sent_twice", "Renewal drafts are asked for again with the same idempotency key while they run.", DraftSentTwice},
		{"mix", "A short run of all classes of both shops with one burst.", Mix},
	}
}

// Find returns the story of a name.
func Find(name string) (Story, bool) {
	for _, v := range Stories() {
		if v.Name == name {
			return v, true
		}
	}

	return Story{}, false
}

// salons, sites and jurists are the organisations of the two shops' classes. One that
// stands twice is large: it sends twice as much as each other.
var (
	salons  = []string{"salone-catania", "salone-catania", "salone-siracusa", "salone-acireale"}
	sites   = []string{"equipe-ronan", "equipe-ronan", "equipe-brest", "equipe-quimper"}
	jurists = []string{"juristes", "bailleurs"}
)

var (
	counterLookup  = kind{service: "assistente", class: "counter_lookup", organisations: salons, promptMedian: 40, answerMedian: 12, spread: 0.4, comeBack: true}
	ownerChat      = kind{service: "assistente", class: "owner_chat", organisations: salons, promptMedian: 120, answerMedian: 60, spread: 0.8, comeBack: true}
	careNotes      = kind{service: "assistente", class: "care_notes", organisations: salons, promptMedian: 200, answerMedian: 100, spread: 0.5, comeBack: true}
	priceLookup    = kind{service: "banco", class: "lookup", path: "/price", organisations: salons, comeBack: true}
	booking        = kind{service: "banco", class: "booking", path: "/bookings", organisations: salons, notRepeatable: true, comeBack: true}
	crewAnswer     = kind{service: "redacteur", class: "crew_answer", organisations: sites, promptMedian: 50, answerMedian: 20, spread: 0.4, comeBack: true}
	renewalDraft   = kind{service: "redacteur", class: "renewal_draft", organisations: jurists, promptMedian: 250, answerMedian: 120, spread: 0.5, notRepeatable: true, comeBack: true}
	contractReview = kind{service: "redacteur", class: "contract_review", organisations: jurists, promptMedian: 800, answerMedian: 250, spread: 0.6, comeBack: true}
	clearance      = kind{service: "acces-site", class: "clearance", path: "/clearances", organisations: sites, comeBack: true}
	checkIn        = kind{service: "acces-site", class: "check_in", path: "/check-ins", organisations: sites, notRepeatable: true, comeBack: true}
)

// OvernightNotes is the twelfth of March: 120 care notes come within two seconds
// into a chat that takes nearly all of the engines, with a few counter lookups.
func OvernightNotes(seed uint64) []Event {
	m := newMaker("overnight_notes", seed)
	m.flow(ownerChat, 6, 20*time.Second)
	m.flow(counterLookup, 2, 20*time.Second)
	m.burst(careNotes, 120, time.Second, 3*time.Second)

	return m.trace()
}

// DoubleConfirmation is the nineteenth of March: every third booking is asked for again,
// some while the first still runs and some after its answer.
func DoubleConfirmation(seed uint64) []Event {
	m := newMaker("double_confirmation", seed)
	m.flow(priceLookup, 8, 15*time.Second)

	for i := range 60 {
		e := m.add(booking, m.between(0, 14*time.Second))
		if i%3 == 0 {
			m.again(e, m.between(2*time.Millisecond, 60*time.Millisecond))
		}

		if i%6 == 0 {
			m.again(e, m.between(500*time.Millisecond, 1500*time.Millisecond))
		}
	}

	return m.trace()
}

// HungLookup is the second of April: lookups at the counter on both services.
// The hang itself is a fault of an upstream, which whoever plays the trace switches on.
func HungLookup(seed uint64) []Event {
	m := newMaker("hung_lookup", seed)
	m.flow(priceLookup, 12, 15*time.Second)
	m.flow(counterLookup, 4, 15*time.Second)
	m.flow(ownerChat, 1, 15*time.Second)

	return m.trace()
}

// LateClearance is a morning in Brittany: the crews' clearances, check-ins and
// questions come within three seconds into running reviews and drafts.
func LateClearance(seed uint64) []Event {
	m := newMaker("late_clearance", seed)
	m.flow(contractReview, 1.5, 15*time.Second)
	m.flow(renewalDraft, 1, 15*time.Second)
	m.flow(clearance, 2, 15*time.Second)
	m.burst(clearance, 90, 5*time.Second, 8*time.Second)
	m.burst(checkIn, 60, 5*time.Second, 8*time.Second)
	m.burst(crewAnswer, 60, 5*time.Second, 8*time.Second)

	return m.trace()
}

// DraftSentTwice asks for every second renewal draft again: at once, while it
// runs, or after its end, beside the crews' questions.
func DraftSentTwice(seed uint64) []Event {
	m := newMaker("draft_sent_twice", seed)
	m.flow(crewAnswer, 4, 15*time.Second)

	for i := range 30 {
		e := m.add(renewalDraft, m.between(0, 12*time.Second))
		if i%2 == 0 {
			m.again(e, m.between(5*time.Millisecond, 3*time.Second))
		}
	}

	return m.trace()
}

// Mix holds all classes of both shops for twelve seconds. From the fourth to the
// seventh second, low tiers ask for more than four small engines give.
func Mix(seed uint64) []Event {
	const end = 12 * time.Second

	m := newMaker("mix", seed)
	m.flow(counterLookup, 8, end)
	m.flow(ownerChat, 5, end)
	m.flow(priceLookup, 15, end)
	m.flow(crewAnswer, 6, end)
	m.flow(contractReview, 0.7, end)
	m.flow(clearance, 10, end)
	m.flow(checkIn, 3, end)
	m.burst(careNotes, 40, 4*time.Second, 5*time.Second)
	m.burst(ownerChat, 45, 4*time.Second, 7*time.Second)
	m.burst(contractReview, 10, 4*time.Second, 5*time.Second)

	for i := range 30 {
		first := m.add(booking, m.between(0, end-time.Second))
		if i%4 == 0 {
			m.again(first, m.between(5*time.Millisecond, 800*time.Millisecond))
		}
	}

	for i := range 12 {
		first := m.add(renewalDraft, m.between(0, end-2*time.Second))
		if i%4 == 0 {
			m.again(first, m.between(5*time.Millisecond, time.Second))
		}
	}

	return m.trace()
}
