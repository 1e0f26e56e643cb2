package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// command is the run line of the role in deploy/system.toml.
const command = "target/dandelioncart-platform --metrics-port 9464"

const (
	metricsPort = 9464
	memoryMB    = 284
)

// host is a machine of the system with its process.
type host struct {
	name, zone, ip                    string
	caller, ready, control, directory string
	settings, log                     string
	mu                                sync.Mutex
	process                           *exec.Cmd
	ended                             chan struct{}
	startedAt                         time.Time
}

var hosts []*host

var zones = []string{"regina-a", "regina-a", "saskatoon-b", "calgary-c"}

var folder string

// freePorts returns ports that are free at all addresses.
func freePorts(count int, ips []string) (ports []int) {
	for len(ports) < count {
		listener, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			unable("no free port at %s: %v", ips[0], err)
		}
		port := listener.Addr().(*net.TCPAddr).Port
		listener.Close()
		if !slices.Contains(ports, port) && allFree(port, ips) {
			ports = append(ports, port)
		}
	}
	return ports
}

func allFree(port int, ips []string) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// createHosts chooses addresses and writes the settings files.
func createHosts(count int, storeAddress string, staleSeeds bool) {
	var err error
	if folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		unable("%v", err)
	}
	var ips []string
	for try := 0; len(ips) == 0 || !allFree(metricsPort, ips); try++ {
		if try == 50 {
			unable("no addresses with a free port %d", metricsPort)
		}
		prefix := fmt.Sprintf("127.%d.%d.", 2+rand.IntN(200), 1+rand.IntN(250))
		ips = nil
		for i := range count + 3 {
			ips = append(ips, fmt.Sprintf("%s%d", prefix, i+1))
		}
	}
	ports := freePorts(4, ips)
	at := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, ports[port]) }
	for i, ip := range ips[:count] {
		zone := zones[i%len(zones)]
		hosts = append(hosts, &host{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: ip, caller: at(ip, 0), ready: at(ip, 1), control: at(ip, 2), directory: at(ip, 3)})
	}
	// Stale seeds are addresses at which no host listens.
	seeds := []string{at(ips[count], 2), at(ips[count+1], 2), at(ips[count+2], 2)}
	if !staleSeeds {
		seeds = nil
		for _, h := range hosts[:min(3, count)] {
			seeds = append(seeds, h.control)
		}
	}
	for _, h := range hosts {
		h.settings, h.log = filepath.Join(folder, h.name+".yaml"), filepath.Join(folder, h.name+".log")
		lines := []string{
			fmt.Sprintf("node_name: %q", h.name), `role: "host"`, `machine_class: "frontend"`,
			"serves:", `  - "frontend"`, `  - "control"`, `  - "directory"`,
			fmt.Sprintf("ip_address: %q", h.ip), fmt.Sprintf("zone: %q", h.zone), `region: "prairie-west"`,
			"zones:", `  regina-a: "prairie-west"`, `  saskatoon-b: "prairie-west"`, `  calgary-c: "prairie-west"`,
			"listen_addresses:", fmt.Sprintf("  frontend: %q", h.caller), fmt.Sprintf("  ready: %q", h.ready),
			fmt.Sprintf("  control_plane: %q", h.control), fmt.Sprintf("  directory: %q", h.directory),
			"internal_port_range:", "  - 7740", "  - 7755", "seed_nodes:",
		}
		for _, seed := range seeds {
			lines = append(lines, fmt.Sprintf("  - %q", seed))
		}
		lines = append(lines, "bootstrap: true", "counts_toward_tolerance: false",
			"limits:", "  cpu_share: 0.4", "  cpu_cores: 1", fmt.Sprintf("  memory_mb: %d", memoryMB), "  file_descriptors: 4100", "  link_mbps: 1000.0", "  disk_mb: 0",
			"data_directory: null", `discovery: "platform"`, `entry_kind: "directory"`, "heartbeat_interval_ms: 1200",
			"contracts:", `  - "base"`, `  - "drain"`, `  - "config"`, `  - "cost"`, `  - "retry"`, `  - "recover"`, `  - "scatter"`, `  - "platform"`,
			"fault_tolerance:", "  machines: 1", "  zones: 0", "  regions: 0",
			"bounds:", "  seed_lag_s: 3", "  address_reuse_s: 2", "  stability_window_ms: 4000", "  confirmation_ms: 5000", "  catch_up_s: 4",
			"  drain_ms: 3000", "  grace_s: 6", "  loss_slack_ms: 200", "  configuration_apply_ms: 3000", "  rollback_slack_ms: 250",
			"  maximum_stretch_ms: 12000", "  retry_budget_ratio: 0.2", "  budget_window_s: 10", "  retry_budget_slack: 52", "  recovery_s: 12", "  ttl_max_s: 5")
		lines = append(lines, "platform:", fmt.Sprintf("  address: %q", storeAddress), `  form: "kv"`, "  writes_per_s: 400", "  reads_per_s: 2000",
			"  history_s: 20", "  value_bytes: 1048576", "  minimum_ttl_ms: 1000", "")
		if err := os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")), 0o644); err != nil {
			unable("%v", err)
		}
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		unable("%v", err)
	}
	words := strings.Fields(command)
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DANDELIONCART_BOOT=" + h.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		unable("%v", err)
	}
	_ = log.Close()
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended, h.startedAt = process, ended, time.Now()
	h.mu.Unlock()
	note("process of %s starts", h.name)
	go func() {
		_ = process.Wait()
		note("process of %s has ended: %s", h.name, process.ProcessState)
		close(ended)
	}()
}

func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	note("%s to %s", signal, h.name)
	_ = h.process.Process.Signal(signal)
}

// awaitEnd waits until the process has ended.
func (h *host) awaitEnd(most time.Duration) bool {
	select {
	case <-h.ended:
		return true
	case <-time.After(most):
		return false
	}
}

// isReady asks the readiness check of the platform.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the hosts are ready.
func awaitReady(which ...*host) {
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range which {
		for !h.isReady() {
			if time.Now().After(deadline) {
				unable("%s is not ready", h.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	note("ready: %d hosts", len(which))
}

// endHosts ends all processes that were started.
func endHosts() {
	for _, h := range hosts {
		h.mu.Lock()
		process, ended := h.process, h.ended
		h.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-ended
	}
	if os.Getenv("KEEP") == "" && folder != "" {
		_ = os.RemoveAll(folder)
	}
}
