// Virtual time: what happens when, in one order for one seed.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_EVENT_QUEUE_H_
#define TARRAGONDRIFT_BENCH_SAFETY_EVENT_QUEUE_H_

#include <functional>
#include <queue>
#include <vector>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::bench {

/// Something to do at a moment; of one moment, the earlier planned comes first.
struct planned_event {
  instant at;
  uint64_t order = 0;
  std::function<void()> run;
};

/// Orders the heap of events by time.
struct later_event {
  bool operator()(const planned_event& one, const planned_event& other) const {
    return one.at != other.at ? one.at > other.at : one.order > other.order;
  }
};

/// All that is still to happen.
struct event_queue {
  instant now;
  uint64_t planned = 0;
  std::priority_queue<planned_event, std::vector<planned_event>, later_event>
      waiting;
};

/// Plans an event; a time that has passed means now.
void PlanAt(event_queue& events, instant at, std::function<void()> run);

/// Runs what is planned up to and at a moment, then stands there.
void RunUntil(event_queue& events, instant end);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_EVENT_QUEUE_H_
