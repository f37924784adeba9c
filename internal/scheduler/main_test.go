package scheduler

import (
	"os"
	"testing"

	"quincepath.example/quincepath/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetSeed("4")
	os.Exit(m.Run())
}
