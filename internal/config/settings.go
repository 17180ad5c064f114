// Package config reads the settings file that the platform hands over (TOML) and
// the operators' own settings (JSON, checked against a published schema).
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Fields that are not named here are ignored.
type Settings struct {
	Node       string    `toml:"host_name"`
	Zone       string    `toml:"domain"`
	Listen     string    `toml:"bind"`
	PeerListen string    `toml:"internal_addr"`
	Peers      []Peer    `toml:"siblings"`
	Services   Services  `toml:"outside"`
	Params     Params    `toml:"params"`
	Operator   *Operator `toml:"-"`
}

// Peer is another controller node.
type Peer struct {
	Node string `toml:"host_name"`
	Zone string `toml:"domain"`
	Addr string `toml:"address"`
}

// Services are the addresses of what the controllers use.
type Services struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Params describe the deployment.
type Params struct {
	Nodes        int         `toml:"initial_size"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	Store        Store       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Limits       Limits      `toml:"limits"`
}

// Team has a guarantee and a limit; a limit of 0 means there is none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective restates an aim.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers has the times of the workers' protocol.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`
	CancelS            float64 `toml:"cancel_s"`
}

// Store has the limits of the state service.
type Store struct {
	RPS      float64     `toml:"rps"`
	WriteRPS float64     `toml:"write_rps"`
	ValueKB  float64     `toml:"value_kb"`
	TxnOps   int         `toml:"txn_ops"`
	Next     *NextLimits `toml:"next"`
}

// NextLimits are limits that the state service will have from some moment on. Those that are absent
// stay as they are.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// StoreLimits are limits of the state service, all of them.
type StoreLimits struct {
	RPS      float64
	WriteRPS float64
	ValueKB  float64
	TxnOps   int
}

// Within gives the tighter of the present limits and those to come, each by itself.
func (n *NextLimits) Within(s Store) StoreLimits {
	l := StoreLimits{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	if n == nil {
		return l
	}
	l.RPS = tighter(l.RPS, n.RPS)
	l.WriteRPS = tighter(l.WriteRPS, n.WriteRPS)
	l.ValueKB = tighter(l.ValueKB, n.ValueKB)
	l.TxnOps = tighter(l.TxnOps, n.TxnOps)
	return l
}

func tighter[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// Cloud has the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits are what the node itself may use.
type Limits struct {
	CPUShare       float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// FailureCheckInterval is how often nodes look at what may fail, and how long a call may take: a tenth
// of the workers' lease.
func FailureCheckInterval(w Workers) time.Duration { return Seconds(w.LeaseS / 10) }

// Load reads and checks the platform's file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks the text of the platform's file.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(data, s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			key := ""
			for i, k := range de.Key() {
				if i > 0 {
					key += "."
				}
				key += k
			}
			return nil, fmt.Errorf("line %d: %s: %s", row, key, de.Error())
		}
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Operator = DefaultOperator()
	return s, nil
}

// minTxnOps is the least number of changes in a transaction that the program can work with.
const minTxnOps = 4

// positiveField is a setting that must be above 0.
type positiveField struct {
	field string
	value float64
}

// positiveFields gives those of the limits to come that are there.
func (n *NextLimits) positiveFields() []positiveField {
	if n == nil {
		return nil
	}
	var fields []positiveField
	add := func(name string, v *float64) {
		if v != nil {
			fields = append(fields, positiveField{"params.state.next." + name, *v})
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

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("host_name: is missing")
	}
	for _, step := range []func() error{s.checkNames, s.checkAddresses, s.Params.checkPositive, s.Params.checkLimits, s.Params.checkTeams} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks that the nodes have names, each its own.
func (s *Settings) checkNames() error {
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Peers {
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("siblings[%d].host_name: is missing or used twice", i)
		}
		seen[p.Node] = true
	}
	return nil
}

// checkAddress checks the form of an address.
func checkAddress(addr string) error {
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return fmt.Errorf("%q is no address of the form host:port", addr)
	}
	return nil
}

// servicesTable is the table of the addresses of other services, of which two may be the same.
const servicesTable = "outside."

// checkAddresses checks that all addresses are there and that no two nodes share one.
func (s *Settings) checkAddresses() error {
	addresses := []struct{ field, value string }{
		{"bind", s.Listen}, {"internal_addr", s.PeerListen},
		{servicesTable + "cloud", s.Services.Cloud}, {servicesTable + "state", s.Services.Store},
	}
	for i, p := range s.Peers {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("siblings[%d].address", i), p.Addr})
	}
	used := map[string]string{}
	for _, a := range addresses {
		if a.value == "" {
			return fmt.Errorf("%s: is missing", a.field)
		}
		if other := used[a.value]; other != "" && !strings.HasPrefix(a.field, servicesTable) {
			return fmt.Errorf("%s: %q is %s already", a.field, a.value, other)
		}
		used[a.value] = a.field
		if err := checkAddress(a.value); err != nil {
			return fmt.Errorf("%s: %w", a.field, err)
		}
	}
	return nil
}

