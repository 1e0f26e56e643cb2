package dcdemocommand

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dandelioncart/dandelioncart/internal/dcprocess"
	settingsv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/settings/v1"
	standinv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/standin/v1"
)

// deployment is the set of processes that the demo runs, with the files and
// credentials made for them.
type deployment struct {
	options   Options
	directory string
	out       io.Writer
	random    io.Reader

	standIn *process
	hosts   []*process
	ready   *standinv1.Ready
	// settings has the same order as hosts.
	settings []*settingsv1.HostSettings
	// credentials holds the credential of each department.
	credentials map[string]string
	client      *http.Client
}

// process is a program that the demo started.
type process struct {
	*dcprocess.Process
	name string
	// log is the path of the log file.
	log string
	// killed reports that the demo killed the process.
	killed bool
}

// startProcess starts a program. Its standard output goes to output, its
// standard error to a log file that is named after it.
func (d *deployment) startProcess(name string, output io.Writer, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(d.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	child, err := dcprocess.Start(filepath.Join(d.options.Bin, program), arguments, output, log)
	if err != nil {
		return nil, err
	}
	return &process{Process: child, name: name, log: log.Name()}, nil
}

// start starts the stand-ins and the hosts, applies the configuration and waits
// until all hosts are ready.
func (d *deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	startTime := time.Now()
	addresses, listeners, err := reservePorts(2 * d.options.Hosts)
	defer closeAll(listeners)
	if err != nil {
		return err
	}
	callers, peers := addresses[:d.options.Hosts], addresses[d.options.Hosts:]
	if err := d.startStandIns(callers); err != nil {
		return err
	}
	if err := d.writeFiles(callers, peers); err != nil {
		return err
	}
	closeAll(listeners)
	for _, settings := range d.settings {
		host, err := d.startProcess(settings.GetHostId(), nil, "dandelioncart", "serve", "--settings", d.filePath(settings.GetHostId()+".yaml"), "--stop-allowance", "200ms")
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, host)
	}
	if err := d.waitForOK(ctx, "/livez"); err != nil {
		return err
	}
	if err := d.runCLI(ctx, adminDepartment, "config", "apply", "--base-revision", "0", "--comment", "demo", d.filePath("configuration.yaml")); err != nil {
		return err
	}
	if err := d.waitForOK(ctx, "/readyz"); err != nil {
		return err
	}
	d.printf("%d hosts and %d upstream servers are ready after %s\n", len(d.hosts), d.serverCount(), time.Since(startTime).Round(time.Millisecond))
	return nil
}

// startStandIns starts the stand-ins and reads their addresses from the line of
// JSON that they print once they listen.
func (d *deployment) startStandIns(tierHosts []string) error {
	if err := d.writeProfile(tierHosts); err != nil {
		return err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer reader.Close()
	d.standIn, err = d.startProcess("stand-in", writer, "dandelioncart-standin", d.filePath("profile.yaml"))
	_ = writer.Close()
	if err != nil {
		return err
	}
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		return eris.Wrap(err, "read the addresses of the stand-ins")
	}
	d.ready = &standinv1.Ready{}
	return protojson.Unmarshal(line, d.ready)
}

// waitForOK polls path on all hosts until each has responded with status 200.
func (d *deployment) waitForOK(ctx context.Context, path string) error {
	for i := range d.hosts {
		for {
			response, err := d.client.Get(d.hostURL(i) + path)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-time.After(pollInterval):
			case <-d.hosts[i].Done():
				return eris.Errorf("%s exited early: %v", d.hosts[i].name, d.hosts[i].Err())
			case <-ctx.Done():
				return eris.Errorf("%s did not return status 200 for %s in time", d.hosts[i].name, path)
			}
		}
	}
	return nil
}

// runCLI runs the dandelioncart command line as a department against the first
// host and prints its output.
func (d *deployment) runCLI(ctx context.Context, department string, arguments ...string) error {
	output, err := d.captureCLI(ctx, department, arguments...)
	d.printf("%s", output)
	return err
}

