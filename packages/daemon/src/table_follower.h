// Follows the rows of one table: lists them, then waits for changes.
#ifndef TARRAGONDRIFT_DAEMON_TABLE_FOLLOWER_H_
#define TARRAGONDRIFT_DAEMON_TABLE_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/ports.h"

namespace tarragondrift {

/// Runs a function on the thread that owns the follower.
using run_on_owner = std::function<void(std::function<void(instant)>)>;

/// Options of a follower.
struct table_follower_options {
  std::string table;
  /// Longest wait of one call for changes. A connection that went silent is
  /// noticed after it; accepted configurations have 2 s to be in force.
  std::chrono::milliseconds wait{1'000};
  /// Pause after a call that brought changes: rows that change often then come
  /// in batches.
  std::chrono::milliseconds batch_pause{0};
  /// Pause after a call that failed, doubled up to the longest.
  std::chrono::milliseconds first_pause{100};
  std::chrono::milliseconds longest_pause{800};
};

/// Tells of rows in the order of their versions; owned by one thread.
class table_follower {
 public:
  using change_handler = std::function<void(const fleet::row_change&, instant)>;

  /// @param rows the port in use, looked up anew for each call.
  table_follower(table_follower_options options,
                 const std::unique_ptr<fleet::row_port>& rows, run_on_owner run,
                 change_handler changed);

  /// Starts the next call when one is due.
  void Tick(instant now);

  /// Tells whether a whole list was read, and is followed since.
  bool HasListed() const { return listed_; }

  /// Tells whether a whole list was read and the last call was answered.
  bool Works() const { return listed_ && works_; }

 private:
  void List();
  void Follow();
  void OnListed(const fleet::row_batch& batch, instant now);
  void OnFollowed(const fleet::row_batch& batch, instant now);
  void Pass(const fleet::row_change& change, instant now);
  void Succeed(instant now);
  void Fail(instant now);
  void RemoveUnlisted(instant now);

  table_follower_options options_;
  const std::unique_ptr<fleet::row_port>& rows_;
  run_on_owner run_;
  change_handler changed_;
  bool in_flight_ = false;
  bool listed_ = false;
  bool works_ = false;
  instant next_;
  std::chrono::milliseconds pause_{0};
  uint64_t version_ = 0;
  /// Version of the first page of a list that is being read.
  uint64_t list_version_ = 0;
  std::string after_;
  std::set<std::string> known_;
  std::set<std::string> seen_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_TABLE_FOLLOWER_H_
