// Package seeder sets a fixed seed for property-based tests, so that their results are reproducible. Only tests import it.
package seeder

import "flag"

// SetSeed sets the seed of package rapid and turns off its failure files. Call it in TestMain before the flags are parsed, so
// that -rapid.seed and -rapid.checks on the command line take precedence. It panics if the test binary doesn't import rapid.
func SetSeed(seed string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
