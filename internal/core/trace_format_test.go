package core_test

import (
	"fmt"
	"strings"

	"bitternwing/internal/wire"
)

// showChangedKeys shows the changes of a transaction, without the counts for display.
func showChangedKeys(t wire.Txn) string {
	var ks []string
	for _, op := range t.Then {
		switch {
		case len(op.Value) > 400:
			ks = append(ks, op.Put+" (long)")
		case strings.HasPrefix(op.Put, "w/n/"), strings.HasPrefix(op.Put, "w/i/"), op.Put == "w/catalog":
		case op.Delete != "":
			ks = append(ks, "-"+op.Delete)
		case strings.HasPrefix(op.Put, "r/") || strings.HasPrefix(op.Put, "f/"):
			ks = append(ks, op.Put+"="+string(op.Value))
		default:
			ks = append(ks, op.Put)
		}
	}
	return strings.Join(ks, " ")
}

func showToken(token uint64) string {
	if token%1_000_000 == 0 {
		return fmt.Sprint(token / 1_000_000)
	}
	return fmt.Sprintf("%d.%d", token/1_000_000, token%1_000_000)
}

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
