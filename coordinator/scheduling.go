package coordinator

import (
	"trefoildeck/core/fleet"
	"trefoildeck/settings"
)

// enableScheduling enables the parts of a scheduler that the settings ask for.
func enableScheduling(f *fleet.Fleet, s settings.SchedulingSection) {
	f.Order = s.Order
	f.Preemption = s.Preemption
	f.LookAhead = s.LookAhead

	if s.SlowWorkers {
		f.EnableSlowWorkers()
	}

	if s.RackWaits {
		f.EnableRackWaits(s.RemoteRunFactor())
	}
}
