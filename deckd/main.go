// Deckd is the daemon of an entry host. It accepts requests and jobs of callers and
// has them run by backend servers.
package main

import "os"

func main() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
