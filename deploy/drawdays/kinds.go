package main

import "math/rand/v2"

const (
	// onSide names the machines that have an agent.
	onSide   = "side"
	nodeKill = "node_kill"
)

// drawer draws one trouble, without the time at which it begins.
type drawer func(*rand.Rand) trouble

func drawFrom(r *rand.Rand, g []drawer) trouble { return g[r.IntN(len(g))](r) }

// drawGroup draws the group of a further trouble; those that lose or replace a leader are
// drawn most.
func drawGroup(r *rand.Rand) []drawer {
	weighted := [][]drawer{leader, leader, leader, entries, entries, store, store, agents, orders, workers}

	return weighted[r.IntN(len(weighted))]
}

// between draws a number from a range.
func between(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

// oneOf draws one of some variants.
func oneOf(r *rand.Rand, variants ...string) string { return variants[r.IntN(len(variants))] }

// agents: agents restart, are stopped or stand still.
var agents = []drawer{
	func(r *rand.Rand) trouble {
		return trouble{
			kind:  "herd_kill",
			on:    onSide,
			share: between(r, 0.4, 1),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     nodeKill,
			on:       onSide,
			how:      oneOf(r, "", "power"),
			share:    between(r, 0.2, 0.8),
			duration: between(r, 0.3, 3),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "roll_term",
			on:       onSide,
			share:    between(r, 0.4, 1),
			strength: float64(1 + r.IntN(6)),
			gap:      between(r, 0.2, 0.8),
			planned:  r.IntN(2) == 0,
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "node_freeze",
			on:       onSide,
			share:    between(r, 0.1, 0.5),
			duration: between(r, 0.5, 5),
		}
	},
}

// orders: orders get no answer and are carried out late.
var orders = []drawer{
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "applied_late",
			how:      oneOf(r, "all", "all", "orders"),
			strength: between(r, 0.2, 0.7),
			duration: between(r, 2, 6),
		}
	},
}

// answers: workers carry orders out and the answers are lost.
var answers = []drawer{
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "answer_lost",
			share:    between(r, 0.3, 1),
			strength: between(r, 0.1, 0.5),
			duration: between(r, 2, 6),
		}
	},
}

// leader: the leader is lost, stopped or replaced.
var leader = []drawer{
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     nodeKill,
			on:       "core",
			how:      oneOf(r, "leader", "leader power", "giver"),
			count:    1,
			duration: between(r, 0.3, 3),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "node_freeze",
			on:       "core",
			how:      oneOf(r, "leader", "renewed"),
			count:    1,
			duration: between(r, 0.5, 5),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     nodeKill,
			on:       "front",
			how:      "power",
			share:    1,
			duration: between(r, 0.5, 2),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:    "roll_term",
			how:     "leader",
			share:   1,
			gap:     between(r, 0.3, 1.5),
			planned: r.IntN(2) == 0,
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "core_cut",
			how:      oneOf(r, "leader", "leader reset"),
			count:    1,
			duration: between(r, 1, 5),
		}
	},
}

// entries: some entries are lost or cut off.
var entries = []drawer{
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     nodeKill,
			how:      oneOf(r, "", "power"),
			share:    between(r, 0.2, 0.6),
			duration: between(r, 0.3, 3),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "node_cut",
			share:    between(r, 0.1, 0.4),
			duration: between(r, 1, 5),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "reset_conns",
			share:    between(r, 0.3, 1),
			strength: between(r, 0.3, 1),
		}
	},
}

// store: the store fails, wholly or in part.
var store = []drawer{
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "platform_down",
			how:      oneOf(r, "silent", "busy", "reset"),
			duration: between(r, 0.5, 5),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "platform_down",
			how:      oneOf(r, "nodes leader", "nodes busy", "nodes reset"),
			share:    between(r, 0.2, 0.6),
			duration: between(r, 1, 6),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "platform_lost",
			how:      oneOf(r, "", "late"),
			strength: between(r, 0.2, 0.7),
			duration: between(r, 1, 5),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "platform_slow",
			strength: between(r, 20, 80),
			duration: between(r, 1, 5),
		}
	},
}

// workers: workers are lost, leave or fail.
var workers = []drawer{
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "srv_crash",
			how:      oneOf(r, "", "dark", "gone"),
			share:    between(r, 0.05, 0.3),
			duration: between(r, 0.5, 4),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "scale_in",
			how:      oneOf(r, "", "spot"),
			share:    between(r, 0.05, 0.2),
			strength: between(r, 1, 3),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "node_cut",
			on:       onSide,
			how:      oneOf(r, "", "servers reborn"),
			share:    between(r, 0.1, 0.3),
			duration: between(r, 1, 5),
		}
	},
	func(r *rand.Rand) trouble {
		return trouble{
			kind:     "srv_grey",
			how:      oneOf(r, "errors", "hang", "mute"),
			share:    between(r, 0.05, 0.2),
			strength: 1,
			duration: between(r, 2, 6),
		}
	},
}
