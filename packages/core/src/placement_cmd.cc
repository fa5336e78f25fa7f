#include "tarragondrift/core/placement_cmd.h"

#include <algorithm>

#include "tarragondrift/core/health_cmd.h"

namespace tarragondrift {
namespace {

/// Returns how many attempts an instance may run at a time.
uint32_t LimitOf(const dispatcher& state, const upstream_instance& instance) {
  if (instance.leaving) {
    return 0;
  }
  return state.options.watch_health
             ? HealthyLimit(instance.health, instance.share)
             : instance.share;
}

void AddOpen(open_instances& upstream, upstream_instance& instance,
             instance_id id) {
  instance.open_at = static_cast<uint32_t>(upstream.open.size());
  upstream.open.push_back(id);
}

void RemoveOpen(dispatcher& state, open_instances& upstream,
                upstream_instance& instance) {
  const instance_id last = upstream.open.back();
  upstream.open[instance.open_at] = last;
  state.instances.Get(last).open_at = instance.open_at;
  upstream.open.pop_back();
  instance.open_at = upstream_instance::kNotOpen;
}

/// Returns the cost of one more attempt on an instance; lower is better.
double CostOf(const upstream_instance& instance) {
  const double load = static_cast<double>(instance.in_flight + 1) /
                      static_cast<double>(std::max(instance.share, 1U));
  constexpr double kFailurePenalty = 4;
  return (instance.health.slowness +
          kFailurePenalty * instance.health.failures) *
         (1 + load);
}

/// Returns a random index below `count`.
uint32_t RandomIndex(dispatcher& state, uint32_t count) {
  return static_cast<uint32_t>(state.random() % count);
}

instance_id BetterOf(const dispatcher& state, instance_id left,
                     instance_id right) {
  return CostOf(state.instances.Get(left)) <= CostOf(state.instances.Get(right))
             ? left
             : right;
}

instance_id BestOf(const dispatcher& state, const open_instances& upstream) {
  instance_id best = upstream.open.front();
  for (const instance_id id : upstream.open) {
    best = BetterOf(state, best, id);
  }
  return best;
}

/// Chooses an open instance by the placement rule.
instance_id Pick(dispatcher& state, open_instances& upstream) {
  const auto count = static_cast<uint32_t>(upstream.open.size());
  switch (state.options.placement) {
    case placement_rule::kTwoChoices: {
      const instance_id first = upstream.open[RandomIndex(state, count)];
      const instance_id second = upstream.open[RandomIndex(state, count)];
      return BetterOf(state, first, second);
    }
    case placement_rule::kLeastLoaded:
      return BestOf(state, upstream);
    case placement_rule::kRandom:
      return upstream.open[RandomIndex(state, count)];
    case placement_rule::kRoundRobin:
      return upstream.open[upstream.next++ % count];
  }
  return upstream.open.front();
}

/// Whether a task would lose more time on this slow instance than by waiting
/// for a slot of another one.
bool IsTooSlow(const dispatcher& state, const upstream_instance& instance,
               upstream_id upstream, std::chrono::microseconds estimated) {
  const double slowness = instance.health.slowness;
  if (!state.options.watch_health || slowness <= state.options.health.slow) {
    return false;
  }
  const open_instances& upstream_instances = state.upstreams[upstream.index];
  const upstream_queue& backlog = state.queue.upstreams[upstream.index];
  const double slots = std::max(upstream_instances.slots, 1U);
  const double wait = static_cast<double>(backlog.work.count()) / slots;
  const double delay = (slowness - 1) * static_cast<double>(estimated.count());
  const bool others_running = upstream_instances.in_flight > instance.in_flight;
  return others_running && delay > wait;
}

}  // namespace

open_instances& OpenOf(dispatcher& state, upstream_id upstream) {
  if (upstream.index >= state.upstreams.size()) {
    state.upstreams.resize(upstream.index + 1, {.none_since = state.ticked});
  }
  return state.upstreams[upstream.index];
}

void RefreshInstance(dispatcher& state, instance_id id) {
  upstream_instance& instance = state.instances.Get(id);
  open_instances& upstream = OpenOf(state, instance.upstream);
  const uint32_t limit = LimitOf(state, instance);
  const bool open = instance.in_flight < limit;
  const bool listed = instance.open_at != upstream_instance::kNotOpen;
  if (open && !listed) {
    AddOpen(upstream, instance, id);
  }
  if (!open && listed) {
    RemoveOpen(state, upstream, instance);
  }
  const uint32_t counted_slots = limit == 0 ? 0 : instance.share;
  upstream.slots += counted_slots;
  upstream.slots -= instance.counted;
  instance.counted = counted_slots;
}

void ForgetInstance(dispatcher& state, instance_id id) {
  upstream_instance& instance = state.instances.Get(id);
  instance.leaving = true;
  RefreshInstance(state, id);
  open_instances& upstream = OpenOf(state, instance.upstream);
  --upstream.instances;
  if (instance.health.stage == health_stage::kEjected &&
      !instance.health.throttled) {
    --upstream.ejected;
  }
}

instance_id ChooseInstance(dispatcher& state, upstream_id upstream,
                           std::chrono::microseconds estimated) {
  open_instances& upstream_instances = OpenOf(state, upstream);
  if (upstream_instances.open.empty()) {
    return instance_id{};
  }
  const instance_id chosen = Pick(state, upstream_instances);
  if (!IsTooSlow(state, state.instances.Get(chosen), upstream, estimated)) {
    return chosen;
  }
  const instance_id best = BestOf(state, upstream_instances);
  return IsTooSlow(state, state.instances.Get(best), upstream, estimated)
             ? instance_id{}
             : best;
}

}  // namespace tarragondrift
