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

// allocate creates the controllers with their names, zones and addresses, and connects them by relays.
func (c *controllers) allocate(scenario *Scenario, basePort int, traffic *measure.Traffic) error {
	allocator := addressAllocator{basePort}
	for i := range scenario.Controllers.Count {
		process := &controller{name: fmt.Sprintf("controller-%02d", i), zone: scenario.Zones[i%len(scenario.Zones)]}
		var err error
		if process.publicAddress, err = allocator.allocate(); err != nil {
			return err
		}
		if process.internalAddress, err = allocator.allocate(); err != nil {
			return err
		}
		c.list = append(c.list, process)
	}
	return c.connectRelays(traffic)
}

// connectRelays creates a relay from each controller to each other one.
func (c *controllers) connectRelays(traffic *measure.Traffic) error {
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

// addressAllocator allocates loopback addresses with consecutive ports, or with any free port if nextPort is 0.
type addressAllocator struct{ nextPort int }

// allocate returns an unused address. The error names the port if it is in use.
func (a *addressAllocator) allocate() (string, error) {
	if a.nextPort == 0 {
		return emulator.FreeAddr(), nil
	}
	addr := fmt.Sprintf("127.0.0.1:%d", a.nextPort)
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("port %d: %w", a.nextPort, err)
	}
	a.nextPort++
	return addr, listener.Close()
}

// writeSettings writes and validates the settings files of all controllers.
func (c *controllers) writeSettings(scenario *Scenario, params config.Params, modelPort int) error {
	if len(scenario.Operator) > 0 {
		if err := c.writeOperatorSettings(scenario, modelPort); err != nil {
			return fmt.Errorf("operator settings: %w", err)
		}
	}
	for _, process := range c.list {
		if err := c.writeControllerSettings(process, params); err != nil {
			return fmt.Errorf("settings of %s: %w", process.name, err)
		}
	}
	return nil
}

const settingsFileMode = 0o600

func (c *controllers) writeOperatorSettings(scenario *Scenario, modelPort int) error {
	operator, err := scenario.operatorSettings(modelPort)
	if err != nil {
		return err
	}
	c.operatorFile = filepath.Join(c.dir, "operator.json")
	if err := os.WriteFile(c.operatorFile, operator, settingsFileMode); err != nil {
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
		settings.Peers = append(settings.Peers, config.Peer{Node: relay.target, Zone: c.byName(relay.target).zone, Addr: relay.addr()})
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	process.settingsFile = filepath.Join(c.dir, process.name+".toml")
	if err := os.WriteFile(process.settingsFile, text, settingsFileMode); err != nil {
		return err
	}
	_, err = config.Load(process.settingsFile)
	return err
}
