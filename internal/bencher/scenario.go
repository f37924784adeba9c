package bencher

import "time"

// Scenario is one seeded trace with its faults.
type Scenario struct {
	Name string
	// Length is the time in which requests arrive; zero means defaultLength.
	Length time.Duration
	// Load is the offered work of every service as a part of its capacity.
	Load float64
	// Bursts are added on top of Load.
	Bursts []Burst
	Faults []Fault
	// ReportLag is the age of every load report; zero means defaultReportLag.
	ReportLag time.Duration
	// Crowd makes the callers of the burst classes impatient.
	Crowd Crowd
	// Repeated is the part of each class's mean prompt with which all prompts of an
	// organisation begin. Above zero, engines cache prompt prefixes.
	Repeated float64
	// Prompts is the number of different beginnings that an organisation uses in a class.
	Prompts int
	// CacheBlocks is the memory of each engine for prefixes, in blocks.
	CacheBlocks int
}

func (s Scenario) length() time.Duration {
	if s.Length == 0 {
		return defaultLength
	}

	return s.Length
}

func (s Scenario) reportLag() time.Duration {
	if s.ReportLag == 0 {
		return defaultReportLag
	}

	return s.ReportLag
}

// Burst multiplies one class: its offered work becomes Capacities times the capacity of its service.
type Burst struct {
	Class      string
	Capacities float64
	From, To   time.Duration
}

// FaultKind says what happens to a server.
type FaultKind string

// The faults that a fake server can have.
const (
	FaultStraggle FaultKind = "straggle"
	FaultCrash    FaultKind = "crash"
	FaultSilent   FaultKind = "silent"
	FaultRecover  FaultKind = "recover"
)

// Fault happens at one time to neighbouring servers of a service, in the order of their names.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// First is the index of the first server that is struck.
	First int
	// Part is the part of the servers of each service; zero means one engine and no plain server.
	Part float64
}

// Crowd describes callers that hang up and ask again.
type Crowd struct {
	// Classes are the classes of impatient callers; empty means that nobody hangs up.
	Classes []string
	// Obey says that a refused caller waits for Retry-After; others ask again after eagerPause.
	Obey bool
}

const (
	defaultLength    = 60 * time.Second
	drainLength      = 20 * time.Minute
	defaultReportLag = time.Second
	reportPeriod     = 500 * time.Millisecond
	eagerPause       = 300 * time.Millisecond
	// patience times the class's target is how long an impatient caller waits for a first token.
	patience  = 3
	mostTries = 6
	// straggleFactor makes a straggler run at a fifth of its speed.
	straggleFactor = 5
)

// Scenarios returns the scenarios that a shop is measured by.
func Scenarios(s Shop) []Scenario {
	bursting := "owner_chat"
	if s.Name == "le_goff" {
		bursting = "renewal_draft"
	}

	burst := Burst{Class: bursting, Capacities: 3, From: 15 * time.Second, To: 25 * time.Second}
	third := Fault{At: 20 * time.Second, Kind: FaultCrash, Part: 1.0 / 3}

	return []Scenario{
		{Name: "steady", Load: 0.8},
		{Name: "class_burst", Load: 0.7, Bursts: []Burst{burst}},
		{Name: "overload", Length: 2 * time.Minute, Load: 1.2},
		{Name: "straggler", Load: 0.8, Faults: []Fault{{At: 15 * time.Second, Kind: FaultStraggle}}},
		{Name: "engine_crash", Load: 0.8, Faults: []Fault{
			{At: 20 * time.Second, Kind: FaultCrash}, {At: 40 * time.Second, Kind: FaultRecover},
		}},
		{Name: "engine_silent", Load: 0.8, Faults: []Fault{
			{At: 20 * time.Second, Kind: FaultSilent}, {At: 40 * time.Second, Kind: FaultRecover},
		}},
		{Name: "reports_lag", Load: 0.9, ReportLag: 5 * time.Second},
		{Name: "third_gone", Load: 0.8, Faults: []Fault{third}},
		{Name: "several", Load: 0.9, ReportLag: 5 * time.Second, Bursts: []Burst{burst}, Faults: []Fault{
			{At: 10 * time.Second, Kind: FaultStraggle, First: 1},
			{At: 18 * time.Second, Kind: FaultSilent, First: 2},
			{At: 20 * time.Second, Kind: FaultCrash, First: 4, Part: 0.25},
		}},
		{Name: "crowd_eager", Load: 0.8, Bursts: []Burst{burst}, Crowd: Crowd{Classes: []string{bursting}}},
		{Name: "crowd_obeying", Load: 0.8, Bursts: []Burst{burst}, Crowd: Crowd{Classes: []string{bursting}, Obey: true}},
	}
}

// PrefixScenarios returns the scenarios by which the use of cache events is
// measured: each organisation has eight beginnings of prompts in every class,
// three quarters as long as the mean prompt, and engines remember 512 blocks.
func PrefixScenarios(s Shop) []Scenario {
	var list []Scenario

	for _, scenario := range Scenarios(s) {
		switch scenario.Name {
		case "steady", "straggler", "third_gone", "several":
			scenario.Repeated, scenario.Prompts, scenario.CacheBlocks = 0.75, 8, 512
			list = append(list, scenario)
		}
	}

	return list
}
