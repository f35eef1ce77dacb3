package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/report"
	"brasschute/internal/fault/injector"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/standin/platform"
)

// observationTime is how long the benchmarks measure idle daemons.
const observationTime = 10 * time.Second

// resourceUsage holds the resources that a daemon has used since its start.
type resourceUsage struct {
	cpu time.Duration
	// peerBytes is the traffic with other daemons in both directions.
	peerBytes float64
	// memoryMB is the resident memory in MiB.
	memoryMB float64
}

const (
	ticksPerSecond = 100 // USER_HZ, the unit of /proc/PID/stat
	megabyte       = 1 << 20
)

// resourceUsage reads the processor time and memory of the daemon from the kernel, and its peer
// traffic from its metrics.
func (d *daemon) resourceUsage() resourceUsage {
	d.f.t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		d.f.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	const utime, stime = 11, 12
	ticks := 0
	for _, i := range []int{utime, stime} {
		n, _ := strconv.Atoi(fields[i])
		ticks += n
	}
	return resourceUsage{
		cpu:       time.Duration(ticks) * time.Second / ticksPerSecond,
		peerBytes: d.metricSum("brasschute_peer_bytes_in") + d.metricSum("brasschute_peer_bytes_out"), memoryMB: d.residentMB(),
	}
}

// residentMB returns the resident memory of the daemon in MiB.
func (d *daemon) residentMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		d.f.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// metricSum returns the sum of all series of a metric.
func (d *daemon) metricSum(name string) float64 {
	d.f.t.Helper()
	resp, err := d.f.client.Get("http://" + d.operatorAddress + "/metrics")
	if err != nil {
		d.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok && (rest[0] == ' ' || rest[0] == '{') {
			fields := strings.Fields(line)
			v, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			sum += v
		}
	}
	return sum
}

// reportUsage reports the mean processor time and peer traffic of the daemons, and the largest
// resident memory, while during runs, or for observationTime if it is nil.
func (f *fleet) reportUsage(b *testing.B, daemons []*daemon, during func()) {
	b.Helper()
	before := make([]resourceUsage, len(daemons))
	for i, d := range daemons {
		before[i] = d.resourceUsage()
	}
	begun := time.Now()
	if during == nil {
		time.Sleep(observationTime)
	} else {
		during()
	}
	seconds := time.Since(begun).Seconds()
	var cpu, bytes, memory float64
	for i, d := range daemons {
		after := d.resourceUsage()
		cpu += (after.cpu - before[i].cpu).Seconds()
		bytes += after.peerBytes - before[i].peerBytes
		memory = max(memory, after.memoryMB)
	}
	n := float64(len(daemons))
	b.ReportMetric(100*cpu/seconds/n, "%core/daemon")
	b.ReportMetric(bytes/seconds/n, "peerB/s/daemon")
	b.ReportMetric(memory, "MB-max")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityPeers measures what membership costs idle daemons of one zone, by the size of
// the zone.
func BenchmarkCapacityPeers(b *testing.B) {
	for _, n := range []int{2, 8, 16, 32, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(b)
			for range n {
				f.addEntry(1)
			}
			f.entries[0].mustApply(configuration(), 0)
			f.awaitReady()
			f.awaitGossipSettled()
			for b.Loop() {
				f.reportUsage(b, f.entries, nil)
			}
		})
	}
}

// awaitGossipSettled sleeps long enough for the updates of the start to spread.
func (f *fleet) awaitGossipSettled() { time.Sleep(15 * time.Second) }

// listEndpoints registers n endpoints that answer only requests for load reports.
func (f *fleet) listEndpoints(zone, n int) {
	f.t.Helper()
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		name := fmt.Sprintf("listed-%d-%d", zone, i)
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(report.Report{Endpoint: identifier.Endpoint(name), Taken: time.Now(), Model: "letters-1"})
		})}
		go func() { _ = s.Serve(l) }()
		f.t.Cleanup(func() { s.Close() })
		f.postJSON("http://"+f.platformAddress+"/admin/hosts", inventory.Host{
			Host: identifier.Host(name), AvailabilityZone: identifier.AvailabilityZone(zoneName(zone)),
			Class: document.ClassReclaimable, Incarnation: 1, State: inventory.StateLive,
			Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: "engines", Address: l.Addr().String()}},
		})
	}
}

