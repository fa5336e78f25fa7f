#include "entry_rows.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "logging.h"
#include "platform/json_fields.h"

namespace tarragondrift {
namespace {

using fleet::row_outcome;
using nlohmann::json;

constexpr const char* kCounterTable = "tarragondrift-counters";
constexpr const char* kCounterKey = "incarnation";
/// Delay between attempts; entries that start at the same time conflict when
/// they increment the counter.
constexpr std::chrono::milliseconds kRetryDelay{100};

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

entry_rows::entry_rows(const std::unique_ptr<fleet::row_port>& rows,
                       run_on_owner run)
    : rows_(rows), run_(std::move(run)) {}

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
  rows_->Read(kCounterTable, kCounterKey,
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
  uint64_t last = 0;
  std::from_chars(row.value.data(), row.value.data() + row.value.size(), last);
  const uint64_t next = last + 1;
  rows_->Write({.table = kCounterTable,
                .key = kCounterKey,
                .value = std::to_string(next),
                .expected = row.version},
               [this, next](row_outcome outcome) {
                 run_([this, next, outcome](instant now) {
                   if (outcome == row_outcome::kOk) {
                     in_flight_ = false;
                     incarnation_ = next;
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
