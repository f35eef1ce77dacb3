// Command brasschute runs the daemons of the system and the operators' commands. Run it without
// arguments for a list; see also README.md.
package main

import (
	"os"

	"brasschute/internal/ops/commander"
)

func main() {
	os.Exit(commander.New(commander.Config{Output: os.Stdout, Errors: os.Stderr}).Run(os.Args[1:]))
}
