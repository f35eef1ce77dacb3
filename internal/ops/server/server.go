// Package server runs an HTTP listener under a supervisor.
//
// # Usage
//
//	s := server.New(server.Config{Listener: l, Handler: h, HeaderTimeout: 5 * time.Second})
//	supervisor.Add(s)
//
// A server sets limits on everything that a sender can draw out: the header's
// time and size, and the pause between two requests. The body's time is the
// handler's to set, as streams last longer than uploads.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
)

const closeTime = 2 * time.Second

// Config names the listener and the limits.
type Config struct {
	Name          string
	Listener      net.Listener
	Handler       http.Handler
	HeaderTimeout time.Duration
	HeaderBytes   int
	IdleTimeout   time.Duration
}

// Server is a supervised HTTP server.
type Server struct {
	name string
	l    net.Listener
	http http.Server
}

var _ suture.Service = (*Server)(nil)

// New returns a server that has not started.
func New(c Config) *Server {
	return &Server{name: c.Name, l: c.Listener, http: http.Server{
		Handler: c.Handler, ReadHeaderTimeout: c.HeaderTimeout, MaxHeaderBytes: c.HeaderBytes,
		IdleTimeout: c.IdleTimeout, ErrorLog: stdlog.New(io.Discard, "", 0),
	}}
}

// Serve accepts connections until ctx ends; then it closes idle connections
// and waits shortly for the others.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.l) }()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return fmt.Errorf("%s: %w: %w", s.name, suture.ErrTerminateSupervisorTree, err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
	defer cancel()
	if err := s.http.Shutdown(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	_ = s.http.Close()
	return suture.ErrDoNotRestart
}

// Shutdown closes the listener and idle connections and waits until ctx ends
// for requests to be answered. Serve goes on until its own context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// String names the server in the supervisor's events.
func (s *Server) String() string { return s.name }
