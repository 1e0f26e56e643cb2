package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Run is one request that a server began to work on.
type Run struct {
	At                                 time.Time
	Server, Service                    string
	ID, Method, Target, Body, Deadline string
}

// World is one run of a case: a store, servers, hosts and callers on loopback.
type World struct {
	Store *Store
	Hosts []*Host
	// Trouble is false for the run without the disruption.
	Trouble bool

	dir     string
	net     string
	started time.Time
	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	runs    []Run
	nextID  int
}

// NewWorld starts the store and opens the record.
func NewWorld(record string) (*World, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &World{dir: dir, file: file, record: bufio.NewWriter(file), started: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	w.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	w.Store, err = NewStore(w.IP(250) + ":0")
	w.Log("case", "trouble %t", w.Trouble)
	return w, err
}

// IP returns a loopback address.
func (w *World) IP(n int) string { return w.net + fmt.Sprint(n) }

// Log writes a line to the record.
func (w *World) Log(who, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %-8s %s\n", time.Since(w.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// Ran records that a server began to work on a request.
func (w *World) Ran(s *Server, request *ServerRequest) {
	w.mu.Lock()
	w.runs = append(w.runs, Run{time.Now(), s.ID, s.Service, request.ID, request.Method, request.Target, string(request.Body), request.Deadline})
	w.mu.Unlock()
	w.Log("server", "%s of %s runs %s: %s %s on %s", s.ID, s.Service, request.ID, request.Method, request.Target, request.Conn)
}

// Runs returns all runs so far.
func (w *World) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// NewID returns a new request id.
func (w *World) NewID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), w.nextID)
}

// Close ends all hosts and the record.
func (w *World) Close() {
	for _, host := range w.Hosts {
		host.Kill()
	}
	w.mu.Lock()
	w.record.Flush()
	w.file.Close()
	w.mu.Unlock()
	os.RemoveAll(w.dir)
}

// Host is one process of the deploy file.
type Host struct {
	World *World
	Name  string
	Zone  string
	IP    string

	bootstrap bool
	command   *exec.Cmd
	ended     chan struct{}
}

// Zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// StartHosts starts hosts, and waits until all are ready.
func (w *World) StartHosts(count int) error {
	for i := range count {
		w.Hosts = append(w.Hosts, &Host{World: w, Name: fmt.Sprintf("frontend-%d", i+1), Zone: zones[i%len(zones)], IP: w.IP(10 + i), bootstrap: true})
	}
	for _, host := range w.Hosts {
		if err := host.Start(); err != nil {
			return err
		}
	}
	return w.AwaitReady(20 * time.Second)
}

// AwaitReady waits until all hosts are ready.
func (w *World) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := true
		for _, host := range w.Hosts {
			ready = ready && host.Ready()
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the hosts were not ready within %s", limit)
}

// Caller returns the address for callers, and Directory that of the directory.
func (h *Host) Caller() string    { return h.IP + ":8226" }
func (h *Host) Directory() string { return h.IP + ":8225" }

// Ready reports whether the host answers the platform's check with 200.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.IP + ":8227/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Start starts the process as deploy/system.toml does.
func (h *Host) Start() error {
	path := filepath.Join(h.World.dir, h.Name+".yaml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(h.World.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/dandelioncart-platform", "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONCART_BOOT=" + path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	h.bootstrap = false
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	go func() {
		err := command.Wait()
		h.World.Log("host", "%s ended: %v", h.Name, err)
		close(ended)
	}()
	h.World.Log("host", "%s started at %s", h.Name, h.IP)
	return nil
}

// Log returns the path of the log of the host.
func (h *Host) Log() string { return filepath.Join(h.World.dir, h.Name+".log") }

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.World.Log("host", "%s gets %s", h.Name, signal)
	_ = h.command.Process.Signal(signal)
}

// Ended is closed when the process has ended.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// Kill ends the process at once.
func (h *Host) Kill() {
	if h.command == nil {
		return
	}
	_ = h.command.Process.Kill()
	<-h.ended
}

// settings returns the settings of the process, with the figures of the
// installation pbk-dandelion.
func (h *Host) settings() string {
	seeds := ""
	for i, other := range h.World.Hosts {
		if i < 3 {
			seeds += fmt.Sprintf("  - %q\n", other.IP+":8224")
		}
	}
	return fmt.Sprintf(`node_name: %[1]q
role: "host"
machine_class: "frontend"
serves:
  - "frontend"
  - "control"
  - "directory"
ip_address: %[2]q
zone: %[3]q
region: "region-a"
zones:
  zone-a: "region-a"
  zone-b: "region-a"
  zone-c: "region-a"
listen_addresses:
  frontend: "%[2]s:8226"
  ready: "%[2]s:8227"
  control_plane: "%[2]s:8224"
  directory: "%[2]s:8225"
internal_port_range:
  - 7740
  - 7755
seed_nodes:
%[4]sbootstrap: %[5]t
counts_toward_tolerance: false
limits:
  cpu_share: 0.8
  cpu_cores: 1
  memory_mb: 544
  file_descriptors: 8200
  link_mbps: 2000.0
  disk_mb: 0
data_directory: null
discovery: "platform"
entry_kind: "directory"
heartbeat_interval_ms: 1200
contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "retry"
  - "recover"
  - "scatter"
  - "platform"
fault_tolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seed_lag_s: 3
  address_reuse_s: 2
  stability_window_ms: 4000
  confirmation_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  configuration_apply_ms: 3000
  rollback_slack_ms: 250
  maximum_stretch_ms: 12000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 52
  recovery_s: 12
  ttl_max_s: 5
platform:
  address: %[6]q
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  minimum_ttl_ms: 1000
`, h.Name, h.IP, h.Zone, seeds, h.bootstrap, h.World.Store.Address)
}
