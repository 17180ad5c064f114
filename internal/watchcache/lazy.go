package watchcache

import "encoding/json"

// lazyValue is a stored value that is decoded on first use. Most nodes never use most of these values.
type lazyValue[T any] struct {
	encoded json.RawMessage // nil if there is no value or it has been decoded
	decode  func(json.RawMessage) (T, error)
	value   T
}

func newLazyValue[T any](encoded json.RawMessage, decode func(json.RawMessage) (T, error)) *lazyValue[T] {
	return &lazyValue[T]{encoded: encoded, decode: decode}
}

// get returns the value, or the zero value if it was deleted or can't be decoded.
func (v *lazyValue[T]) get() T {
	if v.encoded != nil {
		v.value, _ = v.decode(v.encoded)
		v.encoded = nil
	}
	return v.value
}
