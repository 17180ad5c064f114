package emulator

import (
	"context"
	"testing"
	"time"

	"bitternwing/internal/kvstore"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// testTimeout bounds how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// TestWatchSeesLeaseExpiry checks that an open watch reports the deletion of a key whose lease expires while no request
// arrives, rather than when the watch times out.
func TestWatchSeesLeaseExpiry(t *testing.T) {
	server := NewStoreServer()
	defer server.Close()
	addr, err := server.AddClient("test")
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
		t.Errorf("watch: got %+v, %v; want the deletion of w/lead", changes, o)
	}
}
