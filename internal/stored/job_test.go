package stored

import (
	"bitternwing/internal/wire"
	"strings"
	"testing"
)

// TestCancellationFits checks that a cancellation fits into a value although the job was accepted under a higher size
// limit. A cancellation rewrites the whole job.
func TestCancellationFits(t *testing.T) {
	long := strings.Repeat("x", 256)
	job := &wire.Job{ID: "run-000001", Class: long, Team: long, Kind: wire.KindArray, Tasks: 5, Image: long, Zone: long}
	for range 32 {
		job.MachineTypes = append(job.MachineTypes, long)
	}
	value, err := Job{Spec: job, AcceptedMS: 1, CancelledMS: 2}.EncodeWithin(2048)
	if err != nil || len(value) > 2048 {
		t.Fatalf("encoded to %d bytes, want at most 2048; error %v", len(value), err)
	}
	read, err := DecodeJob(value)
	if err != nil || read.CancelledMS != 2 || read.Spec.Tasks != 5 || read.Spec.Team != long {
		t.Errorf("decoded as %+v", read)
	}
	if len(job.MachineTypes) != 32 {
		t.Error("EncodeWithin modified the job")
	}
}
