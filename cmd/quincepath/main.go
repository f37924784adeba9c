// Command quincepath routes language-model traffic by service levels and priorities.
package main

func main() {}
