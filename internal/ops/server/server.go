// Package server runs an HTTP server under a supervisor.
//
// The server limits what a client can make last: the time and size of the request header and the
// pause between two requests on a connection. The handler sets the timeout of the body, because
// streams last longer than uploads.
//
// # Usage
//
//	s := server.New(server.Config{Listener: l, Handler: h, HeaderTimeout: 5 * time.Second})
//	supervisor.Add(s)
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

// shutdownTimeout is how long Serve waits for active connections when its context ends.
const shutdownTimeout = 2 * time.Second

// ConnectionLimiter bounds the connections of a server.
type ConnectionLimiter interface {
	// Listen returns a listener whose connections are bounded.
	Listen(inner net.Listener) net.Listener
	// Observe is called when one of them changes its state.
	Observe(c net.Conn, s http.ConnState)
}

// Config holds the listener, the handler and the limits of a server.
type Config struct {
	// Name identifies the server in errors and supervisor events.
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// HeaderTimeout and HeaderBytes limit the request header.
	HeaderTimeout time.Duration
	HeaderBytes   int
	// IdleTimeout limits the pause between two requests on a connection.
	IdleTimeout time.Duration
	// Limiter bounds the connections; nil for no bound.
	Limiter ConnectionLimiter
	// ReadTimeout limits the time until a whole request has been read; 0 for none, where the handler sets it.
	ReadTimeout time.Duration
}

// Server is a supervised HTTP server.
type Server struct {
	name     string
	listener net.Listener
	http     http.Server
}

var _ suture.Service = (*Server)(nil)

// New returns a server that isn't running yet.
func New(c Config) *Server {
	s := &Server{name: c.Name, listener: c.Listener, http: http.Server{
		Handler: c.Handler, ReadHeaderTimeout: c.HeaderTimeout, MaxHeaderBytes: c.HeaderBytes,
		ReadTimeout: c.ReadTimeout, IdleTimeout: c.IdleTimeout, ErrorLog: stdlog.New(io.Discard, "", 0),
	}}
	if c.Limiter != nil {
		s.listener, s.http.ConnState = c.Limiter.Listen(c.Listener), c.Limiter.Observe
	}
	return s
}

// Serve accepts connections until ctx ends; then it closes idle connections and waits up to two
// seconds for the others. A failed listener terminates the supervisor tree.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return fmt.Errorf("%s: %w: %w", s.name, suture.ErrTerminateSupervisorTree, err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	_ = s.http.Close()
	return suture.ErrDoNotRestart
}

// Shutdown closes the listener and idle connections and waits until ctx ends for active requests
// to complete. Serve returns when Shutdown begins and isn't restarted.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// String returns the server's name, for supervisor events.
func (s *Server) String() string { return s.name }
