package node

import (
	"context"
	"slices"

	"github.com/burdockward/burdockward/cordon"
	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
)

// cordons tracks the failure domains in which the operator allows no starts. The reader decodes the
// store's rows; the board holds the newest view.
type cordons struct {
	reader cordon.Reader
	board  cordon.LatestView
}

func (c *cordons) init(n *Node) {
	c.reader = n.newCordonReader()
	c.board.Changed = n.cordonsChanged
}

func (n *Node) newCordonReader() cordon.Reader {
	return cordon.Reader{Domains: n.options.Settings.FailureDomains, RowIgnored: n.reportUnreadableCordon}
}

// applyUpdate applies an update of the operator's table.
func (c *cordons) applyUpdate(update mirror.Update) { c.board.Update(c.reader.Apply(update), "store") }

// reportUnreadableCordon counts and logs a row of the operator's table that is no valid cordon.
func (n *Node) reportUnreadableCordon(row platform.Row, err error) {
	n.options.Count("rows_unreadable", string(platform.OperatorTable))
	n.log.Warn("row not understood", "table", platform.OperatorTable, "key", row.Key, "version", row.Version, "error", err)
}

// cordonsChanged logs a new view of the cordons and passes it to the owners in this process.
func (n *Node) cordonsChanged(from string, before, after cordon.View) {
	for _, domain := range after.Domains {
		if known := slices.Contains(n.options.Settings.FailureDomains, domain); !before.IsCordoned(domain) {
			n.log.Info("failure domain cordoned", "domain", domain, "known", known, "version", after.Version, "from", from)
		}
	}
	for _, domain := range before.Domains {
		if !after.IsCordoned(domain) {
			n.log.Info("failure domain usable again", "domain", domain, "version", after.Version, "from", from)
		}
	}
	n.options.Gauge("cordoned_failure_domains", float64(len(after.Domains)))
	for _, o := range n.localOwners() {
		go o.UpdateCordons(n.ctx, after)
	}
}

// confirmCordons reads the cordons from the store, regardless of what this process knows already.
func (n *Node) confirmCordons(ctx context.Context) (cordon.View, error) {
	rows, err := n.store.Read(ctx, platform.OperatorTable)
	if err != nil {
		return cordon.View{}, err
	}
	reader := n.newCordonReader()
	view := reader.Apply(mirror.Update{Rows: rows, Snapshot: true})
	n.cordons.board.Update(view, "store, read again")
	return view, nil
}

// Cordons implements heartbeat.Listener.
func (n *Node) Cordons() *linkpb.Cordons { return n.cordons.board.View().ToWire() }

// ReceiveCordons implements heartbeat.Listener.
func (n *Node) ReceiveCordons(from string, cordons *linkpb.Cordons) {
	n.cordons.board.Update(cordon.FromWire(cordons), from)
}
