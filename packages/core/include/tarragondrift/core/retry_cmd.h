// Commands on the retry budget.
#ifndef TARRAGONDRIFT_CORE_RETRY_CMD_H_
#define TARRAGONDRIFT_CORE_RETRY_CMD_H_

#include "tarragondrift/core/retry_base.h"

namespace tarragondrift {

/// Credits the budget for one first attempt.
void EarnRetry(retry_budget& budget);

/// Spends one retry.
/// @return false, with nothing spent, when the budget does not allow it.
bool SpendRetry(retry_budget& budget);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_RETRY_CMD_H_