// captureCLI does the same as runCLI, but returns the command line and its
// output instead of printing them.
func (d *deployment) captureCLI(ctx context.Context, department string, arguments ...string) (output []byte, err error) {
	command := exec.CommandContext(ctx, filepath.Join(d.options.Bin, "dandelioncart"), arguments...)
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "$ dandelioncart %s %s\n", arguments[0], arguments[1])
	command.Stdout, command.Stderr = &buffer, &buffer
	command.Env = append(os.Environ(),
		"SSL_CERT_FILE="+d.filePath("authority.pem"),
		"DANDELIONCART_ADDRESS="+d.hostURL(0),
		"DANDELIONCART_DEPARTMENT="+department,
		"DANDELIONCART_CREDENTIAL="+d.credentials[department],
	)
	err = command.Run()
	return buffer.Bytes(), eris.Wrapf(err, "dandelioncart %s", arguments[0])
}

// stop stops all processes gracefully, the stand-ins last. Each host gets a
// second SIGTERM so that it leaves at once: after the first one, hosts wait for
// each other and would leave one after the other.
func (d *deployment) stop() error {
	for _, host := range d.hosts {
		host.Signal(syscall.SIGTERM)
	}
	for _, host := range d.hosts {
		select {
		case <-time.After(pollInterval):
		case <-host.Done():
		}
		host.Signal(syscall.SIGTERM)
	}
	for _, host := range append(d.hosts, d.standIn) {
		if host == d.standIn {
			host.Signal(syscall.SIGTERM)
		}
		if err := host.waitForExit(); err != nil {
			return err
		}
	}
	return nil
}

// waitForExit waits until a process that was told to stop has exited. It
// returns at once for a process that the demo killed.
func (p *process) waitForExit() error {
	if p.killed {
		return nil
	}
	select {
	case <-p.Done():
		return eris.Wrap(p.Err(), p.name)
	case <-time.After(startTimeout):
		return eris.Errorf("%s did not stop", p.name)
	}
}

// killAll kills the processes that are still running, which is the case after a
// failure.
func (d *deployment) killAll() {
	for _, p := range append(d.hosts, d.standIn) {
		if p == nil {
			continue
		}
		select {
		case <-p.Done():
		default:
			p.Signal(syscall.SIGKILL)
			<-p.Done()
		}
	}
}

// printLogs prints the last 1500 bytes of each log and returns err.
func (d *deployment) printLogs(err error) error {
	const tail = 1500
	for _, p := range append(d.hosts, d.standIn) {
		if p == nil {
			continue
		}
		content, _ := os.ReadFile(p.log)
		d.printf("--- %s\n%s\n", p.name, content[max(0, len(content)-tail):])
	}
	return err
}

// filePath returns the path of a file in the temporary directory of the demo.
func (d *deployment) filePath(name string) string {
	return filepath.Join(d.directory, name)
}

// hostURL returns the URL at which a host serves callers.
func (d *deployment) hostURL(host int) string {
	return "https://" + d.settings[host].GetCallers().GetListen()
}

// serverCount returns the number of upstream servers in all service groups.
func (d *deployment) serverCount() (count int) {
	for _, group := range d.ready.GetGroups() {
		for _, service := range group.GetServices() {
			for _, upstream := range service.GetUpstreams() {
				count += len(upstream.GetServers())
			}
		}
	}
	return count
}

// shardCount returns the number of shards of the queried service group. The
// stand-ins have one shard for each server.
func (d *deployment) shardCount() (count int) {
	for _, group := range d.ready.GetGroups() {
		if group.GetName() != queryGroup {
			continue
		}
		for _, service := range group.GetServices() {
			for _, upstream := range service.GetUpstreams() {
				count += len(upstream.GetServers())
			}
		}
	}
	return count
}

// report requests the counters of the stand-ins.
func (d *deployment) report() (*standinv1.Report, error) {
	response, err := http.Get(d.ready.GetAdmin() + "/v1/report")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	report := &standinv1.Report{}
	return report, protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, report)
}

// checkOrderRuns checks against the counters of the stand-ins that no order ran
// more than once and that the number of orders that ran is between minimum and
// maximum.
func (d *deployment) checkOrderRuns(minimum, maximum int) error {
	report, err := d.report()
	if err != nil {
		return err
	}
	ran := int(report.GetOrdersRun())
	d.printf("stand-ins: %d orders ran, %d ran more than once\n", ran, len(report.GetDuplicates()))
	if len(report.GetDuplicates()) > 0 {
		return eris.Errorf("orders ran more than once: %v", report.GetDuplicates())
	}
	if ran < minimum || ran > maximum {
		return eris.Errorf("%d orders ran, want between %d and %d", ran, minimum, maximum)
	}
	return nil
}

// hostName returns the id of a host. The number counts from 0.
func hostName(number int) string {
	return fmt.Sprintf("prairie-west-%d", number+1)
}
