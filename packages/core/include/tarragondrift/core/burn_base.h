// Service-level burn as plain data: counts of answers in buckets of time, that
// add up across entries and their lives, and the rates worked out from them.
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

/// Time as all entries agree on it, for burn only: seconds since the epoch.
using wall_second =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

/// One row of counts: a contract as used by a team.
struct burn_key {
  std::string contract;
  std::string team;
  auto operator<=>(const burn_key&) const = default;
};

/// Answers in one stretch of time.
struct burn_count {
  uint64_t answers = 0;
  /// Those that were not whole, or not on time.
  uint64_t missed = 0;
  bool operator==(const burn_count&) const = default;
};

/// Length of a bucket, and how far back buckets go.
inline constexpr std::chrono::seconds kBurnBucket = std::chrono::minutes(5);
inline constexpr std::chrono::seconds kBurnHistory = std::chrono::hours(6);

/// One bucket: the counts of five minutes by contract and team.
using burn_bucket = std::map<burn_key, burn_count>;

/// The counts of one life of one entry, or the sum of several.
struct burn_counts {
  /// By the number of the bucket since the epoch.
  std::map<int64_t, burn_bucket> buckets;
  bool operator==(const burn_counts&) const = default;
};

/// What one entry says: its counts under the name of its life, so that the
/// same counts are added once however often they come.
struct burn_source {
  uint64_t incarnation = 0;
  /// False for the summary that an entry leaves in the table: its rows have no
  /// team, and it counts only when no other source of that life is there.
  bool by_team = true;
  burn_counts counts;
};

/// The objective of a contract.
struct burn_objective {
  std::string contract;
  double percent = 99.0;
  std::chrono::milliseconds latency{0};
};

/// One of the windows that rates are worked out over.
struct burn_window {
  std::chrono::seconds length{0};
  burn_count count;
  /// Part of the answers missed, over the part that may be; 1 spends the
  /// error budget exactly.
  double rate = 0;
};

/// A pair of windows of the SRE workbook: an alert holds when both burn at the
/// threshold at least.
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

/// One pair as it stands.
struct burn_alert {
  burn_window long_window;
  burn_window short_window;
  double threshold = 0;
  bool firing = false;
};

/// One row of the report: a contract as a whole (no team), or of one team.
struct burn_row {
  std::string contract;
  std::string team;
  double objective_percent = 0;
  std::chrono::milliseconds objective_latency{0};
  /// Over all of kBurnHistory.
  burn_count count;
  /// Part of the error budget of that time that is left; below 0 when more
  /// was missed than may be.
  double budget_left = 1;
  std::array<burn_alert, kBurnPairs.size()> alerts;
};

/// What `report burn` shows.
struct burn_report {
  wall_second at;
  /// How many lives of entries the counts come from.
  size_t sources = 0;
  std::vector<burn_row> rows;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_BURN_BASE_H_
