// Command tarragonbayd runs one daemon of the product: an entry, an agent, or
// all roles with stand-ins on loopback for trying it out.
package main

import (
	"os"

	"tarragonbay.example/tarragonbay/internal/daemoncmd"
)

func main() { os.Exit(daemoncmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
