#include "engine_progress.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "logging.h"

namespace tarragondrift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kStallLimit{1'000};

void LogChange(const char* event, microseconds without_progress) {
  log_event(log_level::kWarning, event)
      .With("without_progress_ms",
            std::chrono::floor<milliseconds>(without_progress).count());
}

}  // namespace

void engine_progress::Check(instant now) {
  // A pause of the whole process is no stall of its engine, and counts as two
  // intervals at most.
  const microseconds since_check = std::min<microseconds>(
      last_check_ ? now - *last_check_ : microseconds{0}, 2 * kCheckInterval);
  last_check_ = now;
  const microseconds before{without_progress_us_.load()};
  const uint64_t iterations = iterations_.load();
  if (iterations != std::exchange(last_iterations_, iterations)) {
    without_progress_us_.store(0);
    if (stalled_.exchange(false)) {
      LogChange("engine_resumed", before);
    }
    return;
  }
  const microseconds without_progress = before + since_check;
  without_progress_us_.store(without_progress.count());
  if (without_progress >= kStallLimit && !stalled_.exchange(true)) {
    stalls_.fetch_add(1);
    LogChange("engine_stalled", without_progress);
  }
}

std::string engine_progress::Render() const {
  const std::chrono::duration<double> without_progress =
      microseconds{without_progress_us_.load()};
  std::ostringstream page;
  page << "tarragondrift_engine_stalled " << (stalled_.load() ? 1 : 0) << '\n'
       << "tarragondrift_engine_without_progress_seconds "
       << without_progress.count() << '\n'
       << "tarragondrift_engine_stalls_total " << stalls_.load() << '\n';
  return page.str();
}

}  // namespace tarragondrift
