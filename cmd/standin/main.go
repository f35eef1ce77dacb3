// Command standin runs simple stand-ins for the platform, model engines and plain services, for
// trials and tests.
package main

import (
	"os"

	"brasschute/internal/standin/starter"
)

func main() {
	os.Exit(starter.New(starter.Config{Errors: os.Stderr}).Run(os.Args[1:]))
}
