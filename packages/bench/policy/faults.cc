// Faults of a scenario, put on the clock.
#include <algorithm>

#include "world.h"

namespace tarragondrift::bench {
namespace {

/// An entry that takes the place of one that is gone comes after this time.
constexpr seconds kReplacedAfter{5};
/// Peers learn by a refused connection that a process has died.
constexpr seconds kProvenAfter{2};

void Replace(world& state, uint32_t data_centre) {
  StartControl(state, AddEntry(state, data_centre).index);
}

/// Lets the peers of a dead entry find its address closed.
void ProveDeath(world& state, uint32_t dead) {
  for (real_entry& entry : state.entries) {
    if (entry.data_centre == state.entries[dead].data_centre &&
        entry.heard.contains(dead)) {
      entry.heard[dead].proven_dead = true;
    }
  }
}

void Kill(world& state, const fault& what, bool proven) {
  real_entry& entry = state.entries[what.index];
  entry.alive = false;
  const uint32_t centre = entry.data_centre;
  if (proven) {
    state.loop.After(kProvenAfter, [&state, index = what.index] {
      ProveDeath(state, index);
    });
  }
  state.loop.After(kReplacedAfter,
                   [&state, centre] { Replace(state, centre); });
}

/// Lets one entry read in the list that an instance leaves, the others later.
void ListLeaving(world& state, const fault& what) {
  const uint32_t centre = state.instances[what.index].data_centre;
  bool first = true;
  for (real_entry& entry : state.entries) {
    if (entry.data_centre != centre || !entry.alive) {
      continue;
    }
    const milliseconds lag = first ? milliseconds{0} : what.lasts;
    first = false;
    Deliver(state, entry.index, lag, [&state, what](real_entry& there) {
      LearnLeaving(state, there, what.index);
    });
  }
}

void LeaveByRefusal(world& state, const fault& what) {
  real_instance& instance = state.instances[what.index];
  instance.refuses = true;
  instance.leaving = true;
}

void Begin(world& state, const fault& what) {
  switch (what.kind) {
    case fault_kind::kEntryDies:
      Kill(state, what, what.lasts.count() > 0);
      break;
    case fault_kind::kEntryPauses:
      state.entries[what.index].paused_until = state.loop.now() + what.lasts;
      break;
    case fault_kind::kEntryJoins:
      Replace(state, state.entries[what.index].data_centre);
      break;
    case fault_kind::kEntryLeaves:
      state.entries[what.index].leaving = true;
      state.entries[what.index].slots.leaving = true;
      break;
    case fault_kind::kTableDown:
      state.table_down = true;
      break;
    case fault_kind::kTableCut:
      state.entries[what.index].table_cut = true;
      break;
    case fault_kind::kPeersCut:
      state.entries[what.index].peers_cut = true;
      break;
    case fault_kind::kIsolated:
      state.entries[what.index].table_cut = true;
      state.entries[what.index].peers_cut = true;
      break;
    case fault_kind::kDataCentresCut:
      state.data_centres_cut = true;
      break;
    case fault_kind::kBlackHole:
      state.instances[what.index].black_hole = true;
      break;
    case fault_kind::kSlowInstance: {
      constexpr double kSlow = 5;
      state.instances[what.index].slow = kSlow;
      break;
    }
    case fault_kind::kInstanceRefuses:
      state.instances[what.index].refuses = true;
      break;
    case fault_kind::kInstanceLeaves:
      LeaveByRefusal(state, what);
      break;
    case fault_kind::kInstanceListed:
      ListLeaving(state, what);
      break;
  }
}

void End(world& state, const fault& what) {
  switch (what.kind) {
    case fault_kind::kTableDown:
      state.table_down = false;
      break;
    case fault_kind::kTableCut:
      state.entries[what.index].table_cut = false;
      break;
    case fault_kind::kPeersCut:
      state.entries[what.index].peers_cut = false;
      break;
    case fault_kind::kIsolated:
      state.entries[what.index].table_cut = false;
      state.entries[what.index].peers_cut = false;
      break;
    case fault_kind::kDataCentresCut:
      state.data_centres_cut = false;
      break;
    case fault_kind::kBlackHole:
      state.instances[what.index].black_hole = false;
      break;
    case fault_kind::kSlowInstance:
      state.instances[what.index].slow = 1;
      break;
    case fault_kind::kInstanceRefuses:
      state.instances[what.index].refuses = false;
      break;
    default:
      break;
  }
}

}  // namespace

void ScheduleFaults(world& state) {
  for (const fault& what : state.plan.faults) {
    const instant at = instant{kWarmUp} + what.at;
    state.loop.At(at, [&state, what] { Begin(state, what); });
    state.loop.At(at + what.lasts, [&state, what] { End(state, what); });
  }
}

}  // namespace tarragondrift::bench
