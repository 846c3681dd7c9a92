package daemon

import (
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/batch"
	"tamaracknotch/claim"
	"tamaracknotch/consensus"
	"tamaracknotch/flow"
	"tamaracknotch/front"
	"tamaracknotch/gateway"
	"tamaracknotch/member"
	"tamaracknotch/order"
	"tamaracknotch/pick"
	"tamaracknotch/place"
	"tamaracknotch/queue"
	"tamaracknotch/retry"
	"tamaracknotch/share"
	"tamaracknotch/table"
	"tamaracknotch/traffic"
)

// controlState returns the state of the control loop. A daemon without a data folder
// has no consensus part; it learns the state in force from the leader's messages.
func controlState(s Settings, self notch.Daemon, storage, cluster uint64, hasInventory bool) notch.State {
	divider, _ := share.New(s.Share)
	entryTiming := share.DefaultTiming
	entryTiming.Lease = time.Duration(s.EntryLease)
	parts := []notch.Part{member.New(self, storage, cluster), gateway.New(self.Name)}
	if self.Replica {
		parts = append(parts, consensus.New(notch.Replica{Name: self.Name, Storage: storage}, consensus.WithTargetVoters(s.Replicas)))
	}
	parts = append(parts, table.New(), claim.New(), batch.New(batch.WithPolicy(batchPolicy(s))))
	if self.Replica {
		parts = append(parts, flow.New(self, flowOptions(s, hasInventory)...))
		parts = append(parts, share.NewLeader(self.Name, share.WithDivider(divider), share.WithLeaderTiming(entryTiming)))
	}
	parts = append(parts, share.NewEntry(self, s.Lanes, share.WithEntryTiming(entryTiming)))
	return notch.NewState(parts...)
}

// flowOptions returns what the part for workflows is built with.
func flowOptions(s Settings, hasInventory bool) []flow.Option {
	timing := flow.DefaultTiming
	timing.Lease, timing.MaxLease = time.Duration(s.AgentLease), time.Duration(s.AgentMaxLease)
	options := []flow.Option{flow.WithTiming(timing)}
	if hasInventory {
		options = append(options, flow.WithHostInventory())
	}
	return options
}

// hostInventory returns the client of the inventory of hosts, or nil if there is none.
func hostInventory(s Settings, adapter front.ProtocolAdapter) (notch.HostInventory, error) {
	if s.HostInventory == "" {
		return nil, nil
	}
	hosts, err := adapter.Hosts(s.HostInventory)
	return hosts, errors.Wrap(err, "settings: --host-inventory")
}

func batchPolicy(s Settings) batch.Policy {
	p := batch.DefaultPolicy()
	p.Order, _ = order.New(s.TaskOrder)
	p.Placer = func(in notch.Interference) notch.Placer {
		placer, _ := place.New(s.Placer, in)
		return placer
	}
	return p
}

// laneStates returns the states of the lanes.
func laneStates(s Settings) []notch.State {
	policy := traffic.DefaultPolicy()
	policy.Picker, _ = pick.New(s.Picker)
	policy.Order, _ = queue.NewOrder(s.Queue)
	policy.Retrier, _ = retry.New(s.Retry)
	var out []notch.State
	for i := range s.Lanes {
		out = append(out, notch.NewState(traffic.New(i, s.FailureDomain, traffic.WithPolicy(policy))))
	}
	return out
}
