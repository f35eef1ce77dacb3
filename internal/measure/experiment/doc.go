// Package experiment compares routing policies: it runs the routing of several
// daemons against stand-in engines in simulated time.
//
// The registry, the selector and the streamer are the ones that the daemons
// use. The engines are stand-ins and are called without a network. Load reports
// and cache events reach the daemons late, and some cache events are lost.
// Time is that of testing/synctest: a run of minutes takes seconds, and
// durations don't depend on the speed of the machine. Admission and the
// clients' side are left out; each request goes to a random daemon, as a load
// balancer would send it.
//
// # Usage
//
//	go test ./internal/measure/experiment -run Table -v -args -full -seed 1
//
// prints the tables of docs/MEASUREMENTS.md.
package experiment
