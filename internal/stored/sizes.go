package stored

import "bitternwing/internal/wire"

// Values are kept below the store's limit, and one transaction body must have room for several of them.
const (
	usableTenths    = 9
	minValuesPerTxn = 4
)

// UsableValueBytes returns how many bytes of the store's value size limit are used.
func UsableValueBytes(limit int) int {
	return min(limit, wire.MaxBodyBytes/minValuesPerTxn) * usableTenths / 10
}
