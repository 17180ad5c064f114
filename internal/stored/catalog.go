package stored

import (
	"encoding/json"

	"bitternwing/internal/wire"
)

// DecodeCatalog decodes the machine types that the cloud offers.
func DecodeCatalog(value json.RawMessage) ([]wire.MachineType, error) {
	return decode[[]wire.MachineType](value)
}

// EncodeCatalog returns the stored form of the machine types.
func EncodeCatalog(types []wire.MachineType) (json.RawMessage, error) { return json.Marshal(types) }
