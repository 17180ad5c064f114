package core_test

import (
	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// storedKeys returns the stored keys with a prefix in order.
func storedKeys(store *emulator.Store, prefix string) []string {
	var keys []string
	for after := ""; ; after = keys[len(keys)-1] {
		page := store.List(prefix, after, wire.MaxPageItems)
		for _, item := range page.Items {
			keys = append(keys, item.Key)
		}
		if !page.More {
			return keys
		}
	}
}
