// Package seeder fixes the seed of property tests, so that they give the same
// verdict every time. Only tests import it.
package seeder

import "flag"

// SetSeed sets the seed of package rapid and keeps it from writing failure files.
// Call it in TestMain before the flags are parsed: -rapid.seed and
// -rapid.checks of the command line then still go first. It panics when the
// test program doesn't use rapid.
func SetSeed(seed string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
