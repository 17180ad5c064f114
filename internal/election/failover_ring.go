package election

import "bitternwing/internal/membership"

// failoverRing is the order in which workers try the nodes when they lose the leader, with the zone of each node.
// Workers find the next leader quickly if few nodes that follow the leader are lost together with its zone: each node
// that does not respond costs a worker almost half of its lease.
type failoverRing struct {
	nodes     []membership.Node
	multiZone bool
}

func newFailoverRing(members *membership.Members) failoverRing {
	r := failoverRing{nodes: members.FailoverOrder()}
	for _, node := range r.nodes {
		r.multiZone = r.multiZone || node.Zone != r.nodes[0].Zone
	}
	return r
}

// position returns the index of a node in the ring.
func (r *failoverRing) position(name string) int {
	for i, node := range r.nodes {
		if node.Name == name {
			return i
		}
	}
	return 0
}

// successor returns the node that workers try after the named one.
func (r *failoverRing) successor(name string) membership.Node {
	return r.nodes[(r.position(name)+1)%len(r.nodes)]
}

// failoverHops returns how many nodes in a row workers may try in vain after the leader when a zone is isolated by a
// network partition. That is the number of nodes directly after the leader that share one zone. It is 0 if all nodes
// are in one zone.
func (r *failoverRing) failoverHops(leader string) int {
	if !r.multiZone {
		return 0
	}
	successorZone := r.successor(leader).Zone
	hops := 1
	for at := r.position(leader); hops < len(r.nodes)-1; hops++ {
		if r.nodes[(at+hops+1)%len(r.nodes)].Zone != successorZone {
			break
		}
	}
	return hops
}

// sharesZoneWithSuccessor reports whether the successor of a node is in the same zone. Such a node is a poor leader,
// because both are lost when that zone is isolated.
func (r *failoverRing) sharesZoneWithSuccessor(name string) bool {
	return r.multiZone && r.nodes[r.position(name)].Zone == r.successor(name).Zone
}
