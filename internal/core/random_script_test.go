package core_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// randomScript is a script that is made up from a source of random numbers. The order of the draws is part of what a
// seed means: it stays as it is, so that the seeds that once found a fault go on playing the same days.
type randomScript struct {
	text      strings.Builder
	random    *rand.Rand
	moments   []float64 // at which faults meet, in seconds
	greenGPUs int       // of team green's services that are not cancelled
}

// add adds a line.
func (d *randomScript) add(format string, args ...any) { fmt.Fprintf(&d.text, format+"\n", args...) }

// pick draws one of some words.
func (d *randomScript) pick(words ...string) string { return words[d.random.IntN(len(words))] }

// between draws a number with one decimal.
func (d *randomScript) between(low, high float64) float64 {
	return float64(int(10*(low+(high-low)*d.random.Float64()))) / 10
}

// near draws a time about one of the moments.
func (d *randomScript) near(low, high float64) float64 {
	return max(0.5, d.moments[d.random.IntN(len(d.moments))]+d.between(low, high))
}

// showTime shows a time in seconds as scripts have it.
func showTime(at float64) string { return fmt.Sprintf("%.1f", at) }

// randomDay makes up a script: two to four moments, at each of which a few faults meet, with
// jobs that begin, end and are cancelled about then.
func randomDay(seed uint64) string {
	d := &randomScript{random: rand.New(rand.NewPCG(seed, 2))}
	d.add("zones %s", d.pick("a=z1 b=z1 c=z1", "a=z1 b=z1 c=z2", "a=z1 b=z2 c=z2"))
	d.add("seed %d", seed)
	upgrade := rand.New(rand.NewPCG(seed, 4))
	d.add("upcoming_limits value_kb=1 txn_ops=4 write_rps=42")
	if upgraded := upgrade.IntN(2) == 0; upgraded {
		d.add("old_version")
		randomUpgrade(&d.text, upgrade)
	}
	d.add("%.1f enforce_limits", 10+100*upgrade.Float64())
	d.add("machines z1 z1 z2 z2%s", d.pick("", " z1-spot", " z2-spot"))
	for range 2 + d.random.IntN(3) {
		d.moments = append(d.moments, d.between(15, 85))
	}
	for i := range 14 {
		d.addJob(fmt.Sprintf("run-%06d", i+1))
	}
	for _, moment := range d.moments {
		for range 1 + d.random.IntN(4) {
			d.addFault(moment)
		}
	}
	randomPipelines(&d.text, seed, d.moments)
	randomShortages(&d.text, seed, d.moments)
	randomSuccessions(&d.text, seed)
	// The longest fault begins at 88 s and lasts 45 s; ten leaders may follow each other.
	d.add("faults_end 150")
	d.add("end 270")
	return d.text.String()
}

// addJob adds a job that is submitted about one of the moments, and perhaps cancelled.
func (d *randomScript) addJob(id string) {
	begin := d.near(-25, -0.5)
	if d.random.IntN(4) == 0 {
		begin = d.near(-0.5, 3)
	}
	cancelled := d.random.IntN(2) == 0
	spec := d.jobSpec(cancelled)
	d.add("%s submit %s %s", showTime(begin), id, spec)
	switch {
	case cancelled:
		at := d.near(-1, 4)
		if at < begin {
			at = begin + d.between(0.1, 30)
		}
		d.add("%s cancel %s", showTime(at), id)
	case !strings.Contains(spec, "service") && d.random.IntN(3) == 0:
		d.add("%s cancel_on_completion %s", showTime(begin), id)
	}
}

// jobSpec makes up the words of a job: services of team green, or job arrays.
func (d *randomScript) jobSpec(cancelled bool) string {
	switch d.random.IntN(7) {
	case 0, 1:
		return d.serviceSpec(cancelled)
	case 2:
		return fmt.Sprintf("tasks=%d gpus=1 team=green one_zone run=%g", 2+d.random.IntN(4), d.between(3, 60))
	case 3:
		return fmt.Sprintf("tasks=%d gpus=1 team=green spread run=%g", 2+d.random.IntN(4), d.between(3, 40))
	case 4:
		return fmt.Sprintf("tasks=%d gpus=2 team=red run=%g", 2+d.random.IntN(5), d.between(2, 25))
	case 5:
		return fmt.Sprintf("tasks=%d gpus=1 team=blue spot checkpoint_time=1 run=%g zone=%s", 1+d.random.IntN(6), d.between(3, 40), d.pick("z1", "z2"))
	default:
		return fmt.Sprintf("tasks=%d gpus=2 team=blue run=%g", 2+d.random.IntN(3), d.between(5, 60))
	}
}

