// Deck is the command-line client for callers and operators.
package main

import "os"

func main() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
