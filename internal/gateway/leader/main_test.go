package leader_test

import (
	"os"
	"testing"

	"quincepath.example/quincepath/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Fix("7")
	os.Exit(m.Run())
}
