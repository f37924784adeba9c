// Command standin runs small stand-ins for the outside systems that quincepath meets.
package main

func main() {}
