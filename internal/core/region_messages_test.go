package core_test

import (
	"slices"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// regionMessage is a message in flight to a region.
type regionMessage struct {
	due   time.Duration // when it arrives
	to    int           // region; -1 if the message is lost
	node  int           // that receives it
	input func(request uint64) core.Input
	done  func(got outcome.Outcome) // called with the outcome of the call
}

// send sends a message, and a late copy if messages are duplicated. If the link is cut, the call times out instead.
func (sim *regionSimulation) send(from *simulatedRegion, node *scaleNode, e core.CallRegion) {
	to := slices.IndexFunc(sim.regions, func(region *simulatedRegion) bool { return regionName(region.number) == e.Region })
	if to < 0 {
		return // the region has not been created yet
	}
	if e.Deliver != nil {
		sim.transfers++
	}
	sender, sentAt, completed := node.core, from.now, false
	message := regionMessage{due: from.now + regionLatency, to: to, node: e.Attempt % 3, input: func(request uint64) core.Input {
		if e.Request != nil {
			quotaRequest := *e.Request
			quotaRequest.RequestID = request
			return quotaRequest
		}
		delivery := *e.Deliver
		delivery.RequestID = request
		return delivery
	}, done: func(got outcome.Outcome) {
		// The response goes back to the process that sent the message, if it still runs.
		if node.core == sender && !completed {
			completed = true
			if sim.cutLinks[[2]int{to, from.number}] {
				got = outcome.Unknown
			}
			node.results = append(node.results, core.Result{CallID: e.CallID, Outcome: got, SentAt: sentAt})
		}
	}}
	if sim.cutLinks[[2]int{from.number, to}] {
		sim.messages = append(sim.messages, regionMessage{due: from.now + 3*time.Second, to: -1, done: message.done})
		return
	}
	sim.messages = append(sim.messages, message)
	if sim.duplicateMessages {
		late := message
		late.due += 5 * time.Second
		sim.messages = append(sim.messages, late)
	}
}

// deliverMessages delivers the messages that are due.
func (sim *regionSimulation) deliverMessages() {
	now := sim.regions[0].now
	due := slices.DeleteFunc(slices.Clone(sim.messages), func(m regionMessage) bool { return m.due > now })
	sim.messages = slices.DeleteFunc(sim.messages, func(m regionMessage) bool { return m.due <= now })
	for _, m := range due {
		if m.to < 0 {
			m.done(outcome.Unknown) // the call has timed out
			continue
		}
		region := sim.regions[m.to]
		region.receive(region.nodes[m.node], m, false)
	}
}

// receive delivers a message to a node, and follows one redirect to the leader.
func (region *simulatedRegion) receive(node *scaleNode, m regionMessage, relayed bool) {
	if node.name == region.frozenNode {
		m.done(outcome.Unknown)
		return
	}
	region.lastRequest++
	request := region.lastRequest << 16
	region.responseHandlers[request] = func(response core.Response) {
		to, redirected := response.Body.(wire.Redirect)
		leader := slices.IndexFunc(region.nodes, func(peer *scaleNode) bool { return redirected && peer.name == to.Leader })
		switch {
		case response.Status == 200:
			m.done(outcome.OK)
		case leader >= 0 && !relayed:
			region.receive(region.nodes[leader], m, true)
		default:
			m.done(outcome.Unknown)
		}
	}
	region.step(node, m.input(request))
}
