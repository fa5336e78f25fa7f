// Follows the rows of a table: lists them, then long-polls for changes.
#ifndef TARRAGONDRIFT_DAEMON_TABLE_FOLLOWER_H_
#define TARRAGONDRIFT_DAEMON_TABLE_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/ports.h"

namespace tarragondrift {

/// Runs a function on the thread that owns the follower.
using run_on_owner = std::function<void(std::function<void(instant)>)>;

struct table_follower_options {
  std::string table;
  /// Long-poll timeout. It bounds the time until a dead connection is detected;
  /// an accepted configuration must be in force within 2 s.
  std::chrono::milliseconds wait{1'000};
  /// Pause after each successful call, so that rows that change often arrive in
  /// batches.
  std::chrono::milliseconds batch_pause{0};
  /// Backoff after a failed call, doubled up to max_backoff.
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds max_backoff{800};
};

/// Reports all rows in the order of the list's pages, then their changes in the
/// order of their versions. Changes made during the list may be reported twice.
/// Not thread-safe.
class table_follower {
 public:
  using change_handler = std::function<void(const fleet::row_change&, instant)>;

  /// @param rows refers to the owner's pointer, which is dereferenced for each
  /// call since the owner may replace the port.
  table_follower(table_follower_options options,
                 const std::unique_ptr<fleet::row_port>& rows, run_on_owner run,
                 change_handler handler);

  /// Starts the next call if it is due and no call is in flight.
  void Tick(instant now);

  /// Returns when the next call is due, or nothing while one is in flight or
  /// following is paused.
  std::optional<instant> NextCall() const {
    return active_ && !in_flight_ ? std::optional(next_call_) : std::nullopt;
  }

  /// Pauses or resumes following; active at first. The rows known so far stay
  /// until the list that a resumption begins with is complete.
  void SetActive(bool active, instant now);

  /// Whether a complete list was read and its changes are being followed.
  bool HasListed() const { return listed_; }

  /// Whether a complete list was read since the start or the last resumption,
  /// even if the store was lost since then.
  bool IsComplete() const { return complete_; }

  /// Returns the version up to which changes have been reported; valid while
  /// HasListed() holds.
  uint64_t Version() const { return version_; }

  /// Returns when the last call succeeded, nothing before the first one.
  std::optional<instant> LastSuccess() const { return last_success_; }

  /// Whether HasListed() holds and the last call succeeded.
  bool IsHealthy() const { return listed_ && healthy_; }

 private:
  void List();
  void Follow();
  void OnListed(const fleet::row_batch& batch, instant now);
  void OnFollowed(const fleet::row_batch& batch, instant now);
  void NotifyChange(const fleet::row_change& change, instant now);
  void OnSuccess(instant now);
  void OnFailure(instant now);
  void RemoveUnlisted(instant now);

  table_follower_options options_;
  const std::unique_ptr<fleet::row_port>& rows_;
  run_on_owner run_on_owner_;
  change_handler handler_;
  bool active_ = true;
  bool in_flight_ = false;
  /// The call in flight was made before following was resumed.
  bool outdated_call_ = false;
  bool listed_ = false;
  bool complete_ = false;
  bool healthy_ = false;
  instant next_call_;
  std::optional<instant> last_success_;
  std::chrono::milliseconds backoff_{0};
  uint64_t version_ = 0;
  /// Version of the first page of the list that is being read.
  uint64_t list_version_ = 0;
  /// Key after which the next page of the list begins; empty for the first
  /// page.
  std::string list_after_;
  std::set<std::string> known_keys_;
  std::set<std::string> listed_keys_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_TABLE_FOLLOWER_H_
