package core_test

import (
	"fmt"
	"strings"

	"bitternwing/internal/wire"
)

// showChangedKeys formats the keys that a transaction changes, with the short values below r/ and f/. It omits the task
// counts for display, image hints and the catalog.
func showChangedKeys(txn wire.Txn) string {
	var changes []string
	for _, op := range txn.Then {
		switch {
		case len(op.Value) > 400:
			changes = append(changes, op.Put+" (long)")
		case strings.HasPrefix(op.Put, "w/n/"), strings.HasPrefix(op.Put, "w/i/"), op.Put == "w/catalog":
		case op.Delete != "":
			changes = append(changes, "-"+op.Delete)
		case strings.HasPrefix(op.Put, "r/") || strings.HasPrefix(op.Put, "f/"):
			changes = append(changes, op.Put+"="+string(op.Value))
		default:
			changes = append(changes, op.Put)
		}
	}
	return strings.Join(changes, " ")
}

// showToken formats a fencing token as the term and, unless it is 0, the count within the term.
func showToken(token uint64) string {
	if token%1_000_000 == 0 {
		return fmt.Sprint(token / 1_000_000)
	}
	return fmt.Sprintf("%d.%d", token/1_000_000, token%1_000_000)
}

// showCommands formats commands to a worker.
func showCommands(commands []wire.Command) string {
	var b strings.Builder
	for _, command := range commands {
		fmt.Fprintf(&b, ", %s %s#%d", command.Op, command.Task, command.Attempt)
		if command.GracePeriodS != nil {
			fmt.Fprintf(&b, " grace %v", *command.GracePeriodS)
		}
	}
	return b.String()
}
