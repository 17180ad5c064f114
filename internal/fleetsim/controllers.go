package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/fleetsim/measure"
)

// controller is a controller process, with all that it needs to be started again.
type controller struct {
	name, zone                     string
	publicAddress, internalAddress string // addresses
	storeAddress, cloudAddress     string
	settingsFile                   string
	relays                         []*relay // to the others

	cmd       *exec.Cmd
	exited    chan struct{}
	killed    bool // it was killed on purpose
	restartAt time.Duration
	usage     *measure.Process
}

// controllers are the controller processes of a run.
type controllers struct {
	binary          string
	dir             string
	operatorFile    string // file of the operators' settings; empty: none
	now             func() time.Duration
	unexpectedExits chan string // names of those that ended by themselves

	mu   sync.Mutex
	list []*controller
}

// plan gives controllers names, zones and addresses, and connects them by relays.
func (c *controllers) plan(s *Scenario, basePort int, traffic *measure.Traffic) error {
	free := addresses{basePort}
	for i := range s.Controllers.Count {
		x := &controller{name: fmt.Sprintf("controller-%02d", i), zone: s.Zones[i%len(s.Zones)]}
		var err error
		if x.publicAddress, err = free.next(); err != nil {
			return err
		}
		if x.internalAddress, err = free.next(); err != nil {
			return err
		}
		c.list = append(c.list, x)
	}
	for _, from := range c.list {
		for _, to := range c.list {
			if from == to {
				continue
			}
			r, err := newRelay(from.name, to.name, to.internalAddress, traffic)
			if err != nil {
				return err
			}
			from.relays = append(from.relays, r)
		}
	}
	return nil
}

// addresses gives controllers addresses on loopback, from a port on, or any free ones for port 0.
type addresses struct{ port int }

// next gives another address; an error names the port that is not free.
func (a *addresses) next() (string, error) {
	if a.port == 0 {
		return emulator.FreeAddr(), nil
	}
	addr := fmt.Sprintf("127.0.0.1:%d", a.port)
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("port %d: %w", a.port, err)
	}
	a.port++
	return addr, l.Close()
}

// writeSettings writes the settings files of all controllers.
func (c *controllers) writeSettings(s *Scenario, params config.Params, modelPort int) error {
	if len(s.Operator) > 0 {
		operator, err := s.operatorWith(modelPort)
		if err != nil {
			return err
		}
		c.operatorFile = filepath.Join(c.dir, "operator.json")
		if err := os.WriteFile(c.operatorFile, operator, 0o600); err != nil {
			return err
		}
		if _, err := config.LoadOperator(c.operatorFile); err != nil {
			return err
		}
	}
	for _, x := range c.list {
		settings := config.Settings{Node: x.name, Zone: x.zone, Listen: x.publicAddress, PeerListen: x.internalAddress,
			Services: config.Services{Cloud: x.cloudAddress, Store: x.storeAddress}, Params: params}
		for _, r := range x.relays {
			settings.Peers = append(settings.Peers, config.Peer{Node: r.target, Zone: c.named(r.target).zone, Addr: r.addr()})
		}
		text, err := toml.Marshal(settings)
		if err != nil {
			return err
		}
		x.settingsFile = filepath.Join(c.dir, x.name+".toml")
		if err := os.WriteFile(x.settingsFile, text, 0o600); err != nil {
			return err
		}
		if _, err := config.Load(x.settingsFile); err != nil {
			return err
		}
	}
	return nil
}

func (c *controllers) named(name string) *controller {
	for _, x := range c.list {
		if x.name == name {
			return x
		}
	}
	return nil
}

// start starts a controller's process. Its log is kept beside its settings.
func (c *controllers) start(x *controller) error {
	args := []string{}
	if c.operatorFile != "" {
		args = append(args, "--operator", c.operatorFile)
	}
	// The process outlives every context: it ends by kill, which waits for it.
	cmd := exec.CommandContext(context.Background(), c.binary, append(args, "--config", x.settingsFile)...)
	log, err := os.OpenFile(filepath.Join(c.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	x.cmd, x.exited, x.killed, x.restartAt = cmd, exited, false, 0
	if x.usage == nil {
		x.usage = measure.NewProcess(x.name, cmd.Process.Pid, c.now().Seconds())
	} else {
		x.usage.Restart(cmd.Process.Pid, c.now().Seconds())
	}
	c.mu.Unlock()
	go func() {
		_ = cmd.Wait() // a killed process ends with an error
		c.mu.Lock()
		defer c.mu.Unlock()
		if !x.killed {
			c.unexpectedExits <- x.name
		}
		close(exited)
	}()
	return nil
}

// startAll starts all controllers.
func (c *controllers) startAll() error {
	for _, x := range c.list {
		if err := c.start(x); err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	return nil
}

// kill ends a controller's process by its id, and waits for it. It is to be started again at a time; 0: never.
func (c *controllers) kill(x *controller, restartAt time.Duration) error {
	c.mu.Lock()
	cmd, exited := x.cmd, x.exited
	x.killed, x.restartAt = true, restartAt
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

// restartDue starts those again whose time has come.
func (c *controllers) restartDue() error {
	for _, x := range c.list {
		c.mu.Lock()
		due := x.restartAt > 0 && c.now() >= x.restartAt
		c.mu.Unlock()
		if !due {
			continue
		}
		if err := c.start(x); err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	return nil
}

// sample samples all processes that are there.
func (c *controllers) sample(atS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.list {
		if x.usage != nil && !x.killed {
			_ = x.usage.Sample(atS) // one that just ended has no sample
		}
	}
}

// residentMB is the memory of all processes as last sampled.
func (c *controllers) residentMB() float64 {
	sum := 0.0
	for _, x := range c.list {
		if x.usage != nil && len(x.usage.Samples) > 0 {
			sum += x.usage.Samples[len(x.usage.Samples)-1].MemoryMB
		}
	}
	return sum
}

// close ends all processes and relays.
func (c *controllers) close() error {
	var failed error
	for _, x := range c.list {
		failed = errors.Join(failed, c.kill(x, 0))
		for _, r := range x.relays {
			r.close()
		}
	}
	return failed
}

// addresses gives the public addresses, and the names by address.
func (c *controllers) addresses() ([]string, map[string]string) {
	names := map[string]string{}
	var all []string
	for _, x := range c.list {
		all = append(all, x.publicAddress)
		names[x.publicAddress] = x.name
	}
	return all, names
}

// setZonePartitioned cuts the relays between a zone's controllers and the others, or ends that.
func (c *controllers) setZonePartitioned(zone string, cut bool) {
	for _, x := range c.list {
		for _, r := range x.relays {
			if (x.zone == zone) != (c.named(r.target).zone == zone) {
				r.setPartitioned(cut)
			}
		}
	}
}
