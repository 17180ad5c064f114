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

// controller is a controller process, with all that it takes to restart it.
type controller struct {
	name, zone                     string
	publicAddress, internalAddress string
	storeAddress, cloudAddress     string
	settingsFile                   string
	relays                         []*relay // to the others

	cmd       *exec.Cmd
	exited    chan struct{}
	killed    bool // on purpose
	restartAt time.Duration
	usage     *measure.Process
}

// controllers are the controller processes of a simulation.
type controllers struct {
	binary          string
	dir             string
	operatorFile    string // of the operators' settings; empty: none
	now             func() time.Duration
	unexpectedExits chan string // names

	mu   sync.Mutex
	list []*controller
}

// named gives the controller of a name; nil if there is none.
func (c *controllers) named(name string) *controller {
	for _, process := range c.list {
		if process.name == name {
			return process
		}
	}
	return nil
}

// start starts a controller's process. Its log is kept beside its settings.
func (c *controllers) start(process *controller) error {
	cmd, err := c.spawn(process)
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	process.cmd, process.exited, process.killed, process.restartAt = cmd, exited, false, never
	if process.usage == nil {
		process.usage = measure.NewProcess(process.name, cmd.Process.Pid, c.now().Seconds())
	} else {
		process.usage.Restart(cmd.Process.Pid, c.now().Seconds())
	}
	c.mu.Unlock()
	go c.awaitExit(process, cmd, exited)
	return nil
}

// spawn starts the program of a controller.
func (c *controllers) spawn(process *controller) (*exec.Cmd, error) {
	args := []string{"--config", process.settingsFile}
	if c.operatorFile != "" {
		args = append(args, "--operator", c.operatorFile)
	}
	// The process outlives every context: it ends by kill, which waits for it.
	cmd := exec.CommandContext(context.Background(), c.binary, args...)
	log, err := os.OpenFile(filepath.Join(c.dir, process.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd.Stderr = log
	return cmd, cmd.Start()
}

// logMode is the mode of the controllers' logs.
const logMode = 0o600

// awaitExit waits for the end of a process, and tells if it was unexpected.
func (c *controllers) awaitExit(process *controller, cmd *exec.Cmd, exited chan<- struct{}) {
	_ = cmd.Wait() // a killed process ends with an error
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

// never is the restart time of a controller that is not restarted.
const never = 0

// kill kills a controller's process, and waits for its end. restartAt is when it is restarted, or never.
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

// restartDue restarts the controllers that are due.
func (c *controllers) restartDue() error {
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

// sample samples all running processes.
func (c *controllers) sample(atS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, process := range c.list {
		if process.usage != nil && !process.killed {
			_ = process.usage.Sample(atS) // process that just ended has no sample
		}
	}
}

// residentMB is the resident memory of all processes, as last sampled.
func (c *controllers) residentMB() float64 {
	sum := 0.0
	for _, process := range c.list {
		if process.usage != nil {
			sum += process.usage.LastMemoryMB()
		}
	}
	return sum
}

// close ends all processes and relays.
func (c *controllers) close() error {
	var errs error
	for _, process := range c.list {
		errs = errors.Join(errs, c.kill(process, never))
		for _, relay := range process.relays {
			relay.close()
		}
	}
	return errs
}

// addresses gives the public addresses, and the names by address.
func (c *controllers) addresses() ([]string, map[string]string) {
	names := map[string]string{}
	var all []string
	for _, process := range c.list {
		all = append(all, process.publicAddress)
		names[process.publicAddress] = process.name
	}
	return all, names
}

// setZonePartitioned begins or ends a partition between a zone's controllers and the others.
func (c *controllers) setZonePartitioned(zone string, partitioned bool) {
	for _, process := range c.list {
		for _, relay := range process.relays {
			if (process.zone == zone) != (c.named(relay.target).zone == zone) {
				relay.setPartitioned(partitioned)
			}
		}
	}
}
