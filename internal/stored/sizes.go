package stored

import "bitternwing/internal/wire"

// Values are kept below a part of their limit, and several must fit into the body of one transaction.
const (
	usableTenths     = 9
	valuesPerMaxBody = 4
)

// UsableValueBytes returns how much of the store's limit of a value is used.
func UsableValueBytes(limit int) int {
	return min(limit, wire.MaxBodyBytes/valuesPerMaxBody) * usableTenths / 10
}