// BenchmarkCapacityEndpoints measures what endpoints cost idle daemons. Those of other zones are
// only listed; each of the own zone is polled by one daemon, which gossips its load.
func BenchmarkCapacityEndpoints(b *testing.B) {
	for _, c := range []struct{ listed, polled int }{{0, 0}, {600, 0}, {1200, 0}, {0, 16}, {0, 64}, {0, 128}} {
		b.Run(fmt.Sprintf("listed=%d/polled=%d", c.listed, c.polled), func(b *testing.B) {
			f := newFleet(b)
			for range 4 {
				f.addEntry(1)
			}
			f.listEndpoints(2, c.listed)
			f.listEndpoints(1, c.polled)
			f.entries[0].mustApply(configuration(), 0)
			for _, d := range f.entries {
				eventually(b, "listed", func() error {
					s, err := d.status()
					if err != nil {
						return err
					}
					return checkEqual("endpoints", len(s.Endpoints), c.listed+c.polled)
				})
			}
			f.awaitGossipSettled()
			for b.Loop() {
				f.reportUsage(b, f.entries, nil)
			}
		})
	}
}

// BenchmarkCapacityConfigurationChanges applies a hundred changes one after the other, with one
// daemon cut off from the platform. It measures the cost of a change to the daemons and the
// platform, and the time until all daemons have it in force.
func BenchmarkCapacityConfigurationChanges(b *testing.B) {
	const changes = 100
	f := newFleet(b)
	for range 8 {
		f.addEntry(1)
	}
	f.addEntry(2)
	f.entries[0].mustApply(configuration(), 0)
	f.awaitReady()
	f.platformProxy.Set(zoneNet(2), injector.Fault{Cut: true})
	f.awaitGossipSettled()
	number := uint64(1)
	for b.Loop() {
		var before, after platform.Calls
		_ = f.getJSON("http://"+f.platformAddress+"/admin/calls", &before)
		worst := time.Duration(0)
		cpuBefore := f.meanCPUSeconds(0)
		f.reportUsage(b, f.entries, func() {
			for range changes {
				begun := time.Now()
				a := f.entries[0].mustApply(configuration(ruleNamed(fmt.Sprint("r", number))), number)
				worst = max(worst, time.Since(begun))
				if len(a.InForce) != len(f.entries) {
					b.Fatalf("%v", a)
				}
				number++
			}
		})
		_ = f.getJSON("http://"+f.platformAddress+"/admin/calls", &after)
		b.ReportMetric(worst.Seconds(), "s-in-force-worst")
		b.ReportMetric(f.meanCPUSeconds(cpuBefore)*1000/changes, "cpu-ms/change/daemon")
		b.ReportMetric(float64(after.Reads-before.Reads)/changes, "reads/change")
		b.ReportMetric(float64(after.Writes-before.Writes)/changes, "writes/change")
		b.ReportMetric(float64(after.Watches-before.Watches)/changes/float64(len(f.entries)), "watches/change/daemon")
	}
}

// meanCPUSeconds returns the mean processor time of the entry daemons in seconds, minus less.
func (f *fleet) meanCPUSeconds(less float64) float64 {
	sum := 0.0
	for _, d := range f.entries {
		sum += d.resourceUsage().cpu.Seconds()
	}
	return sum/float64(len(f.entries)) - less
}

