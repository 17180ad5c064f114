package node

import (
	"context"
	"log/slog"

	"bitternwing/internal/core"
)

// execute carries out an effect of the core. Calls run in the background.
func (n *Node) execute(ctx context.Context, effect core.Effect) {
	switch effect := effect.(type) {
	case core.Response:
		n.deliver(effect)
	case core.Log:
		n.log.Log(ctx, logLevels[effect.Level], effect.Message, effect.Fields...)
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		n.callCloud(ctx, effect)
	case core.SendCommands, core.QueryWorker, core.PrefetchImage:
		n.callWorker(ctx, effect)
	case core.ProbeReplica:
		n.probeReplica(ctx, effect)
	case core.QueryPeer:
		n.callPeer(ctx, effect)
	case core.CallRegion:
		n.callRegion(ctx, effect)
	default:
		n.callStore(ctx, effect)
	}
}

// logLevels maps the core's log levels to those of slog.
var logLevels = map[core.Level]slog.Level{core.Debug: slog.LevelDebug, core.Info: slog.LevelInfo, core.Error: slog.LevelError}
