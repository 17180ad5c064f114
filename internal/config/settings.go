// Package config holds the settings of a node: the file that the platform hands over (TOML) and the operators' own settings
// (JSON, checked against a published schema). It reads and validates them, and has no defaults for the platform's file. Tags
// hold the names of the platform's fields; the Go names are those of the field.
package config

import "time"

// Settings is the platform's settings file. Fields that have no Go field here are ignored.
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

// Services are the addresses of the services that the controllers call.
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

// Team has a guaranteed quota and a limit; a limit of 0 means there is none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is a service-level objective.
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

// Store has the limits of the key-value store.
type Store struct {
	RPS      float64     `toml:"rps"`
	WriteRPS float64     `toml:"write_rps"`
	ValueKB  float64     `toml:"value_kb"`
	TxnOps   int         `toml:"txn_ops"`
	Next     *NextLimits `toml:"next"`
}

// NextLimits are limits that the key-value store will have from some moment on. Those that are absent
// stay as they are.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// StoreLimits are the limits of the key-value store, without those to come.
type StoreLimits struct {
	RPS      float64
	WriteRPS float64
	ValueKB  float64
	TxnOps   int
}

// Within gives the tighter of the present limits and those to come, each by itself.
func (n *NextLimits) Within(store Store) StoreLimits {
	l := StoreLimits{RPS: store.RPS, WriteRPS: store.WriteRPS, ValueKB: store.ValueKB, TxnOps: store.TxnOps}
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

// Limits bound the resources that the node itself may use.
type Limits struct {
	CPUShare       float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Seconds turns a number of seconds into a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// FailureCheckInterval is how often nodes check for failures, and how long a call may take: a tenth
// of the workers' lease.
func FailureCheckInterval(workers Workers) time.Duration { return Seconds(workers.LeaseS / 10) }
