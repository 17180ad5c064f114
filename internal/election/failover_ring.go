package election

import "bitternwing/internal/membership"

// failoverRing is the order in which workers try the controllers when they lose the leader, seen by failure domain. A leader
// is a good one if its workers find the next one quickly when its zone is cut off: each controller that does not answer
// costs them almost half of their lease.
type failoverRing struct {
	nodes        []membership.Node
	severalZones bool
}

func newFailoverRing(members *membership.Members) failoverRing {
	r := failoverRing{nodes: members.FailoverOrder()}
	for _, node := range r.nodes {
		r.severalZones = r.severalZones || node.Zone != r.nodes[0].Zone
	}
	return r
}

// position gives the place of a controller in the ring.
func (r *failoverRing) position(name string) int {
	for i, node := range r.nodes {
		if node.Name == name {
			return i
		}
	}
	return 0
}

// successor gives the controller that workers try after one.
func (r *failoverRing) successor(name string) membership.Node {
	return r.nodes[(r.position(name)+1)%len(r.nodes)]
}

// failoverHops gives how many controllers in a row workers may try in vain after the leader when a zone is cut off: the run
// of controllers of one zone that follows the leader. It is 0 if all are in one zone.
func (r *failoverRing) failoverHops(leader string) int {
	if !r.severalZones {
		return 0
	}
	first := r.successor(leader).Zone
	hops := 1
	for at := r.position(leader); hops < len(r.nodes)-1; hops++ {
		if r.nodes[(at+hops+1)%len(r.nodes)].Zone != first {
			break
		}
	}
	return hops
}

// sharesZoneWithSuccessor reports whether a controller would be a poor leader: its successor is in its own zone, so that
// both are lost when that is cut off.
func (r *failoverRing) sharesZoneWithSuccessor(name string) bool {
	return r.severalZones && r.nodes[r.position(name)].Zone == r.successor(name).Zone
}
