#include "tarragondrift/core/burn_cmd.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tarragondrift {
namespace {

constexpr double kPercent = 100.0;

int64_t BucketOf(wall_second when) {
  return when.time_since_epoch() / kBurnBucket;
}

/// Returns the first bucket of a window that ends now. The current, partial
/// bucket counts in addition, so that a window never covers less than its
/// length.
int64_t FirstBucket(wall_second now, std::chrono::seconds length) {
  return BucketOf(now) - length / kBurnBucket;
}

void Add(burn_count& sum, const burn_count& count) {
  sum.answers += count.answers;
  sum.missed += count.missed;
}

/// Merges a copy of the counts of one incarnation into another copy: the higher
/// count of each row is used.
void MergeCopy(burn_counts& merged, const burn_counts& copy) {
  for (const auto& [number, bucket] : copy.buckets) {
    for (const auto& [key, count] : bucket) {
      burn_count& known = merged.buckets[number][key];
      if (count.answers > known.answers) {
        known = count;
      }
    }
  }
}

/// Whether a row of counts belongs to a row of the report; an empty `team`
/// matches all teams.
bool MatchesRow(const burn_key& key, const std::string& contract,
                const std::string& team) {
  return key.contract == contract && (team.empty() || key.team == team);
}

/// Returns the counts for one row of the report over a window.
burn_count CountWindow(const burn_counts& counts, const std::string& contract,
                       const std::string& team, wall_second now,
                       std::chrono::seconds length) {
  burn_count sum;
  const auto first = counts.buckets.lower_bound(FirstBucket(now, length));
  const auto end = counts.buckets.upper_bound(BucketOf(now));
  for (auto at = first; at != end; ++at) {
    for (const auto& [key, count] : at->second) {
      if (MatchesRow(key, contract, team)) {
        Add(sum, count);
      }
    }
  }
  return sum;
}

/// Returns the fraction of answers missed, divided by the fraction that the
/// objective allows.
double BurnRate(const burn_count& count, double objective_percent) {
  if (count.answers == 0) {
    return 0;
  }
  const double missed_fraction =
      static_cast<double>(count.missed) / static_cast<double>(count.answers);
  return missed_fraction / (1.0 - objective_percent / kPercent);
}

burn_window MakeWindow(const burn_counts& counts, const burn_row& row,
                       wall_second now, std::chrono::seconds length) {
  burn_window window{.length = length};
  window.count = CountWindow(counts, row.contract, row.team, now, length);
  window.rate = BurnRate(window.count, row.objective_percent);
  return window;
}

burn_alert MakeAlert(const burn_counts& counts, const burn_row& row,
                     wall_second now, const burn_pair& pair) {
  burn_alert alert{
      .long_window = MakeWindow(counts, row, now, pair.long_window),
      .short_window = MakeWindow(counts, row, now, pair.short_window),
      .threshold = pair.threshold};
  alert.firing = alert.long_window.rate >= pair.threshold &&
                 alert.short_window.rate >= pair.threshold;
  return alert;
}

burn_row MakeRow(const burn_counts& counts, const burn_objective& objective,
                 const std::string& team, wall_second now) {
  burn_row row{.contract = objective.contract,
               .team = team,
               .objective_percent = objective.percent,
               .objective_latency = objective.latency};
  row.count = CountWindow(counts, row.contract, team, now, kBurnHistory);
  row.budget_left = 1.0 - BurnRate(row.count, objective.percent);
  for (size_t index = 0; index < kBurnPairs.size(); ++index) {
    row.alerts[index] = MakeAlert(counts, row, now, kBurnPairs[index]);
  }
  return row;
}

/// Returns the teams that used a contract.
std::set<std::string> TeamsOf(const burn_counts& counts,
                              const std::string& contract) {
  std::set<std::string> teams;
  for (const auto& [number, bucket] : counts.buckets) {
    for (const auto& [key, count] : bucket) {
      if (key.contract == contract && !key.team.empty()) {
        teams.insert(key.team);
      }
    }
  }
  return teams;
}

/// Whether a result code is caused by the caller.
bool IsCausedByCaller(result_code code) {
  constexpr uint16_t kFirstRequestError = 100;
  constexpr uint16_t kRequestErrorsEnd = 200;
  const auto number = static_cast<uint16_t>(code);
  return (number >= kFirstRequestError && number < kRequestErrorsEnd) ||
         code == result_code::kNotRunCancelled ||
         code == result_code::kCancelledAfterStart ||
         code == result_code::kNotRunQuota;
}

}  // namespace

