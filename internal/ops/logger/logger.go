// Package logger creates the structured logger of a process.
//
// # Usage
//
//	l := logger.New(logger.Config{Level: "info", Format: "json", Output: os.Stderr})
//	l.Info("request", "request", id)
//
// Each event is one line, as JSON for programs or as text for people. Every line about a request
// carries the request's id under the key "request".
package logger

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Config holds the level, format and output of a logger.
type Config struct {
	// Level is the lowest level that is logged, such as "info".
	Level string
	// Format is "text" or "json", which is the default.
	Format string
	Output io.Writer
	// Host, if not empty, is added to every line under the key "host".
	Host string
}

// New returns a logger. An unknown level is treated as info.
func New(c Config) *log.Logger {
	level, err := log.ParseLevel(c.Level)
	if err != nil {
		level = log.InfoLevel
	}
	formatter := log.JSONFormatter
	if c.Format == "text" {
		formatter = log.TextFormatter
	}
	l := log.NewWithOptions(c.Output, log.Options{
		Level: level, Formatter: formatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	if c.Host != "" {
		l = l.With("host", c.Host)
	}
	return l
}
