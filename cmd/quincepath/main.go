// Command quincepath routes language-model traffic by service levels and priorities.
package main

import (
	"os"

	"quincepath.example/quincepath/internal/command/root"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/server"
)

func main() {
	f := factory.New()
	f.Serve = server.Run

	os.Exit(root.Quincepath(f).Main(os.Args[1:]))
}
