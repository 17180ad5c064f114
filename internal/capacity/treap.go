package capacity

// treap is a binary search tree whose nodes have a summary of their subtree. It is balanced by priorities that are hashes of
// the values' names, so that the same values always give the same tree.
type treap[V, S any] struct {
	root *node[V, S]
	// before orders the values. No two are equal.
	before func(a, b *V) bool
	// priority orders the values from the root down.
	priority func(v *V) uint64
	// summarize gives the summary of a value. join merges the summary of other values, all before or all after, into
	// another one.
	summarize func(v *V) S
	join      func(into, other *S, before bool)
}

type node[V, S any] struct {
	value       V
	own, all    S // the summaries of the value, and of the whole subtree
	priority    uint64
	left, right *node[V, S]
}

// insert adds a value that is not there yet.
func (t *treap[V, S]) insert(v V) {
	s := t.summarize(&v)
	t.root = t.insertAt(t.root, &node[V, S]{value: v, own: s, all: s, priority: t.priority(&v)})
}

func (t *treap[V, S]) insertAt(n, added *node[V, S]) *node[V, S] {
	switch {
	case n == nil:
		return added
	case added.priority > n.priority:
		added.left, added.right = t.split(n, &added.value)
		t.pull(added)
		return added
	case t.before(&added.value, &n.value):
		n.left = t.insertAt(n.left, added)
	default:
		n.right = t.insertAt(n.right, added)
	}
	t.pull(n)
	return n
}

// split gives the subtrees of what is before a value and of the rest.
func (t *treap[V, S]) split(n *node[V, S], at *V) (before, rest *node[V, S]) {
	if n == nil {
		return nil, nil
	}
	if t.before(&n.value, at) {
		n.right, rest = t.split(n.right, at)
		t.pull(n)
		return n, rest
	}
	before, n.left = t.split(n.left, at)
	t.pull(n)
	return before, n
}

// remove removes a value that is there.
func (t *treap[V, S]) remove(v *V) { t.root = t.removeAt(t.root, v) }

func (t *treap[V, S]) removeAt(n *node[V, S], v *V) *node[V, S] {
	switch {
	case n == nil:
		return nil
	case t.before(v, &n.value):
		n.left = t.removeAt(n.left, v)
	case t.before(&n.value, v):
		n.right = t.removeAt(n.right, v)
	default:
		return t.merge(n.left, n.right)
	}
	t.pull(n)
	return n
}

func (t *treap[V, S]) merge(a, b *node[V, S]) *node[V, S] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = t.merge(a.right, b)
		t.pull(a)
		return a
	}
	b.left = t.merge(a, b.left)
	t.pull(b)
	return b
}

// replace updates a value that keeps its place in the order.
func (t *treap[V, S]) replace(v *V) { t.replaceAt(t.root, v) }

func (t *treap[V, S]) replaceAt(n *node[V, S], v *V) {
	switch {
	case n == nil:
		return
	case t.before(v, &n.value):
		t.replaceAt(n.left, v)
	case t.before(&n.value, v):
		t.replaceAt(n.right, v)
	default:
		n.value, n.own = *v, t.summarize(v)
	}
	t.pull(n)
}

// pull updates a node's summary from those of its children.
func (t *treap[V, S]) pull(n *node[V, S]) {
	n.all = n.own
	if n.left != nil {
		t.join(&n.all, &n.left.all, true)
	}
	if n.right != nil {
		t.join(&n.all, &n.right.all, false)
	}
}

// search visits the values in order until visit returns true. It prunes the subtrees for whose summary skip is true, and
// counts the nodes that it does not prune.
func (n *node[V, S]) search(skip func(*S) bool, visit func(*V) bool, evaluated *int) bool {
	if n == nil || skip(&n.all) {
		return false
	}
	*evaluated++
	if n.left.search(skip, visit, evaluated) {
		return true
	}
	if !skip(&n.own) && visit(&n.value) {
		return true
	}
	return n.right.search(skip, visit, evaluated)
}
