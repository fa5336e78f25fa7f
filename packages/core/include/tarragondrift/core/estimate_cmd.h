// Estimates running times. Declared running times are only hints: they are
// corrected by the running times observed for the same contract.
#ifndef TARRAGONDRIFT_CORE_ESTIMATE_CMD_H_
#define TARRAGONDRIFT_CORE_ESTIMATE_CMD_H_

#include <chrono>

#include "tarragondrift/core/estimate_base.h"

namespace tarragondrift {

/// Estimates the running time of a task; 0 declared means "not declared".
std::chrono::microseconds EstimateTime(const contract_estimate& estimate,
                                       std::chrono::microseconds declared);

/// Adds the running time of a succeeded task to the statistics.
void LearnTime(contract_estimate& estimate, std::chrono::microseconds declared,
               std::chrono::microseconds observed);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ESTIMATE_CMD_H_
