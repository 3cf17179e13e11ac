package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	standin "github.com/crocusreel/crocusreel/internal/standin/platform"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
)

// Ports that every node uses on its own loopback address.
const (
	callerPort  = 23740
	readyPort   = 23749
	peerPort    = 23748
	addressPort = 23746
	gossipPort  = 23720
)

var (
	// startedSites counts the calls of start in this run, so that no two specs use the same addresses.
	startedSites atomic.Int32
	// loopbackOctet is the second octet of this run's loopback addresses. It differs between
	// concurrent runs of the suite, which would otherwise conflict over ports.
	loopbackOctet int
)

const (
	// maxSites is the number of third octets of addresses that a run may use; the first site has the one
	// after firstSiteOctet.
	maxSites       = 254
	firstSiteOctet = 100
)

// reserveLoopbackOctet reserves a second octet of loopback addresses (127.octet.0.0/16) that no
// concurrent run of the suite uses, until reservation is closed. Process IDs alone are not enough,
// since those of two runs may differ by a multiple of the number of octets.
func reserveLoopbackOctet() (octet int, reservation net.Listener, err error) {
	const octets = 250
	for i := range octets {
		octet = 1 + (os.Getpid()+i)%octets
		if reservation, err = net.Listen("tcp", fmt.Sprintf("127.%d.99.254:%d", octet, callerPort)); err == nil {
			return octet, reservation, nil
		}
	}
	return 0, nil, err
}

// site is a test deployment: nodes as separate processes, a stand-in for the store, and endpoints.
type site struct {
	store *platform.Store
	// faults injects faults into the store.
	faults *admin.Client
	// memory is shared by all engines, between which runs migrate.
	memory *worker.KVStore
	nodes  []*nodeProcess
	// keys are the API keys of the workspace ws.
	keys []string
	// configVersion is the last written version of the configuration.
	configVersion int
	// storeCalls counts the calls that the store got.
	storeCalls atomic.Int64
	// requestCount counts the requests; it makes their IDs unique.
	requestCount atomic.Int32
	// longestSilence is the longest time for which endpoints were silent, in nanoseconds.
	longestSilence atomic.Int64
	// extraSettings are further lines of the nodes' settings.
	extraSettings string
	// adjust changes the configuration that is written; nil changes nothing.
	adjust func(document map[string]any)
	// changes is held while the configuration is changed, where several goroutines do.
	changes sync.Mutex
	// dir holds the settings and logs of the nodes.
	dir string
	// storeAddress is the IP:port of the store.
	storeAddress string
	// linked makes connections to endpoints and to the store pass through the proxies in links: one
	// for each endpoint that startApp, startEngine or startPlainWorker starts, and one to the store
	// for each node.
	linked bool
	// dataCentres are those of the nodes, in order; any further nodes are in dc1.
	dataCentres []string
	// regions holds the region of each data centre; those that are not listed are in north.
	regions map[string]string
	// allowedRegions holds the allowed regions by the name of a route or of the workspace ws.
	allowedRegions map[string][]string
	// addresses holds, by ID, the addresses at which the nodes reach the endpoints that startApp,
	// startEngine or startPlainWorker started.
	addresses map[string]string
	links     []*rig.Link
	// endpointLinks are the proxies in front of the endpoints that startApp, startEngine or
	// startPlainWorker started, if perProcess is set: each can cut off single nodes.
	perProcess    bool
	endpointLinks []*rig.ProcessLink
}

// nodeProcess is the process of a node.
type nodeProcess struct {
	*rig.Process
	ip string
}

// newSite starts a store that holds a configuration. It starts no endpoints and no nodes.
func newSite() *site {
	GinkgoHelper()
	s := &site{memory: worker.NewKVStore(), keys: []string{"key"}, dir: GinkgoT().TempDir(), addresses: make(map[string]string)}
	store := standin.New(standin.Options{Latency: 2 * time.Millisecond}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		s.storeCalls.Add(1)
		store.ServeHTTP(rw, r)
	}))
	DeferCleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	s.store = platform.NewStore(s.storeAddress, time.Second)
	s.faults = admin.NewClient(s.storeAddress)
	s.configure()
	return s
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	GinkgoHelper()
	s.configVersion++
	s.writeConfiguration()
}

