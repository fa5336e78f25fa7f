#include "claim_rows.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "logging.h"
#include "platform/json_fields.h"
#include "tarragondrift/core/fnv_hash.h"

namespace tarragondrift {
namespace {

using fleet::claim_row_outcome;
using fleet::row_outcome;
using nlohmann::json;

/// The store carries out the transactions of one part one after another, 200 a
/// second, so that rows are spread over several.
constexpr uint64_t kParts = 16;
/// Pause between the visits of a sweep, each of one part.
constexpr std::chrono::milliseconds kSweepInterval{2'500};
/// Rows removed at one visit.
constexpr size_t kMaxSwept = 50;

std::string PartName(uint64_t number) {
  return "claims-" + std::to_string(number);
}

std::string PartOf(const std::string& job) {
  return PartName(FnvOf(job) % kParts);
}

std::string FormatAttempt(const fleet::job_attempt& attempt) {
  return std::to_string(attempt.origin) + '.' + std::to_string(attempt.request);
}

/// Whether the value of a row, "ATTEMPT MILLISECONDS", is that of a claim.
bool HasAttempt(const std::string& value, const std::string& attempt) {
  return value.substr(0, value.find(' ')) == attempt;
}

/// Returns how long a row is of use after it was made.
std::chrono::milliseconds ValidFor(const std::string& value) {
  const size_t space = value.find(' ');
  return std::chrono::milliseconds(
      space == std::string::npos
          ? 0
          : std::strtol(value.c_str() + space, nullptr, 10));
}

json FormatWitnesses(const std::vector<fleet::witness>& witnesses) {
  json rows = json::array();
  for (const fleet::witness& one : witnesses) {
    rows.push_back({{"name", one.name},
                    {"data_centre", one.data_centre},
                    {"cpu_milli", one.cpu_milli},
                    {"seat", one.seat},
                    {"handovers", one.handovers}});
  }
  return rows;
}

std::optional<std::vector<fleet::witness>> ParseWitnesses(const json& row,
                                                          const char* field) {
  std::vector<fleet::witness> found;
  for (const json& one : platform::Array(row, field)) {
    if (!one.is_object()) {
      return std::nullopt;
    }
    const auto name = platform::Text(one, "name", std::nullopt);
    const auto data_centre = platform::Text(one, "data_centre", std::nullopt);
    const auto cpu_milli = platform::Size(one, "cpu_milli", std::nullopt);
    // Rows of earlier versions have neither.
    const auto seat = platform::Text(one, "seat", "");
    const auto handovers = platform::Size(one, "handovers", 0);
    if (!name || !data_centre || !cpu_milli || !seat || !handovers) {
      return std::nullopt;
    }
    found.push_back({.name = *name,
                     .data_centre = *data_centre,
                     .cpu_milli = *cpu_milli,
                     .seat = *seat,
                     .handovers = *handovers});
  }
  return found;
}

}  // namespace

std::string FormatWitnessList(const fleet::witness_list& list) {
  return json{{"witnesses", FormatWitnesses(list.witnesses)},
              {"former", FormatWitnesses(list.former)}}
      .dump();
}

std::optional<fleet::witness_list> ParseWitnessList(const std::string& text,
                                                    uint64_t version) {
  const std::optional<json> row = platform::ParseObject(text);
  if (!row) {
    return std::nullopt;
  }
  auto witnesses = ParseWitnesses(*row, "witnesses");
  auto former = ParseWitnesses(*row, "former");
  if (!witnesses || witnesses->empty() || !former) {
    return std::nullopt;
  }
  return fleet::witness_list{.version = version,
                             .witnesses = std::move(*witnesses),
                             .former = std::move(*former)};
}

claim_rows::claim_rows(const std::unique_ptr<fleet::row_port>& rows,
                       run_on_owner run)
    : rows_(rows), run_(std::move(run)) {}

void claim_rows::Make(const fleet::claim_row_write& write,
                      outcome_handler done) {
  rows_->Write({.table = kClaimTable,
                .part = PartOf(write.job),
                .key = write.job,
                .value = FormatAttempt(write.attempt) + ' ' +
                         std::to_string(write.valid_for.count()),
                .expected = 0},
               [this, write, done = std::move(done)](row_outcome outcome) {
                 run_([this, write, done, outcome](instant now) {
                   if (outcome == row_outcome::kConflict ||
                       outcome == row_outcome::kUnknown) {
                     // The claim may have the row already.
                     Check(write, done);
                   } else {
                     done(outcome == row_outcome::kOk
                              ? claim_row_outcome::kHeld
                              : claim_row_outcome::kFailed,
                          now);
                   }
                 });
               });
}

void claim_rows::Check(const fleet::claim_row_write& write,
                       outcome_handler done) {
  rows_->Read({kClaimTable, PartOf(write.job)}, write.job,
              [this, own = FormatAttempt(write.attempt),
               done = std::move(done)](const fleet::versioned_row& row) {
                run_([row, own, done](instant now) {
                  if (row.outcome != row_outcome::kOk) {
                    done(claim_row_outcome::kFailed, now);
                  } else {
                    // A row that is gone by now was another claim's.
                    done(HasAttempt(row.value, own) ? claim_row_outcome::kHeld
                                                    : claim_row_outcome::kTaken,
                         now);
                  }
                });
              });
}

void claim_rows::Remove(const fleet::claim_row_removal& removal) {
  rows_->Read({kClaimTable, PartOf(removal.job)}, removal.job,
              [this, removal](const fleet::versioned_row& row) {
                run_([this, removal, row](instant) {
                  if (row.outcome == row_outcome::kOk && row.version != 0 &&
                      HasAttempt(row.value, FormatAttempt(removal.attempt))) {
                    rows_->Write({.table = kClaimTable,
                                  .part = PartOf(removal.job),
                                  .key = removal.job,
                                  .remove = true,
                                  .expected = row.version},
                                 [](row_outcome) {});
                  }
                });
              });
}

void claim_rows::Sweep(instant now) {
  if (sweeping_ || now < next_sweep_) {
    return;
  }
  sweeping_ = true;
  next_sweep_ = now + kSweepInterval;
  const std::string part = PartName(next_part_);
  next_part_ = (next_part_ + 1) % kParts;
  rows_->List({kClaimTable, part}, "",
              [this, part](const fleet::row_batch& batch) {
                run_([this, part, batch](instant answered) {
                  OnSwept(part, batch, answered);
                });
              });
}

void claim_rows::OnSwept(const std::string& part, const fleet::row_batch& batch,
                         instant now) {
  sweeping_ = false;
  if (batch.outcome != row_outcome::kOk) {
    return;
  }
  std::map<std::string, seen_row> seen;
  size_t removed = 0;
  for (const fleet::row_change& row : batch.rows) {
    const auto& before = seen_[part];
    const auto at = before.find(row.key);
    const bool is_known =
        at != before.end() && at->second.version == row.version;
    seen[row.key] = is_known ? at->second : seen_row{row.version, now};
    if (is_known && now - at->second.since > ValidFor(row.value) &&
        removed < kMaxSwept) {
      ++removed;
      rows_->Write({.table = kClaimTable,
                    .part = part,
                    .key = row.key,
                    .remove = true,
                    .expected = row.version},
                   [](row_outcome) {});
    }
  }
  seen_[part] = std::move(seen);
  if (removed > 0) {
    log_event(log_level::kInfo, "claim_rows_swept")
        .With("part", part)
        .With("rows", static_cast<int64_t>(removed));
  }
}

}  // namespace tarragondrift
