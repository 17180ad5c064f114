package watchcache

import "encoding/json"

// lazyValue is a stored value that is decoded when it is needed first: most nodes never need most of them.
type lazyValue[T any] struct {
	encoded json.RawMessage // nil: there is none, or it was decoded
	decode  func(json.RawMessage) (T, error)
	value   T
}

func newLazyValue[T any](encoded json.RawMessage, decode func(json.RawMessage) (T, error)) *lazyValue[T] {
	return &lazyValue[T]{encoded: encoded, decode: decode}
}

// get returns the value; the zero value for one that was deleted or can't be decoded.
func (v *lazyValue[T]) get() T {
	if v.encoded != nil {
		v.value, _ = v.decode(v.encoded)
		v.encoded = nil
	}
	return v.value
}
