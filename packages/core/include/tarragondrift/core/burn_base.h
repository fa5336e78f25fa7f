// Error-budget burn as plain data: counts of answers in time buckets, which can
// be added up across incarnations of entries, and the burn rates computed from
// them.
#ifndef TARRAGONDRIFT_CORE_BURN_BASE_H_
#define TARRAGONDRIFT_CORE_BURN_BASE_H_

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragondrift {

/// Wall-clock time shared by all entries, in seconds since the epoch; used for
/// burn only.
using wall_second =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

/// Identifies a row of counts: one team's use of a contract.
struct burn_key {
  std::string contract;
  std::string team;
  auto operator<=>(const burn_key&) const = default;
};

/// Number of answers in one time interval.
struct burn_count {
  uint64_t answers = 0;
  /// Answers that missed the objective: failed, refused, incomplete or late.
  uint64_t missed = 0;
  bool operator==(const burn_count&) const = default;
};

/// Length of a bucket.
inline constexpr std::chrono::seconds kBurnBucket = std::chrono::minutes(5);
/// How long buckets are kept: the longest alert window.
inline constexpr std::chrono::seconds kBurnHistory = std::chrono::hours(6);

/// One bucket: the counts of one kBurnBucket interval by contract and team.
using burn_bucket = std::map<burn_key, burn_count>;

/// The counts of one incarnation of an entry, or the sum of several.
struct burn_counts {
  /// Keyed by the number of the bucket since the epoch.
  std::map<int64_t, burn_bucket> buckets;
  bool operator==(const burn_counts&) const = default;
};

/// The counts that one entry reports, with its incarnation, so that counts
/// which arrive several times are added only once.
struct burn_source {
  uint64_t incarnation = 0;
  /// False for the summary that an entry writes to the table: its rows have no
  /// team, and it is used only when there is no other source of that
  /// incarnation.
  bool by_team = true;
  burn_counts counts;
};

/// The service-level objective of a contract.
struct burn_objective {
  std::string contract;
  double percent = 99.0;
  std::chrono::milliseconds latency{0};
};

/// The counts and the burn rate over one time window.
struct burn_window {
  std::chrono::seconds length{0};
  burn_count count;
  /// Fraction of the answers missed, divided by the fraction that the objective
  /// allows; a rate of 1 spends the error budget exactly.
  double rate = 0;
};

/// A multiwindow burn-rate alert as in the SRE workbook: it fires while the
/// rates of both windows are at least the threshold.
struct burn_pair {
  std::chrono::seconds long_window{0};
  std::chrono::seconds short_window{0};
  double threshold = 0;
};

inline constexpr std::array<burn_pair, 2> kBurnPairs = {
    burn_pair{.long_window = std::chrono::hours(1),
              .short_window = std::chrono::minutes(5),
              .threshold = 14.4},
    burn_pair{.long_window = std::chrono::hours(6),
              .short_window = std::chrono::minutes(30),
              .threshold = 6.0}};

/// The current state of one alert.
struct burn_alert {
  burn_window long_window;
  burn_window short_window;
  double threshold = 0;
  bool firing = false;
};

/// One row of the report: a contract over all teams (`team` is empty) or for
/// one team.
struct burn_row {
  std::string contract;
  std::string team;
  double objective_percent = 0;
  std::chrono::milliseconds objective_latency{0};
  /// Total over kBurnHistory.
  burn_count count;
  /// Remaining fraction of the error budget over kBurnHistory; below 0 when
  /// more answers missed than the objective allows.
  double budget_left = 1;
  std::array<burn_alert, kBurnPairs.size()> alerts;
};

/// The contents of `report burn`.
struct burn_report {
  wall_second at;
  /// Number of incarnations whose counts are included.
  size_t sources = 0;
  std::vector<burn_row> rows;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_BURN_BASE_H_