// maxGreenGPUs is how many GPUs the services of team green that are not cancelled use at most, but for small ones: the
// day can end with all of them up.
const maxGreenGPUs = 14

// serviceSpec makes up the words of a service.
func (d *randomScript) serviceSpec(cancelled bool) string {
	replicas, gpus := 1+d.random.IntN(3), 1+d.random.IntN(3)
	if !cancelled {
		if d.greenGPUs+replicas*gpus > maxGreenGPUs {
			replicas, gpus = 1, 1
		}
		d.greenGPUs += replicas * gpus
	}
	spec := fmt.Sprintf("kind=service tasks=%d gpus=%d team=green priority=%s", replicas, gpus, d.pick("prod", "high"))
	if replicas > 1 {
		spec += d.pick("", "", " spread")
	}
	return spec
}

// randomFault is what the faults of a moment have in common.
type randomFault struct {
	moment float64
	at     string // shortly after the moment
	node   string
	worker int // by number among those that are up
}

// randomFaults make up the lines of a fault. One that is listed twice is as likely as two others.
var randomFaults = []func(d *randomScript, f randomFault){
	func(d *randomScript, f randomFault) {
		d.add("%s store_unavailable %s %g", f.at, f.node, d.between(2, 25))
	},
	(*randomScript).addOutageOfStore,
	(*randomScript).addCut,
	(*randomScript).addCut,
	func(d *randomScript, f randomFault) { d.add("%s kill %s %g", f.at, f.node, d.between(0.1, 6)) },
	func(d *randomScript, f randomFault) { d.add("%s kill all %g", f.at, d.between(0.1, 14)) },
	func(d *randomScript, f randomFault) { d.add("%s freeze %s %g", f.at, f.node, d.between(1, 12)) },
	func(d *randomScript, f randomFault) { d.add("%s store_outage %g", f.at, d.between(1, 45)) },
	func(d *randomScript, f randomFault) {
		d.add("%s store_delay %g %g", f.at, d.between(0.2, 3), d.between(5, 30))
	},
	func(d *randomScript, f randomFault) {
		d.add("%s delayed_transactions %g %g", f.at, d.between(0.1, 0.6), d.between(5, 30))
	},
	func(d *randomScript, f randomFault) {
		d.add("%s delayed_heartbeats %g %g", f.at, d.between(0.1, 0.8), d.between(5, 40))
	},
	(*randomScript).addLateCommands,
	(*randomScript).addLateCommands,
	func(d *randomScript, f randomFault) { d.add("%s partition_zones %g", f.at, d.between(5, 40)) },
	func(d *randomScript, f randomFault) {
		d.add("%s isolate_zone %s %g", f.at, d.pick("z1", "z2"), d.between(5, 40))
	},
	(*randomScript).addHangs,
	(*randomScript).addLostMachine,
	(*randomScript).addSuccession,
	(*randomScript).addCloudOutage,
}

// addFault adds a fault about a moment.
func (d *randomScript) addFault(moment float64) {
	at := showTime(moment + d.between(0, 3))
	node := d.pick("leader", "leader", "leader", "follower", "a", "b", "c")
	worker := d.random.IntN(8)
	add := randomFaults[d.random.IntN(len(randomFaults))]
	add(d, randomFault{moment, at, node, worker})
}

// addOutageOfStore has the key-value store refuse the leader, and soon after all nodes.
func (d *randomScript) addOutageOfStore(f randomFault) {
	d.add("%s store_unavailable leader %g", showTime(f.moment), d.between(4, 14))
	d.add("%s store_outage %g", showTime(f.moment+d.between(0.5, 2.5)), d.between(5, 45))
}

// addCut cuts a node off from some services.
func (d *randomScript) addCut(f randomFault) {
	services := d.pick("store", "store,peers", "store,peers", "peers", "workers", "store,peers,workers,users")
	d.add("%s isolate %s %s %g", f.at, f.node, services, d.between(3, 40))
}

// addLateCommands has direct commands come late.
func (d *randomScript) addLateCommands(f randomFault) {
	d.add("%s delayed_commands %g %g", f.at, d.between(0.2, 1), d.between(5, 40))
}

// addHangs has two workers hang.
func (d *randomScript) addHangs(f randomFault) {
	d.add("%s hang %d %g", f.at, f.worker, d.between(2, 14))
	d.add("%s hang %d %g", f.at, f.worker+1, d.between(2, 14))
}

// addLostMachine cuts a worker off in one direction, and ends another one's machine.
func (d *randomScript) addLostMachine(f randomFault) {
	d.add("%s %s %d %g", f.at, d.pick("drop_inbound", "drop_heartbeats"), f.worker, d.between(2, 25))
	d.add("%s %s %d", f.at, d.pick("stop_machine", "remove_machine", "reclaim"), f.worker+1)
}

