#include "operator_watch.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "logging.h"
#include "platform/operator_config.h"

namespace tarragondrift {
namespace {

/// Limit of a wait while a call to the store is in flight, whose reply ends it.
constexpr std::chrono::seconds kIdleWait{1};
/// Calls begin at least this far apart, also if the store answers long polls at
/// once: it limits the calls of all entries together.
constexpr std::chrono::milliseconds kMinCallInterval{20};

}  // namespace

operator_watch::operator_watch(std::unique_ptr<fleet::row_port> rows,
                               config_progress& progress,
                               std::function<void()> changed)
    : progress_(progress),
      changed_(std::move(changed)),
      rows_(std::move(rows)),
      follower_(
          {.table = platform::kConfigTable}, rows_,
          [this](step reply) { steps_.Push(std::move(reply)); },
          [this](const fleet::row_change& row, instant) { OnRow(row); }) {}

void operator_watch::Start() {
  thread_ = std::thread([this] { Loop(); });
}

void operator_watch::Stop() {
  steps_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void operator_watch::ReplaceStore(std::unique_ptr<fleet::row_port> rows) {
  // The step must be copyable.
  auto replacement =
      std::make_shared<std::unique_ptr<fleet::row_port>>(std::move(rows));
  steps_.Push(
      [this, replacement](instant) { rows_ = std::move(*replacement); });
}

void operator_watch::Loop() {
  instant earliest_call;
  while (!steps_.Closed()) {
    const instant now = Now();
    instant limit = now + kIdleWait;
    if (const auto due = follower_.NextCall()) {
      limit = std::max(*due, earliest_call);
    }
    if (limit <= now) {
      earliest_call = now + kMinCallInterval;
      follower_.Tick(now);
      continue;
    }
    for (const step& reply : steps_.TakeUntil(ToSteady(limit))) {
      reply(Now());
      PublishTable(Now());
    }
  }
}

void operator_watch::OnRow(const fleet::row_change& row) {
  if (row.key == platform::kConfigKey && !row.removed) {
    TakeConfig(row.value, config_source::kStore, Now());
  }
  const auto data_centre = platform::ParseEvacuationKey(row.key);
  if (!data_centre) {
    return;
  }
  if (row.removed) {
    evacuated_.erase(*data_centre);
  } else if (platform::IsEvacuationRequest(row.value)) {
    evacuated_.insert(*data_centre);
  } else {
    log_event(log_level::kWarning, "evacuation_unreadable")
        .With("key_bytes", static_cast<int64_t>(row.key.size()));
  }
}

void operator_watch::OfferConfig(uint64_t version, const std::string& text,
                                 instant heard) {
  const auto known = Config();
  if (known == nullptr || version > known->config.version) {
    TakeConfig(text, config_source::kPeer, heard);
  }
}

void operator_watch::TakeConfig(const std::string& text, config_source source,
                                instant heard) {
  auto parsed = platform::ParseOperatorConfig(text);
  if (!parsed) {
    log_event(log_level::kWarning, "config_unreadable")
        .With("source", DescribeSource(source));
    return;
  }
  const uint64_t version = parsed.value().version;
  progress_.Heard(source, version, heard);
  {
    const std::scoped_lock lock(config_mutex_);
    const auto known = config_.load();
    if (known != nullptr && version <= known->config.version) {
      return;
    }
    config_.store(std::make_shared<const known_config>(
        known_config{.config = std::move(parsed).value(),
                     .text = text,
                     .source = source,
                     .heard = heard}));
  }
  CountChange();
}

void operator_watch::PublishTable(instant now) {
  // Before the first list is complete, and while a list is read again, rows may
  // be missing.
  if (!follower_.HasListed()) {
    return;
  }
  if (follower_.IsHealthy()) {
    last_read_us_.store(now.time_since_epoch().count());
  }
  const auto known = evacuations_.load();
  if (known != nullptr && known->version == follower_.Version()) {
    return;
  }
  const bool changed = known == nullptr || known->data_centres != evacuated_;
  evacuations_.store(std::make_shared<const fleet::evacuation_snapshot>(
      fleet::evacuation_snapshot{.version = follower_.Version(),
                                 .data_centres = evacuated_}));
  if (changed) {
    CountChange();
  }
}

void operator_watch::CountChange() {
  revision_.fetch_add(1);
  changed_();
}

}  // namespace tarragondrift
