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

// deployment is a running set of processes.
type deployment struct {
	options   Options
	directory string
	out       io.Writer
	random    io.Reader

	standIn     *process
	hosts       []*process
	ready       *standinv1.Ready
	settings    []*settingsv1.HostSettings
	credentials map[string]string
	client      *http.Client
}

// process is one program that this demo started.
type process struct {
	*dcprocess.Process
	name   string
	log    string
	killed bool
}

// startProcess starts a program whose standard error goes to a file.
func (d *deployment) startProcess(name string, output io.Writer, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(d.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	started, err := dcprocess.Start(filepath.Join(d.options.Bin, program), arguments, output, log)
	if err != nil {
		return nil, err
	}
	return &process{Process: started, name: name, log: log.Name()}, nil
}

// start brings everything up and applies the configuration.
func (d *deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	addresses, listeners, err := reservePorts(2 * d.options.Hosts)
	defer closeAll(listeners)
	if err != nil {
		return err
	}
	callers, peers := addresses[:d.options.Hosts], addresses[d.options.Hosts:]
	if err := d.startStandIn(callers); err != nil {
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
	d.printf("%d hosts and %d upstream servers are ready after %s\n", len(d.hosts), d.serverCount(), time.Since(began).Round(time.Millisecond))
	return nil
}

// startStandIn starts the stand-ins and reads their addresses.
func (d *deployment) startStandIn(tierHosts []string) error {
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

// waitForOK polls all hosts until they answer 200 on a path.
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
				return eris.Errorf("%s ended early: %v", d.hosts[i].name, d.hosts[i].Err())
			case <-ctx.Done():
				return eris.Errorf("%s does not answer %s", d.hosts[i].name, path)
			}
		}
	}
	return nil
}

// runCLI runs the operators' tool and prints its output.
func (d *deployment) runCLI(ctx context.Context, department string, arguments ...string) error {
	output, err := d.captureCLI(ctx, department, arguments...)
	d.printf("%s", output)
	return err
}

// captureCLI runs the operators' tool as a department against the first host.
func (d *deployment) captureCLI(ctx context.Context, department string, arguments ...string) (output []byte, err error) {
	command := exec.CommandContext(ctx, filepath.Join(d.options.Bin, "dandelioncart"), arguments...)
	var printed bytes.Buffer
	fmt.Fprintf(&printed, "$ dandelioncart %s %s\n", arguments[0], arguments[1])
	command.Stdout, command.Stderr = &printed, &printed
	command.Env = append(os.Environ(),
		"SSL_CERT_FILE="+d.filePath("authority.pem"),
		"DANDELIONCART_ADDRESS="+d.hostURL(0),
		"DANDELIONCART_DEPARTMENT="+department,
		"DANDELIONCART_CREDENTIAL="+d.credentials[department],
	)
	err = command.Run()
	return printed.Bytes(), eris.Wrapf(err, "dandelioncart %s", arguments[0])
}

// stop ends all processes gracefully. The second signal lets the hosts leave at
// once instead of one after the other.
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

// waitForExit waits for the end of a process that was told to stop.
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

// killAll ends what still runs, after a failure.
func (d *deployment) killAll() {
	for _, started := range append(d.hosts, d.standIn) {
		if started == nil {
			continue
		}
		select {
		case <-started.Done():
		default:
			started.Signal(syscall.SIGKILL)
			<-started.Done()
		}
	}
}

// printLogs adds the ends of the logs to an error.
func (d *deployment) printLogs(err error) error {
	const tail = 1500
	for _, started := range append(d.hosts, d.standIn) {
		if started == nil {
			continue
		}
		text, _ := os.ReadFile(started.log)
		d.printf("--- %s\n%s\n", started.name, text[max(0, len(text)-tail):])
	}
	return err
}

func (d *deployment) filePath(name string) string {
	return filepath.Join(d.directory, name)
}

func (d *deployment) hostURL(host int) string {
	return "https://" + d.settings[host].GetCallers().GetListen()
}

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

// shardCount is the number of shards of the queried group: the stand-ins have one
// for each server.
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

// report reads what the stand-ins counted.
func (d *deployment) report() (*standinv1.Report, error) {
	response, err := http.Get(d.ready.GetAdmin() + "/v1/report")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	report := &standinv1.Report{}
	return report, protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(text, report)
}

// checkOrderRuns checks that no order ran twice, and how many ran.
func (d *deployment) checkOrderRuns(least, most int) error {
	report, err := d.report()
	if err != nil {
		return err
	}
	runs := int(report.GetOrdersRun())
	d.printf("stand-ins: %d orders ran, %d ran more than once\n", runs, len(report.GetDuplicates()))
	if len(report.GetDuplicates()) > 0 {
		return eris.Errorf("orders ran more than once: %v", report.GetDuplicates())
	}
	if runs < least || runs > most {
		return eris.Errorf("%d orders ran, want between %d and %d", runs, least, most)
	}
	return nil
}

func hostName(number int) string {
	return fmt.Sprintf("prairie-west-%d", number+1)
}