// addSuccession kills one leader after the other.
func (d *randomScript) addSuccession(f randomFault) {
	interval := d.between(0.5, 12)
	for i := range 3 + d.random.IntN(8) {
		d.add("%s kill leader %g", showTime(f.moment+float64(i)*interval), d.between(0.1, 4))
	}
}

// addCloudOutage has the cloud refuse all requests, and users send invalid requests.
func (d *randomScript) addCloudOutage(f randomFault) {
	d.add("%s cloud_outage %g", f.at, d.between(3, 25))
	d.add("%s invalid_requests", f.at)
}

// randomUpgrade has the nodes come back with the new version, one after the other; on some days one of
// them late.
func randomUpgrade(b *strings.Builder, random *rand.Rand) {
	at := 5 + 40*random.Float64()
	for _, node := range []string{"a", "b", "c"} {
		fmt.Fprintf(b, "%.1f upgrade %s %.1f\n", at, node, 0.2+4*random.Float64())
		at += 1 + 10*random.Float64()
		if random.IntN(4) == 0 {
			at += 30
		}
	}
}

// randomShortages has nodes run short of processor time on every third day, around the moments of the other troubles.
// They draw from chance of their own, so that the rest of a day stays as it was.
func randomShortages(b *strings.Builder, seed uint64, moments []float64) {
	random := rand.New(rand.NewPCG(seed, 4))
	if random.IntN(3) > 0 {
		return
	}
	for _, moment := range moments {
		node := []string{"leader", "follower", "a", "b", "c", "all"}[random.IntN(6)]
		begin := max(0.5, moment-10*random.Float64())
		fmt.Fprintf(b, "%.1f overload_cpu %s %.0f %.1f\n", begin, node, 5+60*random.Float64(), 5+30*random.Float64())
	}
}

// successionTime is about how long it takes until the next leader knows all jobs: the old one's lease ends, others notice
// it, one wins and reads.
const successionTime = workerLease / 2

// randomSuccessions has the leader lose its term on every second day, in one of the ways in which that happens, while users
// cancel jobs that run and other troubles begin: all of it at any time until the next leader should know all jobs. The
// troubles last for less than a lease, less than a cancelled job may stay, or longer. They draw from chance of their own, so
// that the rest of a day stays as it was.
func randomSuccessions(b *strings.Builder, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	if random.IntN(2) > 0 {
		return
	}
	pick := func(xs ...string) string { return xs[random.IntN(len(xs))] }
	begin := 12 + 75*random.Float64()
	during := func() float64 { return begin + successionTime.Seconds()*random.Float64() }
	span := func() float64 {
		longest := []time.Duration{workerLease, cancellationLimit, cancellationLimit * 3 / 2}[random.IntN(3)]
		return longest.Seconds() * (0.5 + 0.5*random.Float64())
	}
	fmt.Fprintf(b, "%.2f %s\n", begin, pick("store_unavailable leader 14", "isolate leader store 14", "isolate leader store,peers 14", "kill leader 3", "freeze leader 6"))
	for range 1 + random.IntN(6) {
		fmt.Fprintf(b, "%.2f cancel_running\n", during())
	}
	for range 1 + random.IntN(2) {
		trouble := pick("store_outage", "store_outage", "store_unavailable follower", "isolate follower store,peers", "store_delay 2", "delayed_transactions 0.5", "partition_zones", "isolate_zone z1")
		fmt.Fprintf(b, "%.2f %s %.1f\n", during(), trouble, span())
	}
}

// randomPipelines makes up chains of jobs, each of which needs the one before it; of some a job is
// cancelled. They draw from chance of their own, so that the rest of a day stays as it was.
func randomPipelines(b *strings.Builder, seed uint64, moments []float64) {
	random := rand.New(rand.NewPCG(seed, 3))
	priorities := []string{"idle", "idle", "standard", "high"}
	for chain := 0; chain < 1+random.IntN(3); chain++ {
		begin := max(0.5, moments[random.IntN(len(moments))]-20*random.Float64())
		last := ""
		cancelled := random.IntN(2 * len(priorities))
		for stage, priority := range priorities {
			id := fmt.Sprintf("run-8%02d%03d", chain, stage)
			needs := ""
			if last != "" {
				needs = " depends_on=" + last
			}
			fmt.Fprintf(b, "%.1f submit %s tasks=%d gpus=0 team=green spot run=%.1f priority=%s%s\n",
				begin+0.3*float64(stage), id, 1+random.IntN(30), 1+10*random.Float64(), priority, needs)
			if stage == cancelled {
				fmt.Fprintf(b, "%.1f cancel %s\n", begin+2+30*random.Float64(), id)
			}
			last = id
		}
	}
}
