#include "event_queue.h"

#include <algorithm>
#include <utility>

namespace tarragondrift::bench {

void PlanAt(event_queue& events, instant at, std::function<void()> run) {
  events.waiting.push(planned_event{.at = std::max(at, events.now),
                                    .order = ++events.planned,
                                    .run = std::move(run)});
}

void RunUntil(event_queue& events, instant end) {
  while (!events.waiting.empty() && events.waiting.top().at <= end) {
    const planned_event next = events.waiting.top();
    events.waiting.pop();
    events.now = next.at;
    next.run();
  }
  events.now = end;
}

}  // namespace tarragondrift::bench
