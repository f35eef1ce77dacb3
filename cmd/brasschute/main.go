// Command brasschute runs every role of the system and its operators'
// commands. See README.md.
package main

import (
	"os"

	"brasschute/internal/ops/commander"
)

func main() {
	os.Exit(commander.New(commander.Config{Output: os.Stdout, Errors: os.Stderr}).Run(os.Args[1:]))
}
