// Declared running times are hints: commands that correct them by what was
// observed of the same contract.
#ifndef TARRAGONDRIFT_CORE_ESTIMATE_CMD_H_
#define TARRAGONDRIFT_CORE_ESTIMATE_CMD_H_

#include <chrono>

#include "tarragondrift/core/estimate_base.h"

namespace tarragondrift {

/// Estimates the running time of a task; 0 declared means "not declared".
std::chrono::microseconds EstimateTime(const contract_estimate& known,
                                       std::chrono::microseconds declared);

/// Learns from one task that succeeded.
void LearnTime(contract_estimate& known, std::chrono::microseconds declared,
               std::chrono::microseconds observed);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ESTIMATE_CMD_H_
