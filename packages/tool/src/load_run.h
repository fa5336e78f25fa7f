// Open-loop load: arrivals are drawn ahead, and each answer time counts from
// its intended start, so that a slow entry cannot slow its own measurement.
#ifndef TARRAGONDRIFT_TOOL_LOAD_RUN_H_
#define TARRAGONDRIFT_TOOL_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "settings.h"

namespace tarragondrift {

using load_clock = std::chrono::steady_clock;

/// One answered job of the load.
struct load_sample {
  /// From the intended start to the whole answer.
  std::chrono::nanoseconds latency{0};
  /// From the intended start to the moment it was really sent.
  std::chrono::nanoseconds send_delay{0};
  bool succeeded = false;
};

/// What the samples come to.
struct load_summary {
  size_t jobs = 0;
  size_t failed = 0;
  double slowdown_p50 = 0;
  double slowdown_p99 = 0;
  double slowdown_p999 = 0;
  std::chrono::duration<double, std::milli> added_p99{0};
  /// Jobs that were sent more than a millisecond after they were due.
  size_t sent_late = 0;
};

/// Draws the times at which jobs are due, as a Poisson process.
/// @return offsets from the start, ascending, below the duration.
std::vector<std::chrono::nanoseconds> DrawArrivals(
    const load_settings& settings);

/// Sends one job and waits for its answer.
/// @return whether it succeeded.
using job_sender = std::function<bool()>;

/// Sends a job at each arrival with as many threads as connections.
std::vector<load_sample> RunArrivals(
    const std::vector<std::chrono::nanoseconds>& arrivals, uint32_t connections,
    const job_sender& send);

/// Summarises samples against the ideal time of a job.
load_summary SummariseLoad(const std::vector<load_sample>& samples,
                           std::chrono::nanoseconds ideal);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_LOAD_RUN_H_