// writeConfiguration writes the configuration in its current version.
func (s *site) writeConfiguration() {
	GinkgoHelper()
	routes := []map[string]any{
		{"name": "calls", "host": "a.example", "prefix": "/calls/", "type": "idempotent", "service": "app", "max_attempts": 2, "timeout_ms": 3000, "target_latency_ms": 200},
		{"name": "bookings", "host": "a.example", "prefix": "/bookings/", "type": "non_idempotent", "service": "app", "max_attempts": 1, "timeout_ms": 3000},
		{"name": "drafts", "host": "a.example", "prefix": "/drafts/", "type": "streaming", "service": "pool", "max_attempts": 1, "timeout_ms": 20000, "target_latency_ms": 1000},
		{"name": "notes", "host": "a.example", "prefix": "/notes/", "type": "streaming", "service": "pool", "max_attempts": 2, "timeout_ms": 20000, "target_latency_ms": 1000, "resumable": true},
	}
	for _, route := range routes {
		if regions := s.allowedRegions[route["name"].(string)]; regions != nil {
			route["allowed_regions"] = regions
		}
	}
	tenant := map[string]any{"name": "ws", "api_keys": s.keys}
	if regions := s.allowedRegions["ws"]; regions != nil {
		tenant["allowed_regions"] = regions
	}
	document := map[string]any{
		"version": s.configVersion,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "app", "max_connections": 100, "health_path": "/healthz"},
			{"name": "pool", "max_connections": 100, "health_path": "/healthz", "runtime": map[string]any{
				"batch_size": 24, "kv_capacity": 34360, "kv_bytes": 18432, "link_mbps": 2700, "migrations": true, "stride": 4,
			}},
		},
		"tenants": []map[string]any{tenant},
	}
	if s.adjust != nil {
		s.adjust(document)
	}
	data, err := json.Marshal(document)
	Expect(err).NotTo(HaveOccurred())
	s.write(platform.Write{Table: platform.TableOperator, Key: platform.KeyConfiguration, Value: data})
}

func (s *site) write(w platform.Write) {
	GinkgoHelper()
	_, err := s.store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{w}})
	Expect(err).NotTo(HaveOccurred())
}

// register writes the entry of an endpoint, without its start time.
func (s *site) register(id, service, address, phase string) {
	GinkgoHelper()
	s.registerStartedAt(id, service, address, phase, 0)
}

// registerStartedAt writes the entry of an endpoint that started at startedAtMs, in Unix
// milliseconds; 0 omits the start time.
func (s *site) registerStartedAt(id, service, address, phase string, startedAtMs int64) {
	GinkgoHelper()
	entry := newEntry(service, address, phase)
	if startedAtMs != 0 {
		entry["born"] = startedAtMs
	}
	s.writeEntry(id, entry)
}

// newEntry returns the entry of an endpoint in dc1 with a batch size of 24.
func newEntry(service, address, phase string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "dc1", "version": "v1", "batch_size": 24, "phase": phase,
		"cold_remaining_ms": 0, "sequence": 1,
	}
}

// entryData returns the encoded entry of a ready endpoint.
func entryData(service, address string) []byte { return entryDataIn(service, address, "ready") }

// entryDataIn returns the encoded entry of an endpoint in the given phase.
func entryDataIn(service, address, phase string) []byte {
	data, err := json.Marshal(newEntry(service, address, phase))
	if err != nil {
		panic(err) // the entry holds texts and numbers only
	}
	return data
}

// writeEndpoint writes or removes the entry of an endpoint. It may be called from any goroutine.
func (s *site) writeEndpoint(w platform.Write) error {
	w.Table = platform.TableEndpoints
	_, err := s.store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{w}})
	return err
}

func (s *site) writeEntry(id string, entry map[string]any) {
	GinkgoHelper()
	data, err := json.Marshal(entry)
	Expect(err).NotTo(HaveOccurred())
	s.write(platform.Write{Table: platform.TableEndpoints, Key: id, Value: data})
}

