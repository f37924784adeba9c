// Command quincepath routes language-model traffic by service levels and priorities.
package main

import (
	"os"

	"quincepath.example/quincepath/internal/command/root"
	"quincepath.example/quincepath/internal/factory"
)

func main() {
	os.Exit(root.Quincepath(factory.New()).Main(os.Args[1:]))
}
