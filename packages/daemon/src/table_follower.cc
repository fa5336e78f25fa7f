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
                               run_on_owner run, change_handler changed)
    : options_(std::move(options)),
      rows_(rows),
      run_(std::move(run)),
      changed_(std::move(changed)) {}

void table_follower::Tick(instant now) {
  if (in_flight_ || now < next_) {
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
  rows_->List(options_.table, after_, [this](const row_batch& batch) {
    run_([this, batch](instant now) { OnListed(batch, now); });
  });
}

void table_follower::Follow() {
  rows_->Follow(options_.table, version_, options_.wait,
                [this](const row_batch& batch) {
                  run_([this, batch](instant now) { OnFollowed(batch, now); });
                });
}

void table_follower::OnListed(const row_batch& batch, instant now) {
  in_flight_ = false;
  if (batch.outcome != row_outcome::kOk) {
    Fail(now);
    return;
  }
  if (after_.empty()) {
    // Changes made while later pages are read come again from here.
    list_version_ = batch.version;
    seen_.clear();
  }
  for (const row_change& row : batch.rows) {
    seen_.insert(row.key);
    Pass(row, now);
  }
  if (batch.more && !batch.rows.empty()) {
    after_ = batch.rows.back().key;
    return;
  }
  after_.clear();
  listed_ = true;
  version_ = list_version_;
  RemoveUnlisted(now);
  Succeed(now);
}

void table_follower::OnFollowed(const row_batch& batch, instant now) {
  in_flight_ = false;
  if (batch.outcome == row_outcome::kHistoryLost) {
    log_event(log_level::kInfo, "history_lost")
        .With("table", options_.table)
        .With("version", static_cast<int64_t>(version_));
    listed_ = false;
    return;
  }
  if (batch.outcome != row_outcome::kOk) {
    Fail(now);
    return;
  }
  for (const row_change& row : batch.rows) {
    Pass(row, now);
  }
  version_ = std::max(version_, batch.version);
  Succeed(now);
}

void table_follower::Pass(const row_change& change, instant now) {
  if (change.removed) {
    known_.erase(change.key);
  } else {
    known_.insert(change.key);
  }
  changed_(change, now);
}

void table_follower::RemoveUnlisted(instant now) {
  std::vector<std::string> gone;
  std::set_difference(known_.begin(), known_.end(), seen_.begin(), seen_.end(),
                      std::back_inserter(gone));
  for (const std::string& key : gone) {
    Pass({.key = key, .removed = true}, now);
  }
}

void table_follower::Succeed(instant now) {
  next_ = now + options_.batch_pause;
  if (!works_) {
    log_event(log_level::kInfo, "dependency_back")
        .With("dependency", "store")
        .With("table", options_.table)
        .With("version", static_cast<int64_t>(version_));
  }
  works_ = true;
  pause_ = std::chrono::milliseconds{0};
}

void table_follower::Fail(instant now) {
  if (works_) {
    log_event(log_level::kWarning, "dependency_lost")
        .With("dependency", "store")
        .With("table", options_.table)
        .With("version", static_cast<int64_t>(version_));
  }
  works_ = false;
  // A list that broke off begins again.
  after_.clear();
  pause_ = std::clamp(pause_ * 2, options_.first_pause, options_.longest_pause);
  next_ = now + pause_;
}

}  // namespace tarragondrift
