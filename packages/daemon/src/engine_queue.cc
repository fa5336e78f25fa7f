#include "engine_queue.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "clock.h"
#include "logging.h"

namespace tarragondrift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Steps that wait for longer make answers late: the shortest objective is
/// about 150 ms.
constexpr milliseconds kLoggedWait{250};
constexpr milliseconds kLogInterval{500};

}  // namespace

void engine_queue::Post(engine_step step, instant now) {
  steps_.Push({.posted = now, .run = std::move(step)});
}

std::vector<posted_step> engine_queue::TakeUntil(instant limit) {
  std::vector<posted_step> batch = steps_.TakeUntil(ToSteady(limit));
  batch_size_ = batch.size();
  if (!batch.empty()) {
    batch_posted_.store(batch.front().posted.time_since_epoch().count());
  }
  return batch;
}

void engine_queue::EndBatch(instant now) {
  const int64_t posted = batch_posted_.exchange(0);
  if (posted == 0) {
    return;
  }
  const microseconds wait = now - instant{microseconds{posted}};
  longest_wait_us_.store(std::max(longest_wait_us_.load(), wait.count()));
  handled_.fetch_add(batch_size_);
  if (wait > kLoggedWait && now >= next_log_) {
    next_log_ = now + kLogInterval;
    log_event(log_level::kWarning, "engine_behind")
        .With("wait_ms", std::chrono::floor<milliseconds>(wait).count())
        .With("steps", static_cast<int64_t>(batch_size_));
  }
}

microseconds engine_queue::Age(instant now) const {
  const int64_t posted = batch_posted_.load();
  if (posted != 0) {
    return now - instant{microseconds{posted}};
  }
  microseconds age{0};
  steps_.VisitOldest(
      [&](const posted_step& oldest) { age = now - oldest.posted; });
  return age;
}

std::string engine_queue::Render(instant now) const {
  const auto seconds = [](microseconds value) {
    return std::chrono::duration<double>(value).count();
  };
  std::ostringstream page;
  page << "tarragondrift_engine_wait_seconds " << seconds(Age(now)) << '\n'
       << "tarragondrift_engine_longest_wait_seconds "
       << seconds(microseconds{longest_wait_us_.load()}) << '\n'
       << "tarragondrift_engine_steps_total " << handled_.load() << '\n';
  return page.str();
}

}  // namespace tarragondrift
