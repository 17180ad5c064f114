package fleetsim

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/fleetsim/measure"
)

// allocate gives controllers names, zones and addresses, and connects them by relays.
func (c *controllers) allocate(scenario *Scenario, basePort int, traffic *measure.Traffic) error {
	free := addresses{basePort}
	for i := range scenario.Controllers.Count {
		process := &controller{name: fmt.Sprintf("controller-%02d", i), zone: scenario.Zones[i%len(scenario.Zones)]}
		var err error
		if process.publicAddress, err = free.next(); err != nil {
			return err
		}
		if process.internalAddress, err = free.next(); err != nil {
			return err
		}
		c.list = append(c.list, process)
	}
	return c.connect(traffic)
}

// connect connects each controller to all others by relays.
func (c *controllers) connect(traffic *measure.Traffic) error {
	for _, source := range c.list {
		for _, target := range c.list {
			if source == target {
				continue
			}
			relay, err := newRelay(source.name, target.name, target.internalAddress, traffic)
			if err != nil {
				return fmt.Errorf("relay from %s to %s: %w", source.name, target.name, err)
			}
			source.relays = append(source.relays, relay)
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
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("port %d: %w", a.port, err)
	}
	a.port++
	return addr, listener.Close()
}

// writeSettings writes the settings files of all controllers.
func (c *controllers) writeSettings(scenario *Scenario, params config.Params, modelPort int) error {
	if len(scenario.Operator) > 0 {
		if err := c.writeOperatorSettings(scenario, modelPort); err != nil {
			return fmt.Errorf("operators' settings: %w", err)
		}
	}
	for _, process := range c.list {
		if err := c.writeControllerSettings(process, params); err != nil {
			return fmt.Errorf("settings of %s: %w", process.name, err)
		}
	}
	return nil
}

// settingsMode is the mode of settings files.
const settingsMode = 0o600

func (c *controllers) writeOperatorSettings(scenario *Scenario, modelPort int) error {
	operator, err := scenario.operatorWith(modelPort)
	if err != nil {
		return err
	}
	c.operatorFile = filepath.Join(c.dir, "operator.json")
	if err := os.WriteFile(c.operatorFile, operator, settingsMode); err != nil {
		return err
	}
	_, err = config.LoadOperatorSettings(c.operatorFile)
	return err
}

func (c *controllers) writeControllerSettings(process *controller, params config.Params) error {
	settings := config.Settings{
		Node:       process.name,
		Zone:       process.zone,
		Listen:     process.publicAddress,
		PeerListen: process.internalAddress,
		Services:   config.Services{Cloud: process.cloudAddress, Store: process.storeAddress},
		Params:     params,
	}
	for _, relay := range process.relays {
		settings.Peers = append(settings.Peers, config.Peer{Node: relay.target, Zone: c.named(relay.target).zone, Addr: relay.addr()})
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	process.settingsFile = filepath.Join(c.dir, process.name+".toml")
	if err := os.WriteFile(process.settingsFile, text, settingsMode); err != nil {
		return err
	}
	_, err = config.Load(process.settingsFile)
	return err
}
