// Package experiment runs the routing of several daemons against stand-in
// engines under a paused clock.
//
// # What is real and what is not
//
// The registry, the selector and the streamer are those of the entry daemon,
// and the engines are the stand-ins, called without a network. Load reports
// and cache events reach the daemons late, cache events with gaps. Time is
// that of testing/synctest: a run of minutes takes seconds and gives the same
// view of time on every machine. Admission and the callers' side are left
// out, and requests come to the daemons by chance, as from a balancer.
//
// # Usage
//
//	go test ./internal/measure/experiment -run Table -v -args -seed 1
//
// prints the tables of docs/MEASUREMENTS.md.
package experiment
