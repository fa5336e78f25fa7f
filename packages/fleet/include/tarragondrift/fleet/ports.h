// The ports of an entry to workers and to the platform's rows.
#ifndef TARRAGONDRIFT_FLEET_PORTS_H_
#define TARRAGONDRIFT_FLEET_PORTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Takes a reply and the worker's clock in milliseconds, 0 when not told.
template <class Reply>
using worker_callback = std::function<void(Reply, int64_t clock_ms)>;

/// Sends orders to workers. Callbacks come once, on any thread.
class worker_port {
 public:
  virtual ~worker_port() = default;

  virtual void Start(const start_order& order,
                     worker_callback<start_outcome> done) = 0;
  virtual void Stop(const stop_order& order,
                    worker_callback<stop_outcome> done) = 0;
  virtual void Poll(const poll_order& order,
                    worker_callback<poll_reply> done) = 0;
};

/// A row of a table, or the news that it was deleted.
struct row_change {
  std::string key;
  std::string value;
  bool removed = false;
};

enum class row_outcome : uint8_t {
  kOk,
  /// The wanted part of the history is no longer there: list again.
  kHistoryLost,
  /// Nothing was done.
  kUnavailable,
  /// A write may or may not have been done.
  kUnknown,
  /// A conditional write met another version.
  kConflict,
};

/// Rows of a table, and the version that they are of.
struct row_batch {
  row_outcome outcome = row_outcome::kUnavailable;
  std::vector<row_change> rows;
  uint64_t version = 0;
  /// More rows follow after the last one.
  bool more = false;
};

/// A row that is to be written or deleted.
struct row_update {
  std::string table;
  std::string key;
  std::string value;
  bool remove = false;
  /// Version that the row must have, 0 for "must not exist"; unset for any.
  std::optional<uint64_t> expected;
};

/// One row with its version.
struct versioned_row {
  row_outcome outcome = row_outcome::kUnavailable;
  std::string value;
  /// 0 when the row does not exist.
  uint64_t version = 0;
};

/// The platform's table service. Callbacks come once, on any thread.
class row_port {
 public:
  virtual ~row_port() = default;

  /// Reads one row.
  virtual void Read(const std::string& table, const std::string& key,
                    std::function<void(versioned_row)> done) = 0;

  /// Lists rows with keys above `after`.
  virtual void List(const std::string& table, const std::string& after,
                    std::function<void(row_batch)> done) = 0;

  /// Waits for changes above a version, at most for `wait`.
  virtual void Follow(const std::string& table, uint64_t version,
                      std::chrono::milliseconds wait,
                      std::function<void(row_batch)> done) = 0;

  virtual void Write(const row_update& update,
                     std::function<void(row_outcome)> done) = 0;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PORTS_H_
