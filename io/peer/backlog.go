package peer

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
)

// maxLoadBytes is the largest size of the load of one service. The leader sends it to each entry up
// to four times a second.
const maxLoadBytes = 1 << 10

// EncodeBacklog encodes the loads of services, as several messages if they don't fit into one. It
// drops the accounts with the least work of a load that is larger than maxLoadBytes, or the load
// itself if that is not enough; for both, an entry refuses less.
func EncodeBacklog(loads []*backlog.Load) []*peerpb.Backlog {
	var list []*peerpb.ServiceLoad

	for _, l := range loads {
		if m := encodeLoad(l); m != nil {
			list = append(list, m)
		}
	}

	var messages []*peerpb.Backlog
	for _, services := range pack(list) {
		messages = append(messages, &peerpb.Backlog{Services: services})
	}

	return messages
}

// encodeLoad encodes a load in at most maxLoadBytes, or returns nil if that is not possible.
func encodeLoad(l *backlog.Load) *peerpb.ServiceLoad {
	// Shortening must not change the load of the caller.
	short := *l
	short.Priorities = slices.Clone(l.Priorities)
	accounts := 0

	for i := range short.Priorities {
		p := &short.Priorities[i]
		p.Accounts = slices.Clone(p.Accounts)
		accounts += len(p.Accounts)
	}

	for {
		short.Shorten(accounts)

		if m := toServiceLoad(&short); proto.Size(m) <= maxLoadBytes {
			return m
		}

		if accounts == 0 {
			return nil
		}

		accounts = accounts * 3 / 4
	}
}

func toServiceLoad(l *backlog.Load) *peerpb.ServiceLoad {
	m := &peerpb.ServiceLoad{
		Service:        l.Service,
		MilliCores:     l.MilliCores,
		FreeMilliCores: l.FreeMilliCores,
		Largest:        encodeSize(l.Largest),
	}

	for _, p := range l.Priorities {
		q := &peerpb.PriorityLoad{
			Priority: int64(p.Priority),
			Rate:     p.Rate,
			Running:  p.Running,
			Kinds:    p.Kinds,
		}

		for _, a := range p.Accounts {
			q.Accounts = append(q.Accounts, &peerpb.AccountLoad{
				Account: a.Account,
				Waiting: trimZeros(a.Waiting[:]),
				Useful:  a.Useful,
				Late:    a.Late,
			})
		}

		m.Priorities = append(m.Priorities, q)
	}

	return m
}

// trimZeros returns a list without the zeros at its end.
func trimZeros(list []int64) []int64 {
	n := len(list)
	for n > 0 && list[n-1] == 0 {
		n--
	}

	return list[:n]
}

// DecodeBacklog decodes loads that were received at a local time.
func DecodeBacklog(now time.Duration, m *peerpb.Backlog) []*backlog.Load {
	var loads []*backlog.Load

	for _, s := range m.GetServices() {
		l := &backlog.Load{
			At:             now,
			Service:        s.GetService(),
			MilliCores:     decodeWork(s.GetMilliCores()),
			FreeMilliCores: decodeWork(s.GetFreeMilliCores()),
			Largest:        decodeSize(s.GetLargest()),
		}

		for _, p := range s.GetPriorities() {
			q := l.Priority(int(p.GetPriority()))
			q.Rate, q.Running = decodeWork(p.GetRate()), decodeWork(p.GetRunning())
			q.Kinds = slices.Sorted(slices.Values(p.GetKinds()))

			for _, a := range p.GetAccounts() {
				q.Accounts = append(q.Accounts, decodeAccount(a))
			}

			slices.SortFunc(q.Accounts, func(a, b backlog.AccountLoad) int { return cmp.Compare(a.Account, b.Account) })
		}

		loads = append(loads, l)
	}

	return loads
}

func decodeAccount(m *peerpb.AccountLoad) backlog.AccountLoad {
	a := backlog.AccountLoad{
		Account: m.GetAccount(),
		Useful:  decodeWork(m.GetUseful()),
		Late:    decodeWork(m.GetLate()),
	}

	for i, w := range m.GetWaiting()[:min(len(m.GetWaiting()), len(a.Waiting))] {
		a.Waiting[i] = decodeWork(w)
	}

	return a
}

// decodeWork bounds an amount of work, of which sums are taken.
func decodeWork(w int64) int64 { return backlog.Sum(0, max(0, w)) }