// exposeListener returns the address at which others reach the listener at target: that of a new
// link in front of it if the site is linked, else target.
func (s *site) exposeListener(name, target string) string {
	GinkgoHelper()
	if !s.linked {
		return target
	}
	address, err := rig.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	link, err := rig.NewLink(name, address, target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(link.Cut)
	s.links = append(s.links, link)
	return address
}

// exposeEndpoint returns the address at which the nodes reach the endpoint that listens at target.
func (s *site) exposeEndpoint(id, target string) string {
	GinkgoHelper()
	if !s.perProcess {
		return s.exposeListener(id, target)
	}
	link, err := rig.NewProcessLink(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(link.Close)
	s.endpointLinks = append(s.endpointLinks, link)
	return link.Address()
}

// cutOff cuts the node off from all endpoints, or ends its cut with rig.NoCut.
func (s *site) cutOff(n *nodeProcess, cut rig.Cut) {
	for _, link := range s.endpointLinks {
		link.Cut(n.Process, cut)
	}
}

// startApp starts and registers a plain endpoint in dc1.
func (s *site) startApp(id string) *worker.Worker {
	GinkgoHelper()
	w := s.startPlainWorker(worker.Options{ID: id})
	s.register(id, "app", s.addresses[id], "ready")
	return w
}

// startPlainWorker starts a plain endpoint without registering it.
func (s *site) startPlainWorker(o worker.Options) *worker.Worker {
	GinkgoHelper()
	w, err := worker.Start(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Stop)
	s.addresses[o.ID] = s.exposeEndpoint(o.ID, w.Address())
	return w
}

// startEngine starts and registers an engine in dc1 whose streams have the given number of events,
// one every 10 ms.
func (s *site) startEngine(id string, events int) *worker.Worker {
	GinkgoHelper()
	w, err := worker.Start(worker.Options{ID: id, Events: events, EventInterval: 10 * time.Millisecond, KVStore: s.memory})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Stop)
	s.addresses[id] = s.exposeEndpoint(id, w.Address())
	s.register(id, "pool", s.addresses[id], "ready")
	return w
}

// start starts count nodes and waits until all of them list each other's addresses.
func (s *site) start(count int) {
	GinkgoHelper()
	s.launch(count)
	s.awaitAllNodes()
}

// launch starts count nodes without waiting for them.
func (s *site) launch(count int) {
	GinkgoHelper()
	site := startedSites.Add(1)
	Expect(site).To(BeNumerically("<=", maxSites), "no addresses are left for further specs in this run")
	network := fmt.Sprintf("127.%d.%d", loopbackOctet, 1+(firstSiteOctet-1+site)%maxSites)
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, i+1, peerPort))
	}
	for i := range count {
		dataCentre := "dc1"
		if i < len(s.dataCentres) {
			dataCentre = s.dataCentres[i]
		}
		s.nodes = append(s.nodes, s.newNode(fmt.Sprintf("%s.%d", network, i+1), dataCentre, strings.Join(seeds, ",")))
	}
	for _, n := range s.nodes {
		Expect(n.Start()).To(Succeed())
	}
}

// awaitAllNodes waits until every node lists the addresses of all nodes.
func (s *site) awaitAllNodes() {
	GinkgoHelper()
	for _, n := range s.nodes {
		Eventually(n.addresses, 5*time.Second, 50*time.Millisecond).Should(HaveLen(len(s.nodes)))
	}
}

