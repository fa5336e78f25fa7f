#include "store_worker.h"

#include <algorithm>
#include <unordered_set>

#include "clock.h"
#include "store_rows.h"

namespace tarragondrift {
namespace {

/// Longest wait of the thread while no record is queued.
constexpr std::chrono::seconds kIdleWait{60};

/// Converts an error of the store to an outcome.
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

/// Returns the event of a record whose outcome is known without reading its
/// row.
engine_event OutcomeEvent(const start_record& record, store_outcome outcome) {
  if (const auto* const claim = std::get_if<claim_key>(&record)) {
    return claim_ended_event{.id = claim->id, .claim = {.outcome = outcome}};
  }
  return record_ended_event{.id = std::get<record_intent>(record).id,
                            .outcome = outcome};
}

/// Returns the event of a key claim from the value of the existing row.
engine_event ExistingKeyEvent(const claim_key& claim,
                              const std::string& value) {
  const std::optional<key_claim> holder = ParseKeyHolder(value);
  if (!holder.has_value()) {
    return OutcomeEvent(claim, store_outcome::kUnknown);
  }
  if (holder->holder == claim.id) {
    return OutcomeEvent(claim, store_outcome::kApplied);
  }
  return claim_ended_event{.id = claim.id, .claim = *holder};
}

/// Reads the row of a record to determine the outcome of an insert that met a
/// conflict or whose reply was lost.
engine_event ReadRecordBack(table_port& table, const start_record& record) {
  const result<table_row> row = table.Get(RecordRow(record).key);
  if (!row) {
    // A write whose reply was lost may still arrive, so an absent row does not
    // prove that the write had no effect.
    return OutcomeEvent(record, store_outcome::kUnknown);
  }
  if (const auto* const claim = std::get_if<claim_key>(&record)) {
    return ExistingKeyEvent(*claim, row.value().value);
  }
  const bool own = row.value().value == kIntentStarted;
  return OutcomeEvent(record,
                      own ? store_outcome::kApplied : store_outcome::kConflict);
}

engine_event WriteRecord(table_port& table, const start_record& record) {
  const store_outcome outcome = ToOutcome(table.Write({RecordRow(record)}));
  const bool conclusive = outcome == store_outcome::kApplied ||
                          outcome == store_outcome::kUnavailable;
  return conclusive ? OutcomeEvent(record, outcome)
                    : ReadRecordBack(table, record);
}

/// Whether two records have the same row; a single write must not contain a row
/// twice.
bool HaveDuplicateKeys(const std::vector<table_write>& rows) {
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
  if (rows.size() > 1 && !HaveDuplicateKeys(rows)) {
    const store_outcome outcome = ToOutcome(table.Write(rows));
    if (outcome == store_outcome::kApplied ||
        outcome == store_outcome::kUnavailable) {
      for (const start_record& record : records) {
        events.push_back(OutcomeEvent(record, outcome));
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
    events.push_back(WriteRecord(table, record));
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

store_worker::store_worker(table_port& table, incarnation self, event_sink sink)
    : table_(table),
      self_(self),
      sink_(std::move(sink)),
      thread_([this] { Loop(); }) {}

store_worker::~store_worker() {
  mailbox_.Close();
  thread_.join();
}

void store_worker::Take(const fence_intent& fence) {
  sink_(fence_ended_event{.asked = fence,
                          .outcome = FenceIntent(table_, fence.id)});
}

void store_worker::Take(const claim_interval& claim) {
  sink_(ClaimKeyInterval(table_, claim.interval, self_));
}

void store_worker::Loop() {
  while (!mailbox_.Closed()) {
    const instant wake = group_.waiting.empty()
                             ? Now() + kIdleWait
                             : group_.next_write.value_or(Now());
    for (write_request& request : mailbox_.TakeUntil(ToSteady(wake))) {
      std::visit([this](auto& operation) { Take(operation); }, request);
    }
    tarragondrift::SetWriters(group_, writers_.load());
    const std::vector<start_record> records = TakeWriteBatch(group_, Now());
    if (records.empty()) {
      continue;
    }
    for (engine_event& event : WriteRecords(table_, records)) {
      sink_(std::move(event));
    }
  }
}

}  // namespace tarragondrift
