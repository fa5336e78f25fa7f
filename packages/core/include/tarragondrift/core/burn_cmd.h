// Commands on service-level burn: count answers, add counts up, report.
#ifndef TARRAGONDRIFT_CORE_BURN_CMD_H_
#define TARRAGONDRIFT_CORE_BURN_CMD_H_

#include <span>
#include <vector>

#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/config_base.h"
#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// How an answer counts.
enum class burn_outcome : uint8_t {
  kMet,
  kMissed,
  /// The caller's own doing: its request was wrong, or it cancelled.
  kIgnored,
};

/// Judges one answer by its contract's objective.
burn_outcome ClassifyAnswer(const contract_config& contract, result_code code,
                            std::chrono::microseconds response_time);

/// Counts one answer and forgets buckets beyond kBurnHistory.
void CountAnswer(burn_counts& counts, const contract_config& contract,
                 const std::string& team, result_code code,
                 std::chrono::microseconds response_time, wall_second now);

/// Forgets buckets beyond kBurnHistory.
void ForgetOldBurn(burn_counts& counts, wall_second now);

/// Adds counts to a sum.
void AddBurn(burn_counts& sum, const burn_counts& counts);

/// Adds the teams of each contract up into one row without a team.
burn_counts SumOverTeams(const burn_counts& counts);

/// Lists the objectives of a document.
std::vector<burn_objective> ListObjectives(const config_document& config);

/// Works out the report from what entries said. Several sources of one
/// incarnation are copies of one another, taken at different times: for each
/// bucket and row the higher count holds.
burn_report BurnReport(std::span<const burn_source> sources,
                       std::span<const burn_objective> objectives,
                       wall_second now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_BURN_CMD_H_