// newNode returns a node that is not started yet. At the end of the spec the node is killed, and
// its log must show no panic and no data race.
func (s *site) newNode(ip, dataCentre, seeds string) *nodeProcess {
	GinkgoHelper()
	settings := fmt.Sprintf(`node_name=node-%[1]s
ip=%[1]s
zone=%[9]s
region=%[10]s
zones.dc1=%[11]s
zones.dc2=%[12]s
zones.dc3=%[13]s
listen.frontend=%[1]s:%[2]d
listen.ready=%[1]s:%[3]d
listen.control_plane=%[1]s:%[4]d
listen.registry=%[1]s:%[5]d
internal_ports=%[6]d,%[6]d
seed_nodes=%[7]s
limits.memory_mb=134
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.grace_s=8
bounds.retry_slack=50
platform.address=%[8]s
%[14]s`, ip, callerPort, readyPort, peerPort, addressPort, gossipPort, seeds, s.exposeListener("store of "+ip, s.storeAddress), dataCentre,
		s.regionOf(dataCentre), s.regionOf("dc1"), s.regionOf("dc2"), s.regionOf("dc3"), s.extraSettings)
	path := filepath.Join(s.dir, ip+".conf")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	log := filepath.Join(s.dir, ip+".log")
	n := &nodeProcess{ip: ip, Process: rig.NewProcess("node "+ip, log, bin, []string{platform.SettingsVariable + "=" + path})}
	DeferCleanup(func() {
		n.Thaw()
		n.Kill()
		text, err := os.ReadFile(log)
		if err != nil {
			return // it was never started
		}
		if CurrentSpecReport().Failed() {
			AddReportEntry(log, string(text))
		}
		// A panic in a request handler ends only that request, and the race detector only logs, so
		// that neither need fail the spec by itself.
		Expect(string(text)).NotTo(ContainSubstring("panic serving"))
		Expect(string(text)).NotTo(ContainSubstring("DATA RACE"))
	})
	return n
}

// regionOf returns the region of a data centre, north by default.
func (s *site) regionOf(dataCentre string) string {
	if region, named := s.regions[dataCentre]; named {
		return region
	}
	return "north"
}

var client = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// addresses returns the caller addresses of nodes that the node lists for a caller in dc1 and
// north; nil if it does not answer.
func (n *nodeProcess) addresses() []string { return n.addressesFor("dc1", "north") }

// addressesFor is like addresses for a caller in the given data centre and region.
func (n *nodeProcess) addressesFor(dataCentre, region string) []string {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/lookup?name=a.example&zone=%s&region=%s", n.ip, addressPort, dataCentre, region))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer platform.AddressAnswer
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// ready reports whether the node's readiness endpoint answers 200.
func (n *nodeProcess) ready() bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// reply is the answer to a request.
type reply struct {
	// id is the request ID.
	id string
	// status is 0 if there was no answer.
	status int
	body   string
	// complete is set if the body was read to its end without an error.
	complete bool
}

// sendDeadline is the deadline that requests of send state.
const sendDeadline = 12 * time.Second

// send sends a request with a new ID and the given API key to the node and reads the whole answer.
func (s *site) send(n *nodeProcess, path, key string) reply {
	return s.sendOver(client, n, path, key, sendDeadline)
}

// sendOver is like send, over the connections of the given client and with the given deadline.
func (s *site) sendOver(over *http.Client, n *nodeProcess, path, key string, deadline time.Duration) reply {
	return s.sendRequest(over, n, path, "body", http.Header{
		"Crocusreel-Deadline-Ms": {strconv.FormatInt(deadline.Milliseconds(), 10)}, "Authorization": {"Bearer " + key},
	})
}

// sendRequest sends a request with a new ID and reads the whole answer. The given headers replace those
// that send sets.
func (s *site) sendRequest(over *http.Client, n *nodeProcess, path, body string, header http.Header) reply {
	id := fmt.Sprintf("%s-%d", filepath.Base(s.dir), s.requestCount.Add(1))
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, callerPort, path), strings.NewReader(body))
	if err != nil {
		return reply{id: id}
	}
	req.Host = "a.example"
	req.Header.Set("Crocusreel-Attempt-Id", id)
	req.Header.Set("Crocusreel-Deadline-Ms", strconv.FormatInt(sendDeadline.Milliseconds(), 10))
	req.Header.Set("Crocusreel-Token-Usage", "1000,400")
	req.Header.Set("Authorization", "Bearer key")
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := over.Do(req)
	if err != nil {
		return reply{id: id}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, body: string(data), complete: err == nil}
}

func readFile(dir, name string) string {
	GinkgoHelper()
	data, err := os.ReadFile(filepath.Join(dir, name))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func writeFile(dir, name, text string) {
	GinkgoHelper()
	Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
}
