package orderer_test

import (
	"os"
	"testing"

	"quincepath.example/quincepath/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetSeed("7")
	os.Exit(m.Run())
}
