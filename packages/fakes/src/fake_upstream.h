// The stand-in upstream: instances with slots, each on its own port, and one
// ledger of every start, so that a double start is seen where it would hurt.
#ifndef TARRAGONDRIFT_FAKES_FAKE_UPSTREAM_H_
#define TARRAGONDRIFT_FAKES_FAKE_UPSTREAM_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fake_http_server.h"

namespace tarragondrift {

/// How an instance behaves.
enum class upstream_mode : uint8_t {
  kServing,
  /// Takes tasks and never answers.
  kHanging,
  /// Fails every task at once.
  kFailing,
  /// Refuses every task.
  kRefusing,
  /// Refuses every task and says that it is leaving.
  kLeaving,
  /// Takes the task, runs it, and loses the answer.
  kReplyLost,
};

/// Ports and behaviour of a stand-in upstream; port 0 takes free ones.
struct fake_upstream_options {
  uint16_t first_port = 0;
  uint16_t admin_port = 0;
  uint32_t instances = 1;
  uint32_t slots = 8;
  /// Running times of tasks whose payload names none: uniform between these,
  /// drawn from the seed and the task's key.
  std::chrono::milliseconds shortest{50};
  std::chrono::milliseconds longest{1'000};
  uint64_t seed = 1;
};

/// What a stand-in upstream has seen.
struct upstream_stats {
  uint64_t starts = 0;
  /// Starts of a key that had started before.
  uint64_t double_starts = 0;
  uint64_t refusals = 0;
  /// Tasks that came while all slots of the instance were busy.
  uint64_t overruns = 0;
  uint32_t max_in_flight = 0;
  std::vector<std::string> duplicates;
};

/// Every start by its key.
class start_ledger {
 public:
  /// Records a start.
  void Record(const std::string& key);

  /// Adds starts and duplicates to the statistics.
  void Report(upstream_stats& stats) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> starts_;
  uint64_t total_ = 0;
};

/// One instance.
class fake_upstream_instance {
 public:
  fake_upstream_instance(const fake_upstream_options& options,
                         start_ledger& ledger);

  fake_http_server& Server() { return server_; }
  void SetMode(upstream_mode mode) { mode_ = mode; }

  /// Adds what this instance counted to the statistics.
  void Report(upstream_stats& stats) const;

 private:
  fake_reply Handle(const fake_request& request);
  fake_reply Run(const fake_request& request);
  fake_reply Refuse(bool leaving);
  bool TakeSlot();

  const fake_upstream_options& options_;
  start_ledger& ledger_;
  std::atomic<upstream_mode> mode_ = upstream_mode::kServing;
  mutable std::mutex mutex_;
  uint32_t in_flight_ = 0;
  uint32_t max_in_flight_ = 0;
  uint64_t overruns_ = 0;
  std::atomic<uint64_t> refusals_ = 0;
  fake_http_server server_;
};

/// Several instances in one process, with an admin port:
/// GET /stats and POST /mode {"instance": address or absent, "mode": name}.
class fake_upstream {
 public:
  explicit fake_upstream(const fake_upstream_options& options);

  /// Starts every port.
  /// @return false when one cannot be had.
  bool Start();

  /// Stops every port.
  void Stop();

  /// @return the instances' addresses.
  std::vector<std::string> Addresses() const;

  /// Sets the mode of one instance, or of all with an empty address.
  /// @return false when there is no such instance.
  bool SetMode(const std::string& address, upstream_mode mode);

  /// Reads what all instances have seen.
  upstream_stats Stats() const;

  /// @return the base address of the admin port.
  std::string AdminUrl() const { return "http://" + admin_server_.Address(); }

 private:
  fake_reply HandleAdmin(const fake_request& request);
  fake_reply ChangeMode(const fake_request& request);

  fake_upstream_options options_;
  start_ledger ledger_;
  std::vector<std::unique_ptr<fake_upstream_instance>> instances_;
  fake_http_server admin_server_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FAKE_UPSTREAM_H_
