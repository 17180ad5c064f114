package stored

import "bitternwing/internal/wire"

// The bounds of UsableValueBytes. Only nine tenths of the store's limit are used, and a transaction body must have room
// for at least minValuesPerTxn values.
const (
	usableTenths    = 9
	minValuesPerTxn = 4
)

// UsableValueBytes returns how many bytes of the store's value size limit are used.
func UsableValueBytes(limit int) int {
	return min(limit, wire.MaxBodyBytes/minValuesPerTxn) * usableTenths / 10
}
