// Counters of an entry, and the metrics page.
#ifndef TARRAGONDRIFT_DAEMON_METRICS_H_
#define TARRAGONDRIFT_DAEMON_METRICS_H_

#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "engine_events.h"
#include "tarragondrift/core/burn_cmd.h"
#include "tarragondrift/gate/upstream_client.h"

namespace tarragondrift {

/// Quantiles of durations, estimated in constant memory.
class duration_summary {
 public:
  duration_summary();

  void Add(std::chrono::microseconds value);

  /// Appends the summary to the page in the Prometheus text format.
  void Render(const std::string& name, std::string& page) const;

 private:
  using accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;

  accumulator values_;
};

/// Counts of messages that leave the process.
struct message_counts {
  std::atomic<uint64_t> peers{0};
  std::atomic<uint64_t> platform{0};
};

/// Counters of an entry; thread-safe.
class metrics {
 public:
  /// Counts an attempt that is sent to an upstream.
  void CountStart() { starts_.fetch_add(1, std::memory_order_relaxed); }

  /// Counts the end of an attempt.
  void CountEnd(const attempt_result& ended);

  /// Counts an answer by its code.
  void CountAnswer(const job_answer& answer);

  /// Counts an answer against the objective of its contract (error-budget
  /// burn).
  void CountBurn(const contract_config& contract, const std::string& team,
                 const job_answer& answer);

  /// Returns the counts for `report burn`.
  burn_counts Burn() const;

  message_counts& Messages() { return messages_; }

  /// Returns all metrics in the Prometheus text format.
  std::string Render(const engine_status& status,
                     const upstream_counts& upstreams) const;

 private:
  std::atomic<uint64_t> starts_{0};
  message_counts messages_;
  mutable std::mutex mutex_;
  burn_counts burn_;
  std::map<result_code, uint64_t> answers_;
  std::map<attempt_outcome, uint64_t> ends_;
  duration_summary response_time_;
  duration_summary service_time_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_METRICS_H_
