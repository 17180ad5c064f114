// Package metrics counts the inputs, requests and calls of a node and serves the counts in the Prometheus text format.
// If a separate setting enables it, the package also serves profiles of the process. It must not change what the node
// does. Labels are kinds of messages, services and outcomes; they never contain teams, jobs, images or users.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"bitternwing/internal/core"
)

// namespace is the prefix of the names of a node's metrics.
const namespace = "bitternwing"

// Service is the label of a service that a node calls.
type Service string

// The services.
const (
	Store   Service = "state"
	Cloud   Service = "cloud"
	Worker  Service = "worker"
	Peer    Service = "peer"
	Replica Service = "replica"
	Region  Service = "region"
)

// Recorder counts the inputs, requests and calls of a node. A nil Recorder counts nothing.
type Recorder struct {
	registry    *prometheus.Registry
	inputs      *prometheus.CounterVec
	stepSeconds *prometheus.CounterVec
	phaseTime   *prometheus.CounterVec
	slowSteps   prometheus.Counter
	requests    *prometheus.CounterVec
	calls       *prometheus.CounterVec
}

// New creates a recorder. It calls readStatus at each scrape.
func New(readStatus func() core.Status) *Recorder {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	r := &Recorder{
		registry:    prometheus.NewRegistry(),
		inputs:      counter("core_inputs_total", "Inputs that the core handled, by kind.", "kind"),
		stepSeconds: counter("core_step_seconds_total", "Time that the core spent handling inputs, by kind.", "kind"),
		phaseTime:   counter("core_phase_seconds_total", "Time that the core spent in each phase of its steps.", "phase"),
		slowSteps: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "core_slow_steps_total",
			Help: "Steps of the core that took longer than a quarter of a check interval."}),
		requests: counter("http_requests_total", "HTTP requests that got a response, by endpoint and status code.", "endpoint", "code"),
		calls:    counter("calls_total", "Calls to other services, by service, operation and outcome.", "service", "operation", "outcome"),
	}
	r.registry.MustRegister(r.inputs, r.stepSeconds, r.phaseTime, r.slowSteps, r.requests, r.calls, newStatusCollector(readStatus),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Input counts an input of the core and the duration of its step.
func (r *Recorder) Input(kind string, stepTime time.Duration) {
	if r == nil {
		return
	}
	r.inputs.WithLabelValues(kind).Inc()
	r.stepSeconds.WithLabelValues(kind).Add(stepTime.Seconds())
}

// Phase adds to the time spent in a phase of the core's steps.
func (r *Recorder) Phase(phase string, spent time.Duration) {
	if r != nil {
		r.phaseTime.WithLabelValues(phase).Add(spent.Seconds())
	}
}

// SlowStep counts a step that took too long.
func (r *Recorder) SlowStep() {
	if r != nil {
		r.slowSteps.Inc()
	}
}

// Request counts a request by endpoint and response status.
func (r *Recorder) Request(endpoint string, status int) {
	if r == nil {
		return
	}
	r.requests.WithLabelValues(endpoint, strconv.Itoa(status)).Inc()
}

// Call counts a completed call.
func (r *Recorder) Call(service Service, operation, outcome string) {
	if r == nil {
		return
	}
	r.calls.WithLabelValues(string(service), operation, outcome).Inc()
}

// statusMetric is a metric whose value is read from a node's status.
type statusMetric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(core.Status) float64
}

// leaseBasisCounter is a counter in a node's status, with a value for each basis on which leases are renewed.
type leaseBasisCounter struct {
	desc   *prometheus.Desc
	values func(core.Status) [core.LeaseBasisCount]uint64
}

// statusCollector exports a node's status as metrics.
type statusCollector struct {
	readStatus    func() core.Status
	metrics       []statusMetric
	leaseCounters []leaseBasisCounter
}

// newStatusCollector creates a collector that calls readStatus at each scrape.
func newStatusCollector(readStatus func() core.Status) *statusCollector {
	c := &statusCollector{readStatus: readStatus}
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	gauge := func(name, help string, value func(core.Status) float64) {
		c.metrics = append(c.metrics, statusMetric{desc(name, help), prometheus.GaugeValue, value})
	}
	counterByBasis := func(name, help string, values func(core.Status) [core.LeaseBasisCount]uint64) {
		c.leaseCounters = append(c.leaseCounters, leaseBasisCounter{desc(name, help, "basis"), values})
	}
	gauge("leading", "1 while this node leads.", func(status core.Status) float64 { return boolToFloat(status.Leading) })
	gauge("load_ratio", "How short of CPU time this node is, from 0 (it keeps up) to 1 (overloaded).", func(status core.Status) float64 { return status.Load })
	gauge("held_answers", "Responses to heartbeats that are currently held back.", func(status core.Status) float64 { return float64(status.HeldResponses) })
	gauge("machines", "Machines that this node manages as the leader; 0 while it does not lead.", func(status core.Status) float64 { return float64(status.Machines) })
	gauge("queued_jobs", "Jobs in the queue of this leader; 0 while it does not lead.", func(status core.Status) float64 { return float64(status.Size.Queued) })
	gauge("unplaced_tasks", "Tasks of queued jobs that are neither done nor placed; 0 while this node does not lead.",
		func(status core.Status) float64 { return float64(status.Size.Unplaced) })
	gauge("term", "Newest leadership term that this node knows.", func(status core.Status) float64 { return float64(status.Term) })
	gauge("leader_entitled", "1 while this node leads and has the authority to act as the leader.", func(status core.Status) float64 { return boolToFloat(status.HasAuthority) })
	gauge("leader_unread_seconds", "How long this node has led without having recovered the stored state; 0 once it has, or while it does not lead.",
		func(status core.Status) float64 { return status.Recovering.Seconds() })
	gauge("read_revision", "Revision of the key-value store up to which this node has read the changes of jobs.",
		func(status core.Status) float64 { return float64(status.Revision) })
	gauge("state_served", "1 while the key-value store serves this node.", func(status core.Status) float64 { return boolToFloat(!status.StoreDown) })
	c.metrics = append(c.metrics, statusMetric{desc("terms_led_total", "Terms in which this process has led."), prometheus.CounterValue,
		func(status core.Status) float64 { return float64(status.TermsLed) }})
	counterByBasis("lease_renewals_total", "Responses to heartbeats that renewed a worker's lease, by the basis on which this node may respond.",
		func(status core.Status) [core.LeaseBasisCount]uint64 { return status.LeaseRenewals })
	counterByBasis("cancelled_stops_total", "Stop commands for tasks of cancelled jobs in responses that renewed a worker's lease, by the same basis.",
		func(status core.Status) [core.LeaseBasisCount]uint64 { return status.CancelledStops })
	return c
}

// Describe implements prometheus.Collector.
func (c *statusCollector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c *statusCollector) Collect(metrics chan<- prometheus.Metric) {
	s := c.readStatus()
	for _, m := range c.metrics {
		metrics <- prometheus.MustNewConstMetric(m.desc, m.kind, m.value(s))
	}
	for _, counter := range c.leaseCounters {
		for basis, value := range counter.values(s) {
			metrics <- prometheus.MustNewConstMetric(counter.desc, prometheus.CounterValue, float64(value), core.LeaseBasis(basis).String())
		}
	}
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
