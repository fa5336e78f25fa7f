#include "entry_rows.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "logging.h"
#include "platform/json_fields.h"
#include "tarragondrift/core/fnv_hash.h"

namespace tarragondrift {
namespace {

using fleet::row_outcome;
using nlohmann::json;

constexpr const char* kCounterTable = "tarragondrift-counters";
/// Number of counters. An incarnation number is a count times this number, plus
/// the number of the counter.
constexpr uint64_t kCounters = 16;
/// First count, so that numbers are above those of the single counter that
/// earlier versions used.
constexpr uint64_t kFirstCount = uint64_t{1} << 20U;
/// Delay between attempts; entries that start at the same time conflict when
/// they increment the same counter.
constexpr std::chrono::milliseconds kRetryDelay{40};

std::string CounterKey(uint64_t counter) {
  return "incarnation-" + std::to_string(counter);
}

}  // namespace

std::string FormatEntryRow(const fleet::entry_identity& identity) {
  return json{{"incarnation", identity.incarnation},
              {"address", identity.address},
              {"data_centre", identity.data_centre},
              {"cpu_milli", identity.cpu_milli}}
      .dump();
}

std::optional<fleet::entry_identity> ParseEntryRow(const std::string& name,
                                                   const std::string& text) {
  const std::optional<json> row = platform::ParseObject(text);
  if (!row) {
    return std::nullopt;
  }
  const auto incarnation = platform::Count(*row, "incarnation", std::nullopt);
  const auto address = platform::Text(*row, "address", std::nullopt);
  const auto data_centre = platform::Text(*row, "data_centre", std::nullopt);
  const auto cpu_milli = platform::Count(*row, "cpu_milli", std::nullopt);
  if (!incarnation || !address || !data_centre || !cpu_milli) {
    return std::nullopt;
  }
  return fleet::entry_identity{.incarnation = *incarnation,
                               .name = name,
                               .address = *address,
                               .data_centre = *data_centre,
                               .cpu_milli = static_cast<uint32_t>(*cpu_milli)};
}

entry_rows::entry_rows(const std::string& instance,
                       const std::unique_ptr<fleet::row_port>& rows,
                       run_on_owner run)
    : counter_(AddToFnv(kFnvOffset, instance) % kCounters),
      rows_(rows),
      run_(std::move(run)) {}

void entry_rows::Tick(instant now) {
  if (in_flight_ || now < next_) {
    return;
  }
  if (!incarnation_) {
    in_flight_ = true;
    ReadCounter();
  } else if (write_due_ && identity_) {
    in_flight_ = true;
    WriteRow();
  }
}

void entry_rows::ReadCounter() {
  rows_->Read(kCounterTable, CounterKey(counter_),
              [this](const fleet::versioned_row& row) {
                run_([this, row](instant now) {
                  if (row.outcome == row_outcome::kOk) {
                    IncrementCounter(row);
                  } else {
                    Pause(now);
                  }
                });
              });
}

void entry_rows::IncrementCounter(const fleet::versioned_row& row) {
  uint64_t last = kFirstCount;
  std::from_chars(row.value.data(), row.value.data() + row.value.size(), last);
  const uint64_t next = last + 1;
  rows_->Write({.table = kCounterTable,
                .key = CounterKey(counter_),
                .value = std::to_string(next),
                .expected = row.version},
               [this, next](row_outcome outcome) {
                 run_([this, next, outcome](instant now) {
                   if (outcome == row_outcome::kOk) {
                     in_flight_ = false;
                     incarnation_ = next * kCounters + counter_;
                   } else {
                     // A write with an unknown outcome at most leaves a number
                     // unused.
                     Pause(now);
                   }
                 });
               });
}

void entry_rows::Pause(instant now) {
  in_flight_ = false;
  next_ = now + kRetryDelay;
}

void entry_rows::Announce(const fleet::entry_identity& identity) {
  identity_ = identity;
  write_due_ = true;
}

void entry_rows::Withdraw() {
  remove_ = true;
  write_due_ = identity_.has_value();
}

void entry_rows::RowChanged(const std::string& text) {
  if (identity_ && !remove_ && text != FormatEntryRow(*identity_)) {
    write_due_ = true;
  }
}

void entry_rows::WriteRow() {
  write_due_ = false;
  rows_->Write({.table = kEntryTable,
                .key = identity_->name,
                .value = remove_ ? "" : FormatEntryRow(*identity_),
                .remove = remove_},
               [this](row_outcome outcome) {
                 run_([this, outcome](instant now) {
                   in_flight_ = false;
                   if (outcome != row_outcome::kOk) {
                     log_event(log_level::kWarning, "row_not_written")
                         .With("table", kEntryTable);
                     write_due_ = true;
                     Pause(now);
                   }
                 });
               });
}

}  // namespace tarragondrift
