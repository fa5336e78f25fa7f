// Counters of an entry that controls workers, and the metrics page.
#ifndef TARRAGONDRIFT_DAEMON_FLEET_METRICS_H_
#define TARRAGONDRIFT_DAEMON_FLEET_METRICS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "tarragondrift/core/result_code.h"
#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift {

/// An evacuated data centre and what this entry still has in it.
struct evacuated_data_centre {
  std::string name;
  /// Time since this entry learned of it.
  std::chrono::milliseconds age{0};
  /// Workers that this entry controls there, and their runs.
  size_t workers = 0;
  size_t runs = 0;
};

/// State of the engine at one instant, for the metrics page.
struct fleet_snapshot {
  fleet::engine_counts counts;
  uint64_t config_version = 0;
  size_t jobs = 0;
  size_t parts = 0;
  size_t queued_tasks = 0;
  size_t workers_listed = 0;
  size_t workers_held = 0;
  size_t runs = 0;
  size_t peers = 0;
  size_t peers_silent = 0;
  uint64_t log_lines_dropped = 0;
  std::vector<evacuated_data_centre> evacuated;
  fleet::speed_classes speed_bounds;
  /// Controlled workers, indexed by speed class.
  std::array<size_t, fleet::kSpeedClasses> workers_by_speed{};
  std::vector<fleet::band_snapshot> shares;
};

/// Returns the state of an engine at `now`.
fleet_snapshot SnapshotOf(const fleet::engine& state, instant now);

/// Histogram of durations with fixed buckets, in constant memory.
class duration_histogram {
 public:
  /// Upper bounds of the buckets, in milliseconds. The latency objectives of
  /// users lie between 150 ms and 1.5 s.
  static constexpr std::array<uint32_t, 10> kBoundsMs{
      10, 25, 50, 100, 150, 250, 500, 1'000, 1'500, 5'000};

  void Add(std::chrono::microseconds value);

  /// Appends the histogram to the page in the Prometheus text format.
  void Render(const std::string& name, std::string& page) const;

 private:
  std::array<uint64_t, kBoundsMs.size()> counts_{};
  uint64_t count_ = 0;
  std::chrono::microseconds sum_{0};
};

/// Counters and latencies; thread-safe.
class fleet_metrics {
 public:
  /// Adds the latency of an answer.
  void CountAnswer(result_code code, std::chrono::microseconds latency);

  /// Replaces the state that the page shows.
  void Update(const fleet_snapshot& snapshot);

  /// Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  mutable std::mutex mutex_;
  fleet_snapshot snapshot_;
  duration_histogram served_;
  duration_histogram refused_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_FLEET_METRICS_H_
