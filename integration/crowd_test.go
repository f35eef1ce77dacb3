//go:build alone

package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// The tests of this file run one at a time, apart from other load: what they measure is the memory of a
// process while a crowd of clients sends to it. They therefore have a build tag of their own; see the README.

const (
	// crowdClients is the number of clients that send at the same time.
	crowdClients = 160
	// crowdBodyBytes is the largest body that the configuration allows.
	crowdBodyBytes = 1 << 20
	// crowdMemoryBytes is the memory of a gateway's host, entryMemoryBytes that of an entry daemon's.
	crowdMemoryBytes = 96 << 20
	entryMemoryBytes = 128 << 20
	// crowdDescriptors is the number of descriptors that a gateway may have open, reservedDescriptors the
	// part of them that is reserved for files.
	crowdDescriptors    = 456
	reservedDescriptors = 200
	// connectionCrowd is the number of connections of a crowd that opens more than a process may have.
	connectionCrowd = 2 * (crowdDescriptors - reservedDescriptors)
	// headCrowd is the number of clients with long heads, fewer than the connections that a gateway may have.
	headCrowd = 240
	// unreadClients is the number of clients that do not read their streams.
	unreadClients = 40
	// oversizedBytes is what a client sends of a body that is over the limit.
	oversizedBytes = 8 * crowdBodyBytes
	// sendTimeout ends the sending of a client whose bytes are not read.
	sendTimeout = 20 * time.Second
	// stalledShare is the number of clients of which all but one stop before the end of their bodies.
	stalledShare = 4
)

// crowd is a number of clients that send at the same time.
type crowd struct {
	name    string
	clients int
	// head is the headers about the body of each request.
	head string
	// send sends the body of a client but for its end. Nil leaves the head unfinished.
	send func(w io.Writer) error
	// end completes the body of each fourth client, or of all if whole is set. The others stay open.
	end   string
	whole bool
}

// crowdTarget is the process that a crowd sends to.
type crowdTarget struct {
	// s is the deployment of a gateway.
	s       *site
	process *process
	address string
	// head begins the head of each request, without the headers about its body.
	head string
	// memoryBytes and descriptors bound what the process may have; 0 descriptors for no bound.
	memoryBytes int64
	descriptors int
	// ordinary sends one request of another caller and returns its status.
	ordinary func() (int, error)
}

// repeat writes a text until it has written so many bytes or more.
func repeat(w io.Writer, text string, bytes int) error {
	for n := 0; n < bytes; n += len(text) {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// chunk returns a chunk of a chunked body.
func chunk(bytes int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes))
}

const (
	chunked  = "Transfer-Encoding: chunked\r\n"
	lastPart = "x"
)

