#include "table_follower.h"

#include <algorithm>
#include <utility>

#include "logging.h"

namespace tarragondrift {

using fleet::row_batch;
using fleet::row_change;
using fleet::row_outcome;

table_follower::table_follower(table_follower_options options,
                               const std::unique_ptr<fleet::row_port>& rows,
                               run_on_owner run, change_handler handler)
    : options_(std::move(options)),
      rows_(rows),
      run_on_owner_(std::move(run)),
      handler_(std::move(handler)) {}

void table_follower::SetActive(bool active, instant now) {
  if (active == std::exchange(active_, active) || !active) {
    return;
  }
  listed_ = false;
  complete_ = false;
  list_after_.clear();
  outdated_call_ = in_flight_;
  next_call_ = now;
}

void table_follower::Tick(instant now) {
  if (!active_ || in_flight_ || now < next_call_) {
    return;
  }
  in_flight_ = true;
  if (listed_) {
    Follow();
  } else {
    List();
  }
}

void table_follower::List() {
  rows_->List(options_.table, list_after_, [this](const row_batch& batch) {
    run_on_owner_([this, batch](instant now) { OnListed(batch, now); });
  });
}

void table_follower::Follow() {
  // After a failure the connection may be dead, which shows sooner by a call
  // that the store answers at once.
  const auto wait = healthy_ ? options_.wait : std::chrono::milliseconds{0};
  rows_->Follow(options_.table, version_, wait, [this](const row_batch& batch) {
    run_on_owner_([this, batch](instant now) { OnFollowed(batch, now); });
  });
}

void table_follower::OnListed(const row_batch& batch, instant now) {
  in_flight_ = false;
  if (std::exchange(outdated_call_, false)) {
    return;
  }
  if (batch.outcome != row_outcome::kOk) {
    OnFailure(now);
    return;
  }
  if (list_after_.empty()) {
    // Following starts at the version of the first page, so that changes made
    // while later pages are read are reported.
    list_version_ = batch.version;
    listed_keys_.clear();
  }
  for (const row_change& row : batch.rows) {
    listed_keys_.insert(row.key);
    NotifyChange(row, now);
  }
  if (batch.more && !batch.rows.empty()) {
    list_after_ = batch.rows.back().key;
    return;
  }
  list_after_.clear();
  listed_ = true;
  complete_ = true;
  version_ = list_version_;
  RemoveUnlisted(now);
  OnSuccess(now);
}

void table_follower::OnFollowed(const row_batch& batch, instant now) {
  in_flight_ = false;
  if (std::exchange(outdated_call_, false)) {
    return;
  }
  if (batch.outcome == row_outcome::kHistoryLost) {
    log_event(log_level::kInfo, "history_lost")
        .With("table", options_.table)
        .With("version", static_cast<int64_t>(version_));
    listed_ = false;
    return;
  }
  if (batch.outcome != row_outcome::kOk) {
    OnFailure(now);
    return;
  }
  for (const row_change& row : batch.rows) {
    NotifyChange(row, now);
  }
  version_ = std::max(version_, batch.version);
  OnSuccess(now);
  if (batch.more) {
    // With a pause after each reply, rows that change faster than one reply per
    // pause would never be caught up with after an outage.
    next_call_ = now;
  }
}

void table_follower::NotifyChange(const row_change& change, instant now) {
  if (change.removed) {
    known_keys_.erase(change.key);
  } else {
    known_keys_.insert(change.key);
  }
  handler_(change, now);
}

void table_follower::RemoveUnlisted(instant now) {
  std::vector<std::string> unlisted_keys;
  std::set_difference(known_keys_.begin(), known_keys_.end(),
                      listed_keys_.begin(), listed_keys_.end(),
                      std::back_inserter(unlisted_keys));
  for (const std::string& key : unlisted_keys) {
    NotifyChange({.key = key, .removed = true, .version = list_version_}, now);
  }
}

void table_follower::OnSuccess(instant now) {
  next_call_ = now + options_.batch_pause;
  last_success_ = now;
  if (!healthy_) {
    log_event(log_level::kInfo, "dependency_back")
        .With("dependency", "store")
        .With("table", options_.table)
        .With("version", static_cast<int64_t>(version_));
  }
  healthy_ = true;
  backoff_ = std::chrono::milliseconds{0};
}

void table_follower::OnFailure(instant now) {
  if (healthy_) {
    log_event(log_level::kWarning, "dependency_lost")
        .With("dependency", "store")
        .With("table", options_.table)
        .With("version", static_cast<int64_t>(version_));
  }
  healthy_ = false;
  // An interrupted list is read again from its first page.
  list_after_.clear();
  backoff_ =
      std::clamp(backoff_ * 2, options_.initial_backoff, options_.max_backoff);
  next_call_ = now + backoff_;
}

}  // namespace tarragondrift
