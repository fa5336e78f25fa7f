// Commands on error-budget burn: count answers, add up counts, report.
#ifndef TARRAGONDRIFT_CORE_BURN_CMD_H_
#define TARRAGONDRIFT_CORE_BURN_CMD_H_

#include <span>
#include <vector>

#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/config_base.h"
#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// How an answer counts towards the objective.
enum class burn_outcome : uint8_t {
  kMet,
  kMissed,
  /// Caused by the caller: an invalid request, a cancellation or a spent quota.
  kIgnored,
};

/// Classifies one answer by its contract's objective.
burn_outcome ClassifyAnswer(const contract_config& contract, result_code code,
                            std::chrono::microseconds response_time);

/// Counts one answer, and removes buckets older than kBurnHistory whenever a
/// new bucket starts.
void CountAnswer(burn_counts& counts, const contract_config& contract,
                 const std::string& team, result_code code,
                 std::chrono::microseconds response_time, wall_second now);

/// Removes buckets older than kBurnHistory.
void ForgetOldBurn(burn_counts& counts, wall_second now);

/// Adds `counts` to `sum`, bucket by bucket.
void AddBurn(burn_counts& sum, const burn_counts& counts);

/// Returns the counts with the teams of each contract added up into one row
/// without a team.
burn_counts SumOverTeams(const burn_counts& counts);

/// Returns the objectives of the contracts in a document.
std::vector<burn_objective> ListObjectives(const config_document& config);

/// Computes the report from the sources. Several sources of one incarnation are
/// copies of the same counts, taken at different times: for each bucket and row
/// the higher count is used.
burn_report BurnReport(std::span<const burn_source> sources,
                       std::span<const burn_objective> objectives,
                       wall_second now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_BURN_CMD_H_
