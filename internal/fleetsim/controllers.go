package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"bitternwing/internal/fleetsim/measure"
)

// controller is a controller process and what is needed to restart it.
type controller struct {
	name, zone                     string
	publicAddress, internalAddress string
	storeAddress, cloudAddress     string
	settingsFile                   string
	relays                         []*relay // to each other controller

	cmd       *exec.Cmd
	exited    chan struct{}
	killed    bool // by kill; any other exit is unexpected
	restartAt time.Duration
	usage     *measure.Process
}

// controllers are the controller processes of a simulation.
type controllers struct {
	binary          string
	dir             string
	operatorFile    string // path of the operator settings; "" if there are none
	now             func() time.Duration
	unexpectedExits chan string // names of controllers

	mu   sync.Mutex
	list []*controller
}

// byName returns the controller with a name, or nil.
func (c *controllers) byName(name string) *controller {
	for _, process := range c.list {
		if process.name == name {
			return process
		}
	}
	return nil
}

// start starts a controller's process, and its resource measurements.
func (c *controllers) start(process *controller) error {
	cmd, err := c.spawn(process)
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	process.cmd, process.exited, process.killed, process.restartAt = cmd, exited, false, noRestart
	if process.usage == nil {
		process.usage = measure.NewProcess(process.name, cmd.Process.Pid, c.now().Seconds())
	} else {
		process.usage.Restart(cmd.Process.Pid, c.now().Seconds())
	}
	c.mu.Unlock()
	go c.awaitExit(process, cmd, exited)
	return nil
}

// spawn starts the controller binary. Its log is appended to a file in the directory of the settings.
func (c *controllers) spawn(process *controller) (*exec.Cmd, error) {
	args := []string{"--config", process.settingsFile}
	if c.operatorFile != "" {
		args = append(args, "--operator", c.operatorFile)
	}
	// The process is not bound to a context: kill ends it and waits for its exit.
	cmd := exec.CommandContext(context.Background(), c.binary, args...)
	log, err := os.OpenFile(filepath.Join(c.dir, process.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd.Stderr = log
	return cmd, cmd.Start()
}

const logFileMode = 0o600

// awaitExit waits for a process to exit, and reports an exit that kill did not cause.
func (c *controllers) awaitExit(process *controller, cmd *exec.Cmd, exited chan<- struct{}) {
	_ = cmd.Wait() // killed processes return an error
	c.mu.Lock()
	defer c.mu.Unlock()
	if !process.killed {
		c.unexpectedExits <- process.name
	}
	close(exited)
}

// startAll starts all controllers.
func (c *controllers) startAll() error {
	for _, process := range c.list {
		if err := c.start(process); err != nil {
			return fmt.Errorf("%s: %w", process.name, err)
		}
	}
	return nil
}

// noRestart is the restartAt of a controller that is not restarted.
const noRestart = 0

// kill kills a controller's process and waits for its exit. It is restarted at restartAt, unless that is noRestart.
func (c *controllers) kill(process *controller, restartAt time.Duration) error {
	c.mu.Lock()
	cmd, exited := process.cmd, process.exited
	process.killed, process.restartAt = true, restartAt
	c.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-exited
	return nil
}

// restartDueControllers starts the killed controllers whose restart time has come.
func (c *controllers) restartDueControllers() error {
	for _, process := range c.list {
		c.mu.Lock()
		due := process.restartAt > 0 && c.now() >= process.restartAt
		c.mu.Unlock()
		if !due {
			continue
		}
		if err := c.start(process); err != nil {
			return fmt.Errorf("%s: %w", process.name, err)
		}
	}
	return nil
}

// sample samples the running processes' resource usage.
func (c *controllers) sample(atS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, process := range c.list {
		if process.usage != nil && !process.killed {
			_ = process.usage.Sample(atS) // fails if the process has just exited
		}
	}
}

// residentMB returns the resident memory of all processes in their last samples.
func (c *controllers) residentMB() float64 {
	sum := 0.0
	for _, process := range c.list {
		if process.usage != nil {
			sum += process.usage.LastMemoryMB()
		}
	}
	return sum
}

// close kills all processes and closes their relays.
func (c *controllers) close() error {
	var errs error
	for _, process := range c.list {
		errs = errors.Join(errs, c.kill(process, noRestart))
		for _, relay := range process.relays {
			relay.close()
		}
	}
	return errs
}

// publicAddresses returns the public addresses of all controllers, and the controllers' names by address.
func (c *controllers) publicAddresses() ([]string, map[string]string) {
	names := map[string]string{}
	var addresses []string
	for _, process := range c.list {
		addresses = append(addresses, process.publicAddress)
		names[process.publicAddress] = process.name
	}
	return addresses, names
}

// setZonePartitioned begins or ends a partition between a zone's controllers and those of the other zones.
func (c *controllers) setZonePartitioned(zone string, partitioned bool) {
	for _, process := range c.list {
		for _, relay := range process.relays {
			if (process.zone == zone) != (c.byName(relay.target).zone == zone) {
				relay.setPartitioned(partitioned)
			}
		}
	}
}