burn_outcome ClassifyAnswer(const contract_config& contract, result_code code,
                            std::chrono::microseconds response_time) {
  if (IsCausedByCaller(code)) {
    return burn_outcome::kIgnored;
  }
  const bool met =
      code == result_code::kOk && response_time <= contract.objective_latency;
  return met ? burn_outcome::kMet : burn_outcome::kMissed;
}

void CountAnswer(burn_counts& counts, const contract_config& contract,
                 const std::string& team, result_code code,
                 std::chrono::microseconds response_time, wall_second now) {
  const burn_outcome outcome = ClassifyAnswer(contract, code, response_time);
  if (outcome == burn_outcome::kIgnored) {
    return;
  }
  const int64_t number = BucketOf(now);
  if (!counts.buckets.contains(number)) {
    ForgetOldBurn(counts, now);
  }
  burn_count& count =
      counts.buckets[number][burn_key{.contract = contract.name, .team = team}];
  ++count.answers;
  count.missed += outcome == burn_outcome::kMissed ? 1 : 0;
}

void ForgetOldBurn(burn_counts& counts, wall_second now) {
  counts.buckets.erase(
      counts.buckets.begin(),
      counts.buckets.lower_bound(FirstBucket(now, kBurnHistory)));
}

void AddBurn(burn_counts& sum, const burn_counts& counts) {
  for (const auto& [number, bucket] : counts.buckets) {
    burn_bucket& into = sum.buckets[number];
    for (const auto& [key, count] : bucket) {
      Add(into[key], count);
    }
  }
}

burn_counts SumOverTeams(const burn_counts& counts) {
  burn_counts sum;
  for (const auto& [number, bucket] : counts.buckets) {
    for (const auto& [key, count] : bucket) {
      Add(sum.buckets[number][burn_key{.contract = key.contract}], count);
    }
  }
  return sum;
}

std::vector<burn_objective> ListObjectives(const config_document& config) {
  std::vector<burn_objective> objectives;
  for (const contract_config& contract : config.contracts) {
    objectives.push_back(burn_objective{.contract = contract.name,
                                        .percent = contract.objective_percent,
                                        .latency = contract.objective_latency});
  }
  return objectives;
}

burn_report BurnReport(std::span<const burn_source> sources,
                       std::span<const burn_objective> objectives,
                       wall_second now) {
  std::set<uint64_t> has_team_counts;
  for (const burn_source& source : sources) {
    if (source.by_team) {
      has_team_counts.insert(source.incarnation);
    }
  }
  std::map<uint64_t, burn_counts> by_incarnation;
  for (const burn_source& source : sources) {
    if (!source.by_team && has_team_counts.contains(source.incarnation)) {
      continue;
    }
    MergeCopy(by_incarnation[source.incarnation], source.counts);
  }
  burn_counts sum;
  for (const auto& [incarnation, counts] : by_incarnation) {
    AddBurn(sum, counts);
  }
  burn_report report{.at = now, .sources = by_incarnation.size()};
  for (const burn_objective& objective : objectives) {
    report.rows.push_back(MakeRow(sum, objective, "", now));
    for (const std::string& team : TeamsOf(sum, objective.contract)) {
      report.rows.push_back(MakeRow(sum, objective, team, now));
    }
  }
  return report;
}

}  // namespace tarragondrift
