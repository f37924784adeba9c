package balancer

// Options selects the decisions of a Pool that are off by default. Without them a pool decides as it did before they existed.
type Options struct {
	// ServerPace estimates the pace of each server instead of one slowdown, and keeps prompts away from streams whose gap
	// limit they would exceed.
	ServerPace bool
	// WorkAdmission measures scarce room in work instead of requests and shares it among organisations.
	WorkAdmission bool
	// CacheTracking corrects the cached prompt parts by what the servers report.
	CacheTracking bool
}
