package core_test

import (
	"fmt"
	"testing"
)

// lateCopyCase is a way in which an attempt ends, or in which the leader or a worker changes, while copies of all
// executed starts arrive late, at every moment.
type lateCopyCase struct {
	name, script string
	// heldUp is set if the original commands are held up, and arrive late too.
	heldUp bool
	// wantOtherIncarnation is set if copies must have been refused because they are for an earlier incarnation.
	wantOtherIncarnation bool
}

// lateCopyCases are the cases of TestLateCopiesOfStarts. Each begins with two machines and copies from 2 s on.
var lateCopyCases = []lateCopyCase{
	{name: "done", script: `
		5 submit run-000001 tasks=6 gpus=2 run=3
		12 submit run-000002 tasks=6 gpus=2 run=3`},
	{name: "failed", script: `
		5 submit run-000001 tasks=4 gpus=2 run=3
		5 fail_tasks m01 4
		14 submit run-000002 tasks=2 gpus=2 run=3 faulty
		40 cancel run-000002`},
	{name: "refused", script: `
		5 submit run-000001 tasks=4 gpus=2 run=3
		12 refuse_starts m01 4
		12 submit run-000002 tasks=4 gpus=2 run=3
		12 submit run-000003 kind=service tasks=2 gpus=2`},
	{name: "cancelled", script: `
		5 submit run-000001 kind=service tasks=3 gpus=2
		5.5 submit run-000002 tasks=4 gpus=1 run=30
		15 cancel run-000001
		15 cancel run-000002`},
	{name: "cancelled while images are fetched", script: `
		5 submit run-000001 tasks=1 gpus=2 run=1
		12 submit run-000002 kind=service tasks=3 gpus=2
		12.5 submit run-000003 tasks=8 gpus=1 run=10
		13 cancel run-000002
		13 cancel run-000003`},
	{name: "preempted", script: `
		machines_per_zone 1
		5 submit run-000001 tasks=16 gpus=1 team=guest priority=idle run=20
		15 submit run-000002 kind=service tasks=2 gpus=4 team=green priority=prod
		40 cancel run-000002`},
	{name: "drained and moved", script: `
		5 submit run-000001 tasks=8 gpus=1 checkpoint_time=1 run=30
		5 submit run-000002 kind=service tasks=2 gpus=2
		15 reclaim m01`},
	{name: "successor", script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		6 submit run-000002 kind=service tasks=2 gpus=2
		9 kill leader 20
		14 cancel run-000002`},
	{name: "leaders change within a second", script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		6 submit run-000002 kind=service tasks=2 gpus=2
		8 kill leader 0.2
		11 kill leader 0.2
		14 kill all 0.3
		16 cancel run-000002`},
	{name: "leader cut off from the store", script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		6 submit run-000002 kind=service tasks=2 gpus=2
		8 isolate leader store,peers 15
		12 cancel run-000002`},
	{name: "resumed within the lease", script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		8 hang m01 0.5
		9 submit run-000002 tasks=12 gpus=1 run=6
		10 hang m02 4
		16 submit run-000003 tasks=8 gpus=1 run=6
		17 hang m01 4
		18 kill leader 0.3`},
	{name: "hung, lost its lease", wantOtherIncarnation: true, script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		5 submit run-000002 kind=service tasks=2 gpus=2
		10 submit run-000003 tasks=6 gpus=1 run=2
		12 cloud_outage 30
		15 hang m01 13
		15 hang m02 13`},
	{name: "lost its lease, left the list and reports again", wantOtherIncarnation: true, script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		5 submit run-000002 kind=service tasks=2 gpus=2
		10 submit run-000003 tasks=6 gpus=1 run=2
		14 refuse_releases 40
		15 drop_inbound m01 18
		15 drop_heartbeats m01 18
		26 unlist m01 20
		35 submit run-000004 tasks=6 gpus=1 run=2
		60 kill leader 0.5`},
	{name: "restarted within a second", wantOtherIncarnation: true, script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		5 submit run-000002 kind=service tasks=2 gpus=2
		8 restart_worker m01 0.5
		9 kill leader 0.3
		10 restart_worker m02 0.5`},
	{name: "held up", heldUp: true, script: `
		5 submit run-000001 tasks=2 gpus=1 run=1
		12 hold_commands m01 5
		12 hold_commands m02 1
		12.1 submit run-000002 tasks=10 gpus=1 run=10`},
	{name: "held up by a machine that receives nothing", heldUp: true, script: `
		5 submit run-000001 tasks=2 gpus=1 run=1
		12 hold_commands m01 2
		12.1 submit run-000002 tasks=8 gpus=1 run=10
		12.9 drop_inbound m01 1`},
	{name: "held up, then cancelled", heldUp: true, script: `
		5 submit run-000001 tasks=2 gpus=1 run=1
		12 hold_commands m01 4
		12 hold_commands m02 4
		12.1 submit run-000002 kind=service tasks=2 gpus=2
		12.1 submit run-000003 tasks=6 gpus=1 run=10
		12.1 drop_inbound m01 3.9
		12.4 cancel run-000002
		14.5 cancel run-000003`},
	{name: "held up, then a successor", heldUp: true, script: `
		5 submit run-000001 tasks=2 gpus=1 run=1
		8 delayed_heartbeats 1 4
		12 hold_commands m01 6
		12.1 submit run-000002 tasks=8 gpus=1 run=10
		12.2 drop_inbound m01 5.8
		12.3 kill leader 0.2`},
	{name: "held up beyond the end of the worker's lease", heldUp: true, wantOtherIncarnation: true, script: `
		5 submit run-000001 tasks=2 gpus=1 run=1
		11 cloud_outage 30
		12 hold_commands m01 2
		12 hold_commands m02 2
		12.1 submit run-000002 kind=service tasks=2 gpus=2
		12.1 submit run-000003 tasks=6 gpus=1 run=10
		14.5 hang m01 13
		14.5 hang m02 13`},
	// The protocol does not say that a worker loses its incarnation and its fencing token. If it does, nothing protects
	// it from copies until its first response. Copies arrive from then on.
	{name: "restarted within a second without its state", script: `
		5 submit run-000001 tasks=12 gpus=1 run=6
		5 submit run-000002 kind=service tasks=2 gpus=2
		8 restart_worker_anew m01 0.5
		20 submit run-000003 tasks=6 gpus=1 run=6
		26 restart_worker_anew m02 0.5
		30 kill leader 0.3`},
	{name: "failed, unforgotten, restarted without its state", script: `
		5 submit run-000001 tasks=2 gpus=1 run=1
		12 fail_tasks m01 2
		12.2 submit run-000002 tasks=10 gpus=1 run=20
		12.9 drop_inbound m01 3
		15 restart_worker_anew m01 0.5`},
	{name: "lost its lease, then restarted without its state", wantOtherIncarnation: true, script: `
		5 submit run-000001 tasks=2 gpus=1 run=1
		12 submit run-000002 tasks=4 gpus=1 run=60
		12.5 submit run-000003 tasks=4 gpus=1 run=60 zone=z2
		13 cloud_outage 40
		14 hang m01 11.5
		27 restart_worker_anew m01 0.5`},
}

// lateCopySeeds is the number of seeds with which each case of TestLateCopiesOfStarts runs.
const lateCopySeeds = 6

// TestLateCopiesOfStarts checks that no late copy of a start command, which was carried out and answered before, starts
// a task, whatever has happened to the task, the leader and the worker in between.
func TestLateCopiesOfStarts(t *testing.T) {
	for _, test := range lateCopyCases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var copies copyOutcomes
			for seed := range lateCopySeeds {
				s, violations := runScript(t, fmt.Sprintf("zones a=z1 b=z1 c=z2\nseed %d\nimmediate_responses\nmachines z1 z2\n2 copied_commands 120\n%s\nfaults_end 70\nend 150", seed+1, test.script))
				for _, violation := range violations {
					t.Errorf("seed %d: %s", seed+1, violation)
				}
				copies.lowerToken += s.copies.lowerToken
				copies.otherIncarnation += s.copies.otherIncarnation
				copies.attemptHeld += s.copies.attemptHeld
				copies.repeatedStarts += s.copies.repeatedStarts
			}
			t.Logf("copies: %+v", copies)
			if copies.lowerToken == 0 || copies.attemptHeld == 0 && !test.heldUp || test.wantOtherIncarnation && copies.otherIncarnation == 0 {
				t.Errorf("copies were not refused for each of the expected reasons: %+v", copies)
			}
		})
	}
}
