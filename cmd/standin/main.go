// Command standin runs small stand-ins for the outside systems that quincepath meets.
package main

import (
	"os"

	"quincepath.example/quincepath/internal/command/root"
	"quincepath.example/quincepath/internal/factory"
)

func main() {
	os.Exit(root.Standin(factory.New()).Main(os.Args[1:]))
}