// maxSetting bounds the settings that must be above 0.
const maxSetting = 1e9

// What a node may be allowed: less than the least runs no process, more than the most is a slip.
const (
	minCPUShare, maxCPUShare = 0.001, 1024
	minMemoryMB, maxMemoryMB = 8, 16 << 20
)

// checkPositive checks the settings that must be above 0.
func (p *Params) checkPositive() error {
	fields := []positiveField{
		{"params.workers.report_s", p.Workers.HeartbeatIntervalS},
		{"params.workers.lease_s", p.Workers.LeaseS},
		{"params.workers.cancel_s", p.Workers.CancelS},
		{"params.state.rps", p.Store.RPS},
		{"params.state.write_rps", p.Store.WriteRPS},
		{"params.state.value_kb", p.Store.ValueKB},
		{"params.state.txn_ops", float64(p.Store.TxnOps)},
		{"params.cloud.rps", p.Cloud.RPS},
		{"params.cloud.list_lag_s", p.Cloud.ListLagS},
		{"params.limits.max_connections", float64(p.Limits.MaxConnections)},
	}
	for _, f := range append(fields, p.Store.Next.positiveFields()...) {
		if !(f.value > 0) || f.value > maxSetting {
			return fmt.Errorf("%s: must be above 0 and at most %v, is %v", f.field, float64(maxSetting), f.value)
		}
	}
	return nil
}

// checkLimits checks what is bounded otherwise.
func (p *Params) checkLimits() error {
	if p.Store.TxnOps < minTxnOps {
		return fmt.Errorf("params.state.txn_ops: must be at least %d, is %d", minTxnOps, p.Store.TxnOps)
	}
	if n := p.Store.Next; n != nil && n.TxnOps != nil && *n.TxnOps < minTxnOps {
		return fmt.Errorf("params.state.next.txn_ops: must be at least %d, is %d", minTxnOps, *n.TxnOps)
	}
	for _, bounded := range []struct {
		field          string
		v, least, most float64
	}{
		{"params.limits.core_share", p.Limits.CPUShare, minCPUShare, maxCPUShare},
		{"params.limits.memory_mb", p.Limits.MemoryMB, minMemoryMB, maxMemoryMB},
	} {
		if !(bounded.v >= bounded.least && bounded.v <= bounded.most) {
			return fmt.Errorf("%s: must be from %v to %v, is %v", bounded.field, bounded.least, bounded.most, bounded.v)
		}
	}
	if p.ClockErrorMS < 0 {
		return fmt.Errorf("params.clock_error_ms: must not be negative, is %v", p.ClockErrorMS)
	}
	return nil
}

// checkTeams checks the teams' names and amounts.
func (p *Params) checkTeams() error {
	teams := map[string]bool{}
	for i, t := range p.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("params.teams[%d].name: is missing or used twice", i)
		}
		teams[t.Name] = true
		if t.GuaranteedCPUs < 0 || t.MaxCPUs < 0 || t.GuaranteedGPUs < 0 || t.MaxGPUs < 0 {
			return fmt.Errorf("params.teams[%d]: amounts must not be negative", i)
		}
	}
	return nil
}
