#include "tarragondrift/core/dispatch_cmd.h"

#include <algorithm>
#include <cassert>

namespace tarragondrift {
namespace {

/// Tells whether an instance can take one more attempt for an upstream.
bool HasFreeSlot(const upstream_instance& instance, upstream_id upstream) {
  return instance.upstream == upstream && !instance.leaving &&
         instance.in_flight < instance.share;
}

/// Finds the instance with the most free slots for an upstream.
instance_id LeastLoaded(const dispatcher& state, upstream_id upstream) {
  instance_id best;
  uint32_t most_free = 0;
  state.instances.ForEach(
      [&](instance_id id, const upstream_instance& instance) {
        if (!HasFreeSlot(instance, upstream)) {
          return;
        }
        const uint32_t free = instance.share - instance.in_flight;
        if (free > most_free) {
          most_free = free;
          best = id;
        }
      });
  return best;
}

}  // namespace

dispatcher MakeDispatcher(const dispatch_options& options) {
  dispatcher state;
  state.options = options;
  state.random.seed(options.seed);
  return state;
}

void ApplyConfig(dispatcher& /*state*/, const config_document& /*config*/) {}

result_code TestAdmission(const dispatcher& /*state*/,
                          const job_request& /*request*/, instant /*now*/) {
  return result_code::kOk;
}

void EnqueueJob(dispatcher& state, std::span<const queued_task> tasks,
                instant /*now*/) {
  state.queue.insert(state.queue.end(), tasks.begin(), tasks.end());
}

void DropJob(dispatcher& state, job_id job) {
  std::erase_if(state.queue, [job](const queued_task& task) {
    return task.task.job == job;
  });
}

void RequeueTask(dispatcher& state, const queued_task& task, instant /*now*/) {
  state.queue.push_front(task);
}

std::optional<placement> PlaceNext(dispatcher& state, instant /*now*/) {
  for (auto at = state.queue.begin(); at != state.queue.end(); ++at) {
    const instance_id id = LeastLoaded(state, at->upstream);
    if (!id.Valid()) {
      continue;
    }
    placement placed{.task = *at, .instance = id};
    state.queue.erase(at);
    ++state.instances.Get(id).in_flight;
    return placed;
  }
  return std::nullopt;
}

void ReleaseSlot(dispatcher& state, const placement& placed,
                 const attempt_result& ended, instant now) {
  upstream_instance* const instance = state.instances.Find(placed.instance);
  if (instance == nullptr) {
    return;
  }
  assert(instance->in_flight > 0);
  --instance->in_flight;
  if (ended.leaving) {
    MarkLeaving(state, placed.instance, now);
  }
}

instance_id SetInstance(dispatcher& state, const upstream_instance& instance) {
  const instance_id known = FindInstance(state, instance.address);
  if (!known.Valid()) {
    return state.instances.Insert(instance);
  }
  upstream_instance& place = state.instances.Get(known);
  place.share = instance.share;
  place.rack = instance.rack;
  return known;
}

void MarkLeaving(dispatcher& state, instance_id id, instant /*now*/) {
  upstream_instance* const instance = state.instances.Find(id);
  if (instance != nullptr) {
    instance->leaving = true;
  }
}

void RemoveInstance(dispatcher& state, instance_id id) {
  const upstream_instance* const instance = state.instances.Find(id);
  if (instance != nullptr && instance->in_flight == 0) {
    state.instances.Erase(id);
  }
}

instance_id FindInstance(const dispatcher& state, const std::string& address) {
  instance_id found;
  state.instances.ForEach(
      [&](instance_id id, const upstream_instance& instance) {
        if (instance.address == address) {
          found = id;
        }
      });
  return found;
}

void TickDispatcher(dispatcher& /*state*/, instant /*now*/) {}

size_t QueuedTasks(const dispatcher& state) { return state.queue.size(); }

}  // namespace tarragondrift