// stated returns the header of a body with a stated length.
func stated(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

// wholeCrowd sends bodies of the largest size to their ends.
func wholeCrowd() crowd {
	return crowd{name: "whole bodies", head: stated(crowdBodyBytes), whole: true, end: lastPart, send: func(w io.Writer) error {
		_, err := io.WriteString(w, strings.Repeat("x", crowdBodyBytes-len(lastPart)))
		return err
	}}
}

// stalledCrowd stops a byte before the end.
func stalledCrowd() crowd {
	c := wholeCrowd()
	c.name, c.whole = "stalled bodies", false
	return c
}

// piecesCrowd sends its bodies in pieces.
func piecesCrowd() crowd {
	c := stalledCrowd()
	c.name = "bodies in pieces"
	c.send = func(w io.Writer) error {
		const pieceBytes = 16 << 10
		piece := strings.Repeat("x", pieceBytes)
		if err := repeat(w, piece, crowdBodyBytes-pieceBytes); err != nil {
			return err
		}
		_, err := io.WriteString(w, piece[len(lastPart):])
		return err
	}
	return c
}

// chunkedCrowd sends its bodies in chunks of a size.
func chunkedCrowd(chunkBytes int) crowd {
	return crowd{name: fmt.Sprintf("chunks of %d bytes", chunkBytes), head: chunked, end: "0\r\n\r\n", send: func(w io.Writer) error {
		buffered := bufio.NewWriterSize(w, 32<<10)
		text := chunk(chunkBytes)
		for range crowdBodyBytes / chunkBytes {
			if _, err := buffered.WriteString(text); err != nil {
				return err
			}
		}
		return buffered.Flush()
	}}
}

// headsCrowd sends as many short headers as a head may have, and stops before the end of a small body.
func headsCrowd() crowd {
	const headBytes = 15 << 10
	var head strings.Builder
	for n := 0; head.Len() < headBytes; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	return crowd{name: "long heads", clients: headCrowd, head: head.String() + stated(len(lastPart)+1), end: lastPart, send: func(w io.Writer) error {
		return repeat(w, "x", 1)
	}}
}

// unfinishedHeadsCrowd sends such heads without their end.
func unfinishedHeadsCrowd() crowd {
	c := headsCrowd()
	c.name, c.send = "unfinished heads", nil
	return c
}

// oversizedCrowd announces bodies that are far over the limit, and sends them.
func oversizedCrowd() crowd {
	text := strings.Repeat("x", 64<<10)
	return crowd{name: "announced oversized bodies", head: stated(1 << 40), send: func(w io.Writer) error { return repeat(w, text, oversizedBytes) }}
}

// oversizedChunksCrowd sends bodies that are far over the limit in chunks.
func oversizedChunksCrowd() crowd {
	text := chunk(64 << 10)
	return crowd{name: "oversized chunked bodies", head: chunked, send: func(w io.Writer) error { return repeat(w, text, oversizedBytes) }}
}

// connectionsCrowd begins heads and says nothing more.
func connectionsCrowd() crowd { return crowd{name: "connections", clients: connectionCrowd} }

// start sends the requests of the crowd. awaitSent waits until no client sends anything more, release closes their
// connections.
func (c *crowd) start(to *crowdTarget) (awaitSent, release func()) {
	var sent, ended sync.WaitGroup
	released := make(chan struct{})
	for number := range c.clients {
		sent.Add(1)
		ended.Go(func() { c.member(to, number, &sent, released) })
	}
	return sent.Wait, func() {
		close(released)
		ended.Wait()
	}
}

// member sends the request of one client. It closes sent once it sends nothing more, and keeps the connection
// open until released is closed. A client whose request is complete reads its answer first.
func (c *crowd) member(to *crowdTarget, number int, sent *sync.WaitGroup, released <-chan struct{}) {
	done := sync.OnceFunc(sent.Done)
	defer done()
	conn, err := net.DialTimeout("tcp", to.address, sendTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	head := fmt.Sprintf(to.head, number) + c.head
	if c.send != nil {
		head += "\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	if c.send != nil {
		if err := c.send(conn); err == nil && (c.whole || number%stalledShare == 0) {
			_, _ = io.WriteString(conn, c.end)
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
	}
	done()
	<-released
}

// check sends the crowd's requests, and checks that the process stays within its memory and descriptors, lives, and
// answers an ordinary request while the crowd's connections are still open.
func (c *crowd) check(t *testing.T, to *crowdTarget) {
	t.Helper()
	awaitSent, release := c.start(to)
	defer release()
	pid := to.process.cmd.Process.Pid
	most, unread := 0, int64(0)
	stop := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			most, unread = max(most, openDescriptors(pid)), max(unread, unreadBytes(to.address))
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	awaitSent()
	status, err := to.ordinary()
	close(stop)
	sampling.Wait()
	most, unread = max(most, openDescriptors(pid)), max(unread, unreadBytes(to.address))
	select {
	case <-to.process.exited:
		t.Fatalf("%s: the process ended", c.name)
	default:
	}
	peak := peakResidentBytes(t, pid)
	t.Logf("%s: peak of %d MB, %d MB unread, %d descriptors", c.name, peak>>20, unread>>20, most)
	if peak+unread > to.memoryBytes {
		t.Errorf("%s: %d MB resident and %d MB unread, the limit is %d MB", c.name, peak>>20, unread>>20, to.memoryBytes>>20)
	}
	if to.descriptors > 0 && most > to.descriptors {
		t.Errorf("%s: %d descriptors, the limit is %d", c.name, most, to.descriptors)
	}
	if err != nil || status != http.StatusOK {
		t.Errorf("%s: an ordinary request got status %d, %v", c.name, status, err)
	}
}

// openDescriptors returns the number of descriptors that a process has open, 0 if it has ended.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// unreadBytes returns the bytes that connections to an address have received and their process has not read.
func unreadBytes(address string) int64 {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	table, _ := os.ReadFile("/proc/net/tcp")
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		const localField, stateField, queuesField, listening = 1, 3, 4, "0A"
		fields := strings.Fields(line)
		if len(fields) <= queuesField || fields[localField] != local || fields[stateField] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		sum += bytes
	}
	return sum
}

// newCrowdGateway starts a gateway with little memory and few descriptors before an endpoint.
func newCrowdGateway(t *testing.T) *crowdTarget {
	t.Helper()
	path := buildDaemon(t)
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "sound", Service: plainService})
	s.configure(func(c *hostedConfig) { c.Limits.MaxBodyBytes = crowdBodyBytes })
	h := s.prepareHost()
	h.replaceSetting(memorySetting, fmt.Sprintf("MemoryMb = %d\nMaxFds = %d", crowdMemoryBytes>>20, crowdDescriptors))
	h.process = startProgram(t, []string{platform.SettingsFileVariable + "=" + h.file}, path, h.name, "gateway")
	h.awaitReady()
	return &crowdTarget{
		s: s, process: h.process, address: h.ip + ":8101", memoryBytes: crowdMemoryBytes, descriptors: crowdDescriptors,
		head: "POST " + nonIdempotentPath + "x HTTP/1.1\r\nHost: " + hostedDomain + "\r\nRequest-Id: crowd-%d\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer " + deskKey + "\r\n",
		ordinary: func() (int, error) {
			a := h.send(hostedRequest{Target: nonIdempotentPath + "x", Key: deskKey, Body: "ordinary"})
			return a.status, a.err
		},
	}
}

