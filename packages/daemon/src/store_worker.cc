#include "store_worker.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <unordered_set>
#include <utility>

namespace tarragondrift {
namespace {

/// Rows of one write; the table service takes at most a hundred.
constexpr size_t kMostRowsPerWrite = 50;

std::string KeyRow(const std::string& key) { return "key/" + key; }

std::string IntentRow(const submission_id& id) {
  return "intent/" + FormatSubmissionId(id);
}

/// Writes who holds a key.
std::string HolderText(const claim_key& claim) {
  return nlohmann::json{{"id", FormatSubmissionId(claim.id)},
                        {"high", claim.digest.high},
                        {"low", claim.digest.low}}
      .dump();
}

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

/// Reads a row of a key.
/// @param absent the outcome when there is no such row.
key_claim ReadHolder(table_port& table, const claim_key& claim,
                     store_outcome absent) {
  const result<table_row> row = table.Get(KeyRow(claim.key));
  if (!row) {
    return {.outcome = row.error() == result_code::kNotFound
                           ? absent
                           : store_outcome::kUnknown};
  }
  const auto value = nlohmann::json::parse(row.value().value, nullptr, false);
  if (!value.is_object()) {
    return {.outcome = store_outcome::kUnknown};
  }
  const result<submission_id> holder =
      ParseSubmissionId(value.value("id", std::string{}));
  if (!holder) {
    return {.outcome = store_outcome::kUnknown};
  }
  if (holder.value() == claim.id) {
    return {.outcome = store_outcome::kApplied};
  }
  return {.outcome = store_outcome::kConflict,
          .holder = holder.value(),
          .holder_digest = {value.value("high", uint64_t{0}),
                            value.value("low", uint64_t{0})}};
}

/// Claims keys that differ in one write.
result<void> InsertKeys(table_port& table,
                        const std::vector<claim_key>& claims) {
  std::vector<table_write> writes;
  writes.reserve(claims.size());
  for (const claim_key& claim : claims) {
    writes.push_back({.key = KeyRow(claim.key),
                      .value = HolderText(claim),
                      .expected_version = 0});
  }
  return table.Write(writes);
}

/// Claims one key and finds out who holds it when that fails.
key_claim ClaimOne(table_port& table, const claim_key& claim) {
  const result<void> inserted = InsertKeys(table, {claim});
  if (inserted) {
    return {.outcome = store_outcome::kApplied};
  }
  const store_outcome outcome = ToOutcome(inserted.error());
  if (outcome == store_outcome::kUnavailable) {
    return {.outcome = outcome};
  }
  // A write whose reply was lost may still arrive, so that an absent row
  // proves nothing.
  return ReadHolder(table, claim, store_outcome::kUnknown);
}

/// Tells whether any key stands twice.
bool HaveTwins(const std::vector<claim_key>& claims) {
  std::unordered_set<std::string> keys;
  return std::any_of(claims.begin(), claims.end(),
                     [&keys](const claim_key& claim) {
                       return !keys.insert(claim.key).second;
                     });
}

}  // namespace

std::vector<key_claim> ClaimKeys(table_port& table,
                                 const std::vector<claim_key>& claims) {
  if (claims.size() > 1 && !HaveTwins(claims)) {
    const result<void> inserted = InsertKeys(table, claims);
    const bool none =
        !inserted && ToOutcome(inserted.error()) == store_outcome::kUnavailable;
    if (inserted || none) {
      const key_claim same{.outcome = inserted ? store_outcome::kApplied
                                               : store_outcome::kUnavailable};
      return {claims.size(), same};
    }
  }
  std::vector<key_claim> outcomes;
  outcomes.reserve(claims.size());
  for (const claim_key& claim : claims) {
    outcomes.push_back(ClaimOne(table, claim));
  }
  return outcomes;
}

std::vector<store_outcome> RecordIntents(
    table_port& table, const std::vector<record_intent>& records) {
  std::vector<table_write> writes;
  writes.reserve(records.size());
  for (const record_intent& record : records) {
    writes.push_back({.key = IntentRow(record.id), .value = "started"});
  }
  const result<void> written = table.Write(writes);
  const store_outcome outcome =
      written ? store_outcome::kApplied : ToOutcome(written.error());
  return {records.size(), outcome};
}

store_worker::store_worker(table_port& table, event_sink ended)
    : table_(table), ended_(std::move(ended)), thread_([this] { Loop(); }) {}

store_worker::~store_worker() {
  mailbox_.Close();
  thread_.join();
}

void store_worker::Loop() {
  std::vector<claim_key> claims;
  std::vector<record_intent> records;
  const auto write_claims = [&] {
    const std::vector<key_claim> outcomes = ClaimKeys(table_, claims);
    for (size_t at = 0; at < claims.size(); ++at) {
      ended_(claim_ended_event{.id = claims[at].id, .claim = outcomes[at]});
    }
    claims.clear();
  };
  const auto write_records = [&] {
    const std::vector<store_outcome> outcomes = RecordIntents(table_, records);
    for (size_t at = 0; at < records.size(); ++at) {
      ended_(record_ended_event{.id = records[at].id, .outcome = outcomes[at]});
    }
    records.clear();
  };
  while (!mailbox_.Closed()) {
    for (job& one : mailbox_.Take()) {
      if (auto* const claim = std::get_if<claim_key>(&one)) {
        claims.push_back(std::move(*claim));
      } else {
        records.push_back(std::get<record_intent>(one));
      }
      if (claims.size() == kMostRowsPerWrite) {
        write_claims();
      }
      if (records.size() == kMostRowsPerWrite) {
        write_records();
      }
    }
    if (!claims.empty()) {
      write_claims();
    }
    if (!records.empty()) {
      write_records();
    }
  }
}

}  // namespace tarragondrift
