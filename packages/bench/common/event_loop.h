// Virtual time: events run in order of time, those of one moment as added.
#ifndef TARRAGONDRIFT_BENCH_COMMON_EVENT_LOOP_H_
#define TARRAGONDRIFT_BENCH_COMMON_EVENT_LOOP_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::bench {

/// Runs events in virtual time.
class event_loop {
 public:
  instant now() const { return now_; }

  /// Runs an event at a moment, or at once when it has passed.
  void At(instant when, std::function<void()> run) {
    events_.push({std::max(when, now_), next_++, std::move(run)});
  }

  /// Runs an event after a time.
  void After(std::chrono::microseconds wait, std::function<void()> run) {
    At(now_ + wait, std::move(run));
  }

  /// Runs all events up to a moment.
  void RunUntil(instant end) {
    while (!events_.empty() && events_.top().when <= end) {
      event next = std::move(const_cast<event&>(events_.top()));
      events_.pop();
      now_ = next.when;
      next.run();
    }
    now_ = end;
  }

 private:
  struct event {
    instant when;
    uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair{when, number} > std::pair{other.when, other.number};
    }
  };

  std::priority_queue<event> events_;
  instant now_;
  uint64_t next_ = 0;
};

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_COMMON_EVENT_LOOP_H_