// addEndlessService adds a route to endpoints that send a form of endless responses, and waits until it is in force and all
// endpoints are listed: too few of them would refuse a part of the crowd.
func (to *crowdTarget) addEndlessService(t *testing.T, form *endlessForm) {
	t.Helper()
	to.s.configure(func(c *hostedConfig) {
		c.Routes = append(c.Routes, form.route())
		c.Services = append(c.Services, hostedService{Name: form.name})
	})
	to.s.addEndlessEndpoints(form)
	eventually(t, "the route", func() error {
		return checkEqual("configuration", to.s.hosts[0].configurationInForce(), to.s.config.Version)
	})
	eventually(t, "the endpoints", func() error {
		listed := 0
		for _, e := range to.s.hosts[0].view(t).Endpoints {
			if string(e.Service) == form.name {
				listed++
			}
		}
		return checkEqual("endpoints", listed, endlessEndpoints)
	})
}

// checkGateway checks a crowd at a gateway.
func (c crowd) checkGateway(t *testing.T) {
	t.Helper()
	c.clients = max(c.clients, crowdClients)
	c.check(t, newCrowdGateway(t))
}

// Guards against whole bodies of legal size that together exceed a gateway's memory.
func TestCrowdOfWholeBodies(t *testing.T) { wholeCrowd().checkGateway(t) }

// Guards against bodies that stop a byte before their end and together exceed a gateway's memory.
func TestCrowdOfStalledBodies(t *testing.T) { stalledCrowd().checkGateway(t) }

// Guards against bodies in pieces that together exceed a gateway's memory.
func TestCrowdOfBodiesInPieces(t *testing.T) { piecesCrowd().checkGateway(t) }

// Guards against bodies in large chunks that together exceed a gateway's memory.
func TestCrowdOfLargeChunks(t *testing.T) { chunkedCrowd(64 << 10).checkGateway(t) }

// Guards against bodies in tiny chunks that together exceed a gateway's memory.
func TestCrowdOfTinyChunks(t *testing.T) { chunkedCrowd(2).checkGateway(t) }

// Guards against bodies that announce more than is allowed and are read all the same.
func TestCrowdOfAnnouncedOversizedBodies(t *testing.T) {
	oversizedCrowd().checkGateway(t)
}

// Guards against bodies without a stated length that are over the limit and together exceed a gateway's memory.
func TestCrowdOfOversizedChunkedBodies(t *testing.T) {
	oversizedChunksCrowd().checkGateway(t)
}

// Guards against connections without a whole head that take more descriptors than a gateway has.
func TestCrowdOfConnections(t *testing.T) { connectionsCrowd().checkGateway(t) }

// Guards against heads of legal size that take many times their size once they are parsed.
func TestCrowdOfLongHeads(t *testing.T) { headsCrowd().checkGateway(t) }

// Guards against long heads that never end, which are parsed as they arrive.
func TestCrowdOfUnfinishedHeads(t *testing.T) { unfinishedHeadsCrowd().checkGateway(t) }

// Guards against messages at the listener for peers that stop before their end and together exceed a gateway's memory.
func TestCrowdOfStalledMessages(t *testing.T) {
	to := newCrowdGateway(t)
	to.address = to.s.hosts[0].ip + ":8109"
	to.head = "POST " + rpc.FleetPathPrefix + "Swap HTTP/1.1\r\nHost: x\r\nContent-Type: application/protobuf\r\nRequest-Id: crowd-%d\r\n"
	c := stalledCrowd()
	c.clients = crowdClients
	c.check(t, to)
}

