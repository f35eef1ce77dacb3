// Package quantity parses the measures that people write in settings.
//
// # Usage
//
// A [Duration] reads and writes the form of [time.ParseDuration], which
// demands a unit: "250ms" is valid and "250" is an error. That error is the
// point of the type, because a bare number of unknown unit is the commonest
// mistake in a settings file.
//
//	var d quantity.Duration
//	err := d.UnmarshalText([]byte("250ms"))
package quantity

import (
	"encoding"
	"fmt"
	"time"
)

// Duration is a non-negative span of time, written with its unit.
type Duration time.Duration

var (
	_ encoding.TextUnmarshaler = (*Duration)(nil)
	_ encoding.TextMarshaler   = Duration(0)
)

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes d with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a duration with unit. Negative spans and bare numbers
// are errors.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("a duration with its unit, as 250ms, 3s or 5m")
	}
	if v < 0 {
		return fmt.Errorf("a duration that is not negative")
	}
	*d = Duration(v)
	return nil
}
