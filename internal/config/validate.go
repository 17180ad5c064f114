package config

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// minTxnOps is the smallest limit on the operations of a transaction that the controllers can work with.
const minTxnOps = 4

// positiveField is a setting that must be positive.
type positiveField struct {
	field string
	value float64
}

// positiveFields returns the upcoming limits that are set.
func (n *UpcomingLimits) positiveFields() []positiveField {
	if n == nil {
		return nil
	}
	var fields []positiveField
	add := func(name string, value *float64) {
		if value != nil {
			fields = append(fields, positiveField{"params.state.next." + name, *value})
		}
	}
	add("rps", n.RPS)
	add("write_rps", n.WriteRPS)
	add("value_kb", n.ValueKB)
	if n.TxnOps != nil {
		ops := float64(*n.TxnOps)
		add("txn_ops", &ops)
	}
	return fields
}

// validate returns an error for the first invalid field, with its key in the file.
func (s *Settings) validate() error {
	if s.Node == "" {
		return errors.New("host_name: must not be empty")
	}
	for _, check := range []func() error{s.checkNames, s.checkAddresses, s.Params.checkPositive, s.Params.checkLimits, s.Params.checkTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks that each node has a unique name.
func (s *Settings) checkNames() error {
	seen := map[string]bool{s.Node: true}
	for i, peer := range s.Peers {
		if peer.Node == "" || seen[peer.Node] {
			return fmt.Errorf("siblings[%d].host_name: must be unique and not empty", i)
		}
		seen[peer.Node] = true
	}
	return nil
}

// checkAddress checks that an address has the form host:port.
func checkAddress(addr string) error {
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return fmt.Errorf("must be an address of the form host:port, is %q", addr)
	}
	return nil
}

// servicesPrefix is the TOML table of the external services. Two of these may have the same address.
const servicesPrefix = "outside."

// checkAddresses checks that no address is missing and that each address of a node is unique.
func (s *Settings) checkAddresses() error {
	addresses := []struct{ field, value string }{
		{"bind", s.Listen}, {"internal_addr", s.PeerListen},
		{servicesPrefix + "cloud", s.Services.Cloud}, {servicesPrefix + "state", s.Services.Store},
	}
	for i, peer := range s.Peers {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("siblings[%d].address", i), peer.Addr})
	}
	used := map[string]string{}
	for _, a := range addresses {
		if a.value == "" {
			return fmt.Errorf("%s: must not be empty", a.field)
		}
		if other := used[a.value]; other != "" && !strings.HasPrefix(a.field, servicesPrefix) {
			return fmt.Errorf("%s: must be unique, %q is also the value of %s", a.field, a.value, other)
		}
		used[a.value] = a.field
		if err := checkAddress(a.value); err != nil {
			return fmt.Errorf("%s: %w", a.field, err)
		}
	}
	return nil
}

// maxPositiveSetting is the upper bound of the settings that must be positive.
const maxPositiveSetting = 1e9

// Bounds of the node's own resource limits: no process runs with less, and a larger value is a typing error.
const (
	minCPUShare, maxCPUShare = 0.001, 1024
	minMemoryMB, maxMemoryMB = 8, 16 << 20
)

// checkPositive checks the settings that must be positive.
func (p *Params) checkPositive() error {
	fields := []positiveField{
		{"params.workers.report_s", p.Workers.HeartbeatIntervalS},
		{"params.workers.lease_s", p.Workers.LeaseS},
		{"params.workers.cancel_s", p.Workers.CancelDeadlineS},
		{"params.state.rps", p.Store.RPS},
		{"params.state.write_rps", p.Store.WriteRPS},
		{"params.state.value_kb", p.Store.ValueKB},
		{"params.state.txn_ops", float64(p.Store.TxnOps)},
		{"params.cloud.rps", p.Cloud.RPS},
		{"params.cloud.list_lag_s", p.Cloud.ListLagS},
		{"params.limits.max_connections", float64(p.Limits.MaxConnections)},
	}
	for _, f := range append(fields, p.Store.Next.positiveFields()...) {
		if !(f.value > 0) || f.value > maxPositiveSetting {
			return fmt.Errorf("%s: must be above 0 and at most %v, is %v", f.field, float64(maxPositiveSetting), f.value)
		}
	}
	return nil
}

// checkLimits checks the settings that have other bounds.
func (p *Params) checkLimits() error {
	if p.Store.TxnOps < minTxnOps {
		return fmt.Errorf("params.state.txn_ops: must be at least %d, is %d", minTxnOps, p.Store.TxnOps)
	}
	if n := p.Store.Next; n != nil && n.TxnOps != nil && *n.TxnOps < minTxnOps {
		return fmt.Errorf("params.state.next.txn_ops: must be at least %d, is %d", minTxnOps, *n.TxnOps)
	}
	for _, bounded := range []struct {
		field           string
		value, min, max float64
	}{
		{"params.limits.core_share", p.Limits.CPUShare, minCPUShare, maxCPUShare},
		{"params.limits.memory_mb", p.Limits.MemoryMB, minMemoryMB, maxMemoryMB},
	} {
		if !(bounded.value >= bounded.min && bounded.value <= bounded.max) {
			return fmt.Errorf("%s: must be from %v to %v, is %v", bounded.field, bounded.min, bounded.max, bounded.value)
		}
	}
	if p.ClockErrorMS < 0 {
		return fmt.Errorf("params.clock_error_ms: must not be negative, is %v", p.ClockErrorMS)
	}
	return nil
}

// checkTeams checks the teams' names, guaranteed quotas and limits.
func (p *Params) checkTeams() error {
	teams := map[string]bool{}
	for i, team := range p.Teams {
		if team.Name == "" || teams[team.Name] {
			return fmt.Errorf("params.teams[%d].name: must be unique and not empty", i)
		}
		teams[team.Name] = true
		if team.GuaranteedCPUs < 0 || team.MaxCPUs < 0 || team.GuaranteedGPUs < 0 || team.MaxGPUs < 0 {
			return fmt.Errorf("params.teams[%d]: cpus, cpus_max, gpus and gpus_max must not be negative", i)
		}
	}
	return nil
}