// BenchmarkCapacityStreams measures the memory of a stream that waits in the middle.
func BenchmarkCapacityStreams(b *testing.B) {
	for _, n := range []int{0, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(b)
			f.addEngine(1, "--slots", "1000")
			d := f.addEntry(1)
			d.mustApply(strings.ReplaceAll(configuration(), "MaxInFlight: 50", "MaxInFlight: 1000"), 0)
			f.awaitReady()
			f.setAllGates(gateTokens)
			for b.Loop() {
				before := d.residentMB()
				var streams []*stream
				for range n {
					streams = append(streams, d.open(letterTokens))
				}
				for _, s := range streams {
					awaitGateInBenchmark(b, s)
				}
				b.ReportMetric(d.residentMB(), "MB")
				b.ReportMetric((d.residentMB()-before)*1024/float64(max(n, 1)), "KB/stream")
				b.ReportMetric(0, "ns/op")
				f.setAllGates(0)
				for _, s := range streams {
					s.wait()
				}
			}
		})
	}
}

// awaitGateInBenchmark is awaitGate for benchmarks.
func awaitGateInBenchmark(b *testing.B, s *stream) {
	b.Helper()
	eventually(b, "mid-stream", func() error { return s.checkReceived(gateTokens) })
}

// BenchmarkCapacityRequests measures the processor time of a request at the entry daemon for
// several answer lengths, and its latency relative to a direct call of the engine.
func BenchmarkCapacityRequests(b *testing.B) {
	for _, tokens := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := newFleet(b)
			f.addEngine(1, "--slots", "64")
			d := f.addEntry(1)
			d.mustApply(configuration(), 0)
			f.awaitReady()
			const requests = 2000
			for b.Loop() {
				before := d.resourceUsage()
				begun := time.Now()
				through := f.sendBatch(requests, "http://"+d.callerAddress+"/v1/chat/completions", chat(tokens, true))
				seconds := time.Since(begun).Seconds()
				cpu := d.resourceUsage().cpu - before.cpu
				direct := f.sendBatch(requests, "http://"+f.engines[0].address+"/v1/chat/completions",
					strings.ReplaceAll(chat(tokens, true), `"letters"`, `"letters-1"`))
				b.ReportMetric(float64(cpu.Microseconds())/requests, "cpu-us/request")
				b.ReportMetric(requests/seconds, "requests/s")
				b.ReportMetric(float64(through)/float64(direct), "latency-ratio")
				b.ReportMetric(float64(through.Microseconds()), "us-mean")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// sendBatch sends requests from eight workers and returns the mean latency.
func (f *fleet) sendBatch(requests int, url, body string) time.Duration {
	const workers = 8
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var total atomic.Int64
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for n := range requests / workers {
				begun := time.Now()
				r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+callerKeys["desk"])
				r.Header.Set("Request-Id", fmt.Sprintf("r-%d-%d-%d", w, n, begun.UnixNano()))
				resp, err := client.Do(r)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				total.Add(int64(time.Since(begun)))
			}
		})
	}
	group.Wait()
	return time.Duration(total.Load() / int64(requests))
}

// BenchmarkCapacityClaims measures how many claims share one write to the platform, by the number
// of concurrent callers. The proxy delays the platform by 2.5 ms in each direction, 5 ms for a
// call.
func BenchmarkCapacityClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFleet(b)
			f.addPlainService(1)
			d := f.addEntry(1)
			d.mustApply(strings.ReplaceAll(configuration(), "MaxInFlight: 50", "MaxInFlight: 1000"), 0)
			f.awaitReady()
			f.platformProxy.Set(injector.All, injector.Fault{Delay: 2500 * time.Microsecond})
			for b.Loop() {
				var before, after platform.Calls
				_ = f.getJSON("http://"+f.platformAddress+"/admin/calls", &before)
				const requests = 1024
				var group sync.WaitGroup
				begun := time.Now()
				for c := range callers {
					group.Go(func() {
						for n := range requests / callers {
							d.confirm(fmt.Sprintf("c-%d-%d-%d", c, n, begun.UnixNano()), "bond")
						}
					})
				}
				group.Wait()
				seconds := time.Since(begun).Seconds()
				_ = f.getJSON("http://"+f.platformAddress+"/admin/calls", &after)
				b.ReportMetric(requests/float64(after.Writes-before.Writes), "claims/write")
				b.ReportMetric(float64(after.Reads-before.Reads)/requests, "reads/claim")
				b.ReportMetric(requests/seconds, "claims/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