// Guards against clients that don't read their streams and hold connections, and what waits for them, for ever.
func TestCrowdOfClientsThatDoNotRead(t *testing.T) {
	to := newCrowdGateway(t)
	form := endlessForm{
		name: "unread", head: signedHead + "Content-Type: text/event-stream\r\n\r\n",
		repeated: "id: %d\ndata: " + strings.Repeat("#", 16<<10) + "\n\n", streams: true,
	}
	to.addEndlessService(t, &form)
	pid := to.process.cmd.Process.Pid
	const spare = 8
	before := openDescriptors(pid)
	c := crowd{name: "clients that do not read", clients: unreadClients, head: stated(0) + "\r\n"}
	unread := *to
	unread.head = strings.ReplaceAll(strings.ReplaceAll(to.head, nonIdempotentPath, "/unread/"), "Deadline-Ms: 20000", "Deadline-Ms: 1000")
	awaitSent, release := c.start(&unread)
	awaitSent()
	eventually(t, "streams begin", func() error {
		if n := openDescriptors(pid); n < before+unreadClients {
			return fmt.Errorf("%d descriptors, %d before", n, before)
		}
		return nil
	})
	eventually(t, "streams end", func() error {
		if n := openDescriptors(pid); n > before+spare {
			return fmt.Errorf("%d descriptors, %d before", n, before)
		}
		return nil
	})
	release()
	if peak := peakResidentBytes(t, pid); peak > to.memoryBytes {
		t.Errorf("%d MB resident, the limit is %d MB", peak>>20, to.memoryBytes>>20)
	}
	if status, err := to.ordinary(); err != nil || status != http.StatusOK {
		t.Errorf("an ordinary request got status %d, %v", status, err)
	}
}

// newCrowdEntry starts an entry daemon on a host with little memory before a model engine and a plain service.
func newCrowdEntry(t *testing.T, path string) *crowdTarget {
	t.Helper()
	program := buildDaemon(t)
	f := newFleet(t)
	f.addEngine(1)
	f.addPlainService(1)
	d := f.addEntry(1, fmt.Sprintf("Limits: {MemoryBytes: %d}", entryMemoryBytes))
	d.mustApply(configuration(), 0)
	d.awaitReady()
	d.kill()
	d.process = startProgram(t, nil, program, d.host+"-crowd", d.args...)
	d.awaitReady()
	return &crowdTarget{
		process: d.process, address: d.callerAddress, memoryBytes: entryMemoryBytes,
		head: "POST " + path + " HTTP/1.1\r\nHost: x\r\nRequest-Id: crowd-%d\r\nAuthorization: Bearer " + callerKeys["desk"] + "\r\n",
		ordinary: func() (int, error) {
			r := d.do(http.MethodPost, "/services/ledger/x", "ordinary")
			return r.status, r.err
		},
	}
}

// checkEntry checks a crowd at an entry daemon, of requests to a plain service.
func (c crowd) checkEntry(t *testing.T) {
	t.Helper()
	c.clients = max(c.clients, crowdClients)
	c.check(t, newCrowdEntry(t, "/services/booking/x"))
}

// Guards against whole bodies that together exceed an entry daemon's memory.
func TestCrowdOfWholeBodiesAtEntry(t *testing.T) { wholeCrowd().checkEntry(t) }

// Guards against stalled bodies that together exceed an entry daemon's memory.
func TestCrowdOfStalledBodiesAtEntry(t *testing.T) { stalledCrowd().checkEntry(t) }

// Guards against chunked bodies that together exceed an entry daemon's memory.
func TestCrowdOfLargeChunksAtEntry(t *testing.T) { chunkedCrowd(64 << 10).checkEntry(t) }

// Guards against tiny chunks that together exceed an entry daemon's memory.
func TestCrowdOfTinyChunksAtEntry(t *testing.T) { chunkedCrowd(2).checkEntry(t) }

// Guards against oversized bodies that together exceed an entry daemon's memory.
func TestCrowdOfOversizedChunkedBodiesAtEntry(t *testing.T) {
	oversizedChunksCrowd().checkEntry(t)
}

// Guards against prompts that are held several times over and together exceed an entry daemon's memory.
func TestCrowdOfPromptsAtEntry(t *testing.T) {
	const begin, end = `{"model":"letters","messages":[{"role":"user","content":"`, `"}]}`
	text := begin + strings.Repeat("x", crowdBodyBytes-len(begin)-len(end))
	c := crowd{name: "prompts", clients: crowdClients, head: stated(crowdBodyBytes), whole: true, end: end, send: func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}}
	c.check(t, newCrowdEntry(t, "/v1/chat/completions"))
}
