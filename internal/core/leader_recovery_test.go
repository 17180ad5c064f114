package core

import (
	"fmt"
	"testing"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// nextRecordsPage returns the request for a page of run records among effects; nil if there is none.
func nextRecordsPage(effects []Effect) *StoreList {
	for _, effect := range effects {
		if list, ok := effect.(StoreList); ok && list.Prefix == stored.RunRecordPrefix {
			return &list
		}
	}
	return nil
}

// TestRecordReadResumesAfterFailedPage checks that the recovery resumes at a page whose read failed. The first read of
// every other page fails. Each page must be read successfully exactly once, and no record may be missing.
func TestRecordReadResumesAfterFailedPage(t *testing.T) {
	const pages = 6
	c := newIdleCore()
	c.leader = newLeader(c, 1, 1)
	failed, read := map[string]bool{}, map[string]int{}
	for step := 0; !c.leader.recovery.recordsRead && step < 4*pages; step++ {
		list := nextRecordsPage(c.Step(Time{Steady: c.now.Steady + c.times.retryPause}, Tick{}))
		for list != nil {
			page := len(read)
			if page%2 == 1 && !failed[list.After] {
				failed[list.After] = true
				list = nextRecordsPage(c.Step(c.now, Result{CallID: list.CallID, Outcome: outcome.Unknown}))
				continue
			}
			read[list.After]++
			items := []wire.Item{{Key: fmt.Sprintf("%srun-%06d/0", stored.RunRecordPrefix, page), Version: 1}}
			list = nextRecordsPage(c.Step(c.now, Result{CallID: list.CallID, Outcome: outcome.OK, Page: wire.Page{Items: items, More: page+1 < pages}}))
		}
	}
	if !c.leader.recovery.recordsRead || len(c.leader.recovery.records) != pages || len(read) != pages {
		t.Errorf("got %d records from %d pages, recordsRead = %v; want one record from each page, and true", len(c.leader.recovery.records), len(read), c.leader.recovery.recordsRead)
	}
	for after, reads := range read {
		if reads != 1 {
			t.Errorf("page after %q: got %d reads, want 1", after, reads)
		}
	}
}
