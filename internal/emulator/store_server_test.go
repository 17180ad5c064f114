package emulator

import (
	"context"
	"testing"
	"time"

	"bitternwing/internal/kvstore"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// testTimeout bounds how long a test waits for what has to happen.
const testTimeout = 20 * time.Second

// TestWatchSeesLeaseExpiry has a lease expire while nothing else happens: an open watch returns that its key is deleted, and does
// not wait for its own time.
func TestWatchSeesLeaseExpiry(t *testing.T) {
	s := NewStoreServer()
	defer s.Close()
	addr, err := s.AddClient("test")
	if err != nil {
		t.Fatal(err)
	}
	client := kvstore.New(addr, 1000, 4, 1<<20)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	lease, o := client.GrantLease(ctx, 200*time.Millisecond)
	if o != outcome.OK {
		t.Fatal(o)
	}
	put, o := client.Txn(ctx, wire.Txn{Then: []wire.Op{{Put: "w/lead", Value: []byte(`1`), Lease: lease}}})
	if o != outcome.OK {
		t.Fatal(o)
	}
	changes, o := client.Watch(ctx, "w/", put.Revision, 3*testTimeout)
	if o != outcome.OK || len(changes.Events) != 1 || changes.Events[0].Delete != "w/lead" {
		t.Errorf("%+v, %v", changes, o)
	}
}
