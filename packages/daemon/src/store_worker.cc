#include "store_worker.h"

#include <algorithm>
#include <unordered_set>

#include "clock.h"
#include "store_rows.h"

namespace tarragondrift {
namespace {

/// How long the thread sleeps when nothing waits.
constexpr std::chrono::seconds kIdleWait{60};

/// Turns a store's error into an outcome.
store_outcome ToOutcome(result_code code) {
  switch (code) {
    case result_code::kStoreConflict:
      return store_outcome::kConflict;
    case result_code::kStoreUnknown:
      return store_outcome::kUnknown;
    default:
      return store_outcome::kUnavailable;
  }
}

store_outcome ToOutcome(const result<void>& written) {
  return written ? store_outcome::kApplied : ToOutcome(written.error());
}

/// Makes the event of a record whose outcome needs no further look.
engine_event PlainEvent(const start_record& record, store_outcome outcome) {
  if (const auto* const claim = std::get_if<claim_key>(&record)) {
    return claim_ended_event{.id = claim->id, .claim = {.outcome = outcome}};
  }
  return record_ended_event{.id = std::get<record_intent>(record).id,
                            .outcome = outcome};
}

/// Tells who holds a key, from its row.
engine_event HeldKeyEvent(const claim_key& claim, const std::string& value) {
  const std::optional<key_claim> holder = ParseKeyHolder(value);
  if (!holder.has_value()) {
    return PlainEvent(claim, store_outcome::kUnknown);
  }
  if (holder->holder == claim.id) {
    return PlainEvent(claim, store_outcome::kApplied);
  }
  return claim_ended_event{.id = claim.id, .claim = *holder};
}

/// Finds out what became of a record whose insert did not plainly succeed.
engine_event ReadRecordBack(table_port& table, const start_record& record) {
  const result<table_row> row = table.Get(RecordRow(record).key);
  if (!row) {
    // A write whose reply was lost may still arrive, so that an absent row
    // proves nothing.
    return PlainEvent(record, store_outcome::kUnknown);
  }
  if (const auto* const claim = std::get_if<claim_key>(&record)) {
    return HeldKeyEvent(*claim, row.value().value);
  }
  const bool own = row.value().value == kIntentStarted;
  return PlainEvent(record,
                    own ? store_outcome::kApplied : store_outcome::kConflict);
}

engine_event WriteOne(table_port& table, const start_record& record) {
  const store_outcome outcome = ToOutcome(table.Write({RecordRow(record)}));
  const bool plain = outcome == store_outcome::kApplied ||
                     outcome == store_outcome::kUnavailable;
  return plain ? PlainEvent(record, outcome) : ReadRecordBack(table, record);
}

/// Tells whether two records have the same row, which no write may hold twice.
bool HaveTwins(const std::vector<table_write>& rows) {
  std::unordered_set<std::string> keys;
  return std::any_of(rows.begin(), rows.end(), [&keys](const table_write& row) {
    return !keys.insert(row.key).second;
  });
}

}  // namespace

std::vector<engine_event> WriteRecords(
    table_port& table, const std::vector<start_record>& records) {
  std::vector<table_write> rows;
  rows.reserve(records.size());
  for (const start_record& record : records) {
    rows.push_back(RecordRow(record));
  }
  std::vector<engine_event> events;
  events.reserve(records.size());
  if (rows.size() > 1 && !HaveTwins(rows)) {
    const store_outcome outcome = ToOutcome(table.Write(rows));
    if (outcome == store_outcome::kApplied ||
        outcome == store_outcome::kUnavailable) {
      for (const start_record& record : records) {
        events.push_back(PlainEvent(record, outcome));
      }
      return events;
    }
    if (outcome == store_outcome::kUnknown) {
      for (const start_record& record : records) {
        events.push_back(ReadRecordBack(table, record));
      }
      return events;
    }
  }
  for (const start_record& record : records) {
    events.push_back(WriteOne(table, record));
  }
  return events;
}

fence_outcome FenceIntent(table_port& table, const submission_id& id) {
  const table_write fence = IntentRow(id, kIntentFenced);
  const result<void> written = table.Write({fence});
  if (written) {
    return fence_outcome::kFenced;
  }
  const result<table_row> row = table.Get(fence.key);
  if (!row) {
    return fence_outcome::kUnknown;
  }
  return row.value().value == kIntentFenced ? fence_outcome::kFenced
                                            : fence_outcome::kRecorded;
}

interval_ended_event ClaimKeyInterval(table_port& table,
                                      const key_interval& interval,
                                      incarnation self) {
  const table_write claim = IntervalRow(interval, self);
  interval_ended_event ended{.interval = interval, .holder = self};
  ended.outcome = ToOutcome(table.Write({claim}));
  if (ended.outcome == store_outcome::kApplied ||
      ended.outcome == store_outcome::kUnavailable) {
    return ended;
  }
  const result<table_row> row = table.Get(claim.key);
  const auto holder = row ? ParseIncarnation(row.value().value) : std::nullopt;
  if (!holder.has_value()) {
    ended.outcome = store_outcome::kUnknown;
    return ended;
  }
  ended.holder = *holder;
  ended.outcome =
      *holder == self ? store_outcome::kApplied : store_outcome::kConflict;
  return ended;
}

store_worker::store_worker(table_port& table, incarnation self,
                           event_sink ended)
    : table_(table),
      self_(self),
      ended_(std::move(ended)),
      thread_([this] { Loop(); }) {}

store_worker::~store_worker() {
  mailbox_.Close();
  thread_.join();
}

void store_worker::Take(const fence_intent& asked) {
  ended_(fence_ended_event{.asked = asked,
                           .outcome = FenceIntent(table_, asked.id)});
}

void store_worker::Take(const claim_interval& claim) {
  ended_(ClaimKeyInterval(table_, claim.interval, self_));
}

void store_worker::Loop() {
  while (!mailbox_.Closed()) {
    const instant wake = group_.waiting.empty()
                             ? Now() + kIdleWait
                             : group_.next_write.value_or(Now());
    for (order& one : mailbox_.TakeUntil(ToSteady(wake))) {
      std::visit([this](auto& wanted) { Take(wanted); }, one);
    }
    tarragondrift::SetWriters(group_, writers_.load());
    const std::vector<start_record> records = TakeWriteBatch(group_, Now());
    if (records.empty()) {
      continue;
    }
    for (engine_event& event : WriteRecords(table_, records)) {
      ended_(std::move(event));
    }
  }
}

}  // namespace tarragondrift
