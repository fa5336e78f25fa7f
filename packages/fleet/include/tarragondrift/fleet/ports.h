// Interfaces of an entry to the workers and to the platform's table service.
#ifndef TARRAGONDRIFT_FLEET_PORTS_H_
#define TARRAGONDRIFT_FLEET_PORTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Receives a reply and the worker's clock in milliseconds, 0 if not reported.
template <class Reply>
using worker_callback = std::function<void(Reply, int64_t clock_ms)>;

/// Sends orders to workers. Each callback is called once, on any thread.
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

/// A row of a table that was written or deleted.
struct row_change {
  std::string key;
  std::string value;
  bool removed = false;
  /// Version of the row, or of its deletion; a deletion that only shows in a
  /// list has the version of the list. 0 if unknown.
  uint64_t version = 0;
};

enum class row_outcome : uint8_t {
  kOk,
  /// The requested change history is no longer kept; list the table again.
  kHistoryLost,
  /// The call had no effect.
  kUnavailable,
  /// A write may or may not have taken effect.
  kUnknown,
  /// A conditional write found another version.
  kConflict,
};

/// Rows of a table and their version.
struct row_batch {
  row_outcome outcome = row_outcome::kUnavailable;
  std::vector<row_change> rows;
  uint64_t version = 0;
  /// More rows follow after the last one, or more changes may.
  bool more = false;
};

/// A table, or one of its parts. Transactions of one part follow one another.
struct table_part {
  table_part(const char* table_name) : table(table_name) {}  // NOLINT: implicit
  table_part(std::string table_name, std::string part_name = {})  // NOLINT
      : table(std::move(table_name)), part(std::move(part_name)) {}

  std::string table;
  /// Empty for the unnamed part.
  std::string part;
};

/// A row to write or delete.
struct row_update {
  std::string table;
  std::string part;
  std::string key;
  std::string value;
  bool remove = false;
  /// Version that the row must have; 0 if it must not exist, unset for any.
  std::optional<uint64_t> expected;
};

/// A row with its version.
struct versioned_row {
  row_outcome outcome = row_outcome::kUnavailable;
  std::string value;
  /// 0 if the row does not exist.
  uint64_t version = 0;
};

/// The platform's table service. Each callback is called once, on any thread.
class row_port {
 public:
  virtual ~row_port() = default;

  virtual void Read(const table_part& from, const std::string& key,
                    std::function<void(versioned_row)> done) = 0;

  /// Lists rows with keys above `after`.
  virtual void List(const table_part& from, const std::string& after,
                    std::function<void(row_batch)> done) = 0;

  /// Long-polls for changes above a version, at most for `wait`.
  virtual void Follow(const std::string& table, uint64_t version,
                      std::chrono::milliseconds wait,
                      std::function<void(row_batch)> done) = 0;

  virtual void Write(const row_update& update,
                     std::function<void(row_outcome)> done) = 0;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PORTS_H_
