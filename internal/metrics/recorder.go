// Package metrics counts the inputs, requests and calls of a node and serves the counts in Prometheus' text form, with
// profiles of the process behind a setting of their own. It may not change what the node does. Labels name kinds of
// messages, services and outcomes; nothing in them tells of teams, jobs, images or users.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"bitternwing/internal/core"
)

// namespace begins the names of all metrics of a node.
const namespace = "bitternwing"

// Service names what a node makes calls to.
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

// Recorder counts what a node does. A nil Recorder counts nothing.
type Recorder struct {
	registry *prometheus.Registry
	inputs   *prometheus.CounterVec
	steps    *prometheus.CounterVec
	requests *prometheus.CounterVec
	calls    *prometheus.CounterVec
}

// New makes a recorder; status is read at each scrape.
func New(status func() core.Status) *Recorder {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	r := &Recorder{
		registry: prometheus.NewRegistry(),
		inputs:   counter("core_inputs_total", "Inputs that the core took, by kind.", "kind"),
		steps:    counter("core_step_seconds_total", "Time in which the core took inputs, by kind.", "kind"),
		requests: counter("http_requests_total", "Requests that were answered, by endpoint and status.", "endpoint", "code"),
		calls:    counter("calls_total", "Calls to other services, by operation and outcome.", "service", "operation", "outcome"),
	}
	r.registry.MustRegister(r.inputs, r.steps, r.requests, r.calls, newStatusCollector(status),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Input counts an input of the core and how long the step took.
func (r *Recorder) Input(kind string, took time.Duration) {
	if r == nil {
		return
	}
	r.inputs.WithLabelValues(kind).Inc()
	r.steps.WithLabelValues(kind).Add(took.Seconds())
}

// Request counts a request with its status.
func (r *Recorder) Request(endpoint string, status int) {
	if r == nil {
		return
	}
	r.requests.WithLabelValues(endpoint, strconv.Itoa(status)).Inc()
}

// Call counts a call that has ended.
func (r *Recorder) Call(service Service, operation, outcome string) {
	if r == nil {
		return
	}
	r.calls.WithLabelValues(string(service), operation, outcome).Inc()
}

// statusMetric is a metric that is read off a node's status.
type statusMetric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(core.Status) float64
}

// basisCounter is a counter in a node's status for each basis on which leases are renewed.
type basisCounter struct {
	desc   *prometheus.Desc
	values func(core.Status) [core.LeaseBasisCount]uint64
}

// statusCollector gives a node's status as metrics.
type statusCollector struct {
	status   func() core.Status
	metrics  []statusMetric
	counters []basisCounter
}

func newStatusCollector(readStatus func() core.Status) *statusCollector {
	c := &statusCollector{status: readStatus}
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	gauge := func(name, help string, value func(core.Status) float64) {
		c.metrics = append(c.metrics, statusMetric{desc(name, help), prometheus.GaugeValue, value})
	}
	byBasis := func(name, help string, values func(core.Status) [core.LeaseBasisCount]uint64) {
		c.counters = append(c.counters, basisCounter{desc(name, help, "basis"), values})
	}
	gauge("leading", "1 while this node leads.", func(status core.Status) float64 { return oneIf(status.Leading) })
	gauge("load_ratio", "How short of processor time this node is: 0 it keeps up, 1 it is overloaded.", func(status core.Status) float64 { return status.Load })
	gauge("held_answers", "Answers to reports that are held back now.", func(status core.Status) float64 { return float64(status.HeldResponses) })
	gauge("machines", "Machines that this node looks after; 0 while it does not lead.", func(status core.Status) float64 { return float64(status.Machines) })
	gauge("term", "Newest term that this node knows.", func(status core.Status) float64 { return float64(status.Term) })
	gauge("leader_entitled", "1 while this node leads and may act for the controllers.", func(status core.Status) float64 { return oneIf(status.HasAuthority) })
	gauge("leader_unread_seconds", "How long this node has led without the records; 0 once it has read them.",
		func(status core.Status) float64 { return status.Recovering.Seconds() })
	gauge("read_revision", "Revision of the state service up to which this node has read the changes of jobs.",
		func(status core.Status) float64 { return float64(status.Revision) })
	gauge("state_served", "1 while the state service serves this node.", func(status core.Status) float64 { return oneIf(!status.StoreDown) })
	c.metrics = append(c.metrics, statusMetric{desc("terms_led_total", "Terms that this process has led."), prometheus.CounterValue,
		func(status core.Status) float64 { return float64(status.TermsLed) }})
	byBasis("lease_renewals_total", "Answers to reports that renewed a worker's lease, by why this node may answer.",
		func(status core.Status) [core.LeaseBasisCount]uint64 { return status.LeaseRenewals })
	byBasis("cancelled_stops_total", "Stops of tasks of cancelled jobs in such answers, by the same.",
		func(status core.Status) [core.LeaseBasisCount]uint64 { return status.CancelledStops })
	return c
}

// Describe implements prometheus.Collector.
func (c *statusCollector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c *statusCollector) Collect(metrics chan<- prometheus.Metric) {
	s := c.status()
	for _, m := range c.metrics {
		metrics <- prometheus.MustNewConstMetric(m.desc, m.kind, m.value(s))
	}
	for _, counter := range c.counters {
		for basis, value := range counter.values(s) {
			metrics <- prometheus.MustNewConstMetric(counter.desc, prometheus.CounterValue, float64(value), core.LeaseBasis(basis).String())
		}
	}
}

// oneIf gives 1 for true, and 0 for false.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
