// Standin runs test doubles of the platform and the backend servers for tests
// and the demo.
package main

import "os"

func main() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
