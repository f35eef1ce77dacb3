// Package logger makes the structured log of a process.
//
// # Usage
//
//	l := logger.New(logger.Config{Level: "info", Format: "json", Output: os.Stderr})
//	l.Info("request", "request", id)
//
// Logs go to standard error, a line an event, as JSON for programs or as text
// for people. Every line of a request carries its id under the key "request".
package logger

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Config sets what is logged, and where.
type Config struct {
	Level  string
	Format string
	Output io.Writer
	// Host is added to every line, if not empty.
	Host string
}

// New returns a logger. An unknown level counts as info.
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
