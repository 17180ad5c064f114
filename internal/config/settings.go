// Package config reads and validates the settings of a node. They come from two files: the platform's settings file
// (TOML), which has no defaults, and the optional operator settings (JSON), which are checked against a published
// schema. Some Go fields have other names than their keys in the files; the keys are in the struct tags.
package config

import "time"

// Settings are the settings of a node. Keys of the platform's settings file that have no Go field are ignored.
type Settings struct {
	Node string `toml:"host_name"`
	Zone string `toml:"domain"`
	// Listen is the public address, for users and workers.
	Listen string `toml:"bind"`
	// PeerListen is the internal address, for other controllers, operators and routers.
	PeerListen string   `toml:"internal_addr"`
	Peers      []Peer   `toml:"siblings"`
	Services   Services `toml:"outside"`
	Params     Params   `toml:"params"`
	// Operator comes from the file of operator settings, or has the defaults.
	Operator *OperatorSettings `toml:"-"`
}

// Peer is another controller node.
type Peer struct {
	Node string `toml:"host_name"`
	Zone string `toml:"domain"`
	Addr string `toml:"address"`
}

// Services are the addresses of the services that the controllers call.
type Services struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Params describes the deployment that the node is part of.
type Params struct {
	Nodes        int           `toml:"initial_size"`
	Zones        []string      `toml:"zones"`
	ClockErrorMS float64       `toml:"clock_error_ms"`
	Teams        []Team        `toml:"teams"`
	Objectives   []Objective   `toml:"objectives"`
	Workers      Workers       `toml:"workers"`
	Store        Store         `toml:"state"`
	Cloud        Cloud         `toml:"cloud"`
	Limits       ProcessLimits `toml:"limits"`
}

// Team is a team with its guaranteed quota and its limit. A limit of 0 means that there is no limit.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for the jobs of a class.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers has the intervals and time limits of the worker protocol.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`
	CancelDeadlineS    float64 `toml:"cancel_s"`
}

// Store has the limits of the key-value store.
type Store struct {
	RPS      float64         `toml:"rps"`
	WriteRPS float64         `toml:"write_rps"`
	ValueKB  float64         `toml:"value_kb"`
	TxnOps   int             `toml:"txn_ops"`
	Next     *UpcomingLimits `toml:"next"`
}

// UpcomingLimits are limits of the key-value store that will take effect at a later time. A limit that is nil does not
// change.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// StoreLimits are the effective limits of the key-value store.
type StoreLimits struct {
	RPS      float64
	WriteRPS float64
	ValueKB  float64
	TxnOps   int
}

// Effective returns, for each limit, the lower of the current and the upcoming value, which may be used before and
// after the change.
func (n *UpcomingLimits) Effective(current Store) StoreLimits {
	effective := StoreLimits{RPS: current.RPS, WriteRPS: current.WriteRPS, ValueKB: current.ValueKB, TxnOps: current.TxnOps}
	if n == nil {
		return effective
	}
	effective.RPS = lower(effective.RPS, n.RPS)
	effective.WriteRPS = lower(effective.WriteRPS, n.WriteRPS)
	effective.ValueKB = lower(effective.ValueKB, n.ValueKB)
	effective.TxnOps = lower(effective.TxnOps, n.TxnOps)
	return effective
}

func lower[T int | float64](current T, upcoming *T) T {
	if upcoming == nil {
		return current
	}
	return min(current, *upcoming)
}

// Cloud has the limits of the cloud provider's API.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// ProcessLimits are the limits on the resources that the node itself may use.
type ProcessLimits struct {
	CPUShare       float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// FailureCheckInterval returns the interval at which nodes check for failures, which is also the time limit of a call:
// a tenth of the workers' lease.
func FailureCheckInterval(workers Workers) time.Duration { return Seconds(workers.LeaseS / 10) }
