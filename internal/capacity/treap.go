package capacity

// treap is a binary search tree whose nodes hold a summary of their subtree. Node priorities are hashes of the values'
// names, which balances the tree and makes its shape depend on its values only.
type treap[V, S any] struct {
	root *node[V, S]
	// before is the order of the values. No two values are equal in it.
	before func(a, b *V) bool
	// priority is the heap order of the values: a parent has no lower priority than its children.
	priority func(v *V) uint64
	// summarize returns the summary of a single value. combine merges the summary of other values, which are all before
	// or all after, into the first one.
	summarize func(v *V) S
	combine   func(into, other *S, before bool)
}

type node[V, S any] struct {
	value                      V
	ownSummary, subtreeSummary S // summaries of the node's value and of its subtree
	priority                   uint64
	left, right                *node[V, S]
}

// insert adds a value that is not in the tree.
func (t *treap[V, S]) insert(v V) {
	s := t.summarize(&v)
	t.root = t.insertAt(t.root, &node[V, S]{value: v, ownSummary: s, subtreeSummary: s, priority: t.priority(&v)})
}

func (t *treap[V, S]) insertAt(n, added *node[V, S]) *node[V, S] {
	switch {
	case n == nil:
		return added
	case added.priority > n.priority:
		added.left, added.right = t.split(n, &added.value)
		t.updateSummary(added)
		return added
	case t.before(&added.value, &n.value):
		n.left = t.insertAt(n.left, added)
	default:
		n.right = t.insertAt(n.right, added)
	}
	t.updateSummary(n)
	return n
}

// split splits a subtree into the values before the given one and the rest.
func (t *treap[V, S]) split(n *node[V, S], at *V) (before, rest *node[V, S]) {
	if n == nil {
		return nil, nil
	}
	if t.before(&n.value, at) {
		n.right, rest = t.split(n.right, at)
		t.updateSummary(n)
		return n, rest
	}
	before, n.left = t.split(n.left, at)
	t.updateSummary(n)
	return before, n
}

// remove removes a value from the tree.
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
	t.updateSummary(n)
	return n
}

// merge returns the union of two subtrees, where all values of a are before all values of b.
func (t *treap[V, S]) merge(a, b *node[V, S]) *node[V, S] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = t.merge(a.right, b)
		t.updateSummary(a)
		return a
	}
	b.left = t.merge(a, b.left)
	t.updateSummary(b)
	return b
}

// replace replaces a value by one in the same position of the order.
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
		n.value, n.ownSummary = *v, t.summarize(v)
	}
	t.updateSummary(n)
}

// updateSummary recomputes the summary of a node's subtree from its value and its children.
func (t *treap[V, S]) updateSummary(n *node[V, S]) {
	n.subtreeSummary = n.ownSummary
	if n.left != nil {
		t.combine(&n.subtreeSummary, &n.left.subtreeSummary, true)
	}
	if n.right != nil {
		t.combine(&n.subtreeSummary, &n.right.subtreeSummary, false)
	}
}

// search visits the values in order until visit returns true. It skips subtrees whose summary satisfies prune, and
// counts the nodes that it evaluates.
func (n *node[V, S]) search(prune func(*S) bool, visit func(*V) bool, evaluated *int) bool {
	if n == nil || prune(&n.subtreeSummary) {
		return false
	}
	*evaluated++
	if n.left.search(prune, visit, evaluated) {
		return true
	}
	if !prune(&n.ownSummary) && visit(&n.value) {
		return true
	}
	return n.right.search(prune, visit, evaluated)
}
