package core_test

import (
	"slices"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// regionMessage is a message on its way to a region.
type regionMessage struct {
	due      time.Duration
	to       int
	node     int
	input    func(request uint64) core.Input
	answered func(got outcome.Outcome)
}

// send puts a message on its way, and a copy where messages are repeated.
func (world *regionWorld) send(from *worldRegion, node *scaleNode, e core.CallRegion) {
	to := slices.IndexFunc(world.regions, func(region *worldRegion) bool { return regionName(region.number) == e.Region })
	if to < 0 {
		return // it is being set up
	}
	if e.Deliver != nil {
		world.transfers++
	}
	process, sent, over := node.core, from.now, false
	message := regionMessage{due: from.now + regionLatency, to: to, node: e.Attempt % 3, input: func(request uint64) core.Input {
		if e.Request != nil {
			ask := *e.Request
			ask.RequestID = request
			return ask
		}
		deliver := *e.Deliver
		deliver.RequestID = request
		return deliver
	}, answered: func(got outcome.Outcome) {
		// The answer goes back to the process that asked, if it is still there.
		if node.core == process && !over {
			over = true
			if world.cutLinks[[2]int{to, from.number}] {
				got = outcome.Unknown
			}
			node.results = append(node.results, core.Result{CallID: e.CallID, Outcome: got, SentAt: sent})
		}
	}}
	if world.cutLinks[[2]int{from.number, to}] {
		world.messages = append(world.messages, regionMessage{due: from.now + 3*time.Second, to: -1, answered: message.answered})
		return
	}
	world.messages = append(world.messages, message)
	if world.repeatMessages {
		late := message
		late.due += 5 * time.Second
		world.messages = append(world.messages, late)
	}
}

// deliverMessages brings the messages that are due to their regions.
func (world *regionWorld) deliverMessages() {
	now := world.regions[0].now
	due := slices.DeleteFunc(slices.Clone(world.messages), func(m regionMessage) bool { return m.due > now })
	world.messages = slices.DeleteFunc(world.messages, func(m regionMessage) bool { return m.due <= now })
	for _, m := range due {
		if m.to < 0 {
			m.answered(outcome.Unknown) // its time is over
			continue
		}
		region := world.regions[m.to]
		region.hear(region.nodes[m.node], m, false)
	}
}

// hear hands a message to a node, which names the leader if it is not the one.
func (region *worldRegion) hear(node *scaleNode, m regionMessage, relayed bool) {
	if node.name == region.frozenNode {
		m.answered(outcome.Unknown)
		return
	}
	region.lastRequest++
	request := region.lastRequest << 16
	region.pending[request] = func(response core.Response) {
		to, redirected := response.Body.(wire.Redirect)
		leader := slices.IndexFunc(region.nodes, func(x *scaleNode) bool { return redirected && x.name == to.Leader })
		switch {
		case response.Status == 200:
			m.answered(outcome.OK)
		case leader >= 0 && !relayed:
			region.hear(region.nodes[leader], m, true)
		default:
			m.answered(outcome.Unknown)
		}
	}
	region.step(node, m.input(request))
}
