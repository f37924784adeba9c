package chooser

import (
	"os"
	"testing"

	"quincepath.example/quincepath/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetSeed("1")
	os.Exit(m.Run())
}
