#include "tarragondrift/core/retry_cmd.h"

#include <algorithm>

namespace tarragondrift {

void EarnRetry(retry_budget& budget) {
  budget.saved = std::min(budget.most, budget.saved + budget.earned_per_start);
}

bool SpendRetry(retry_budget& budget) {
  if (budget.saved < 1) {
    return false;
  }
  budget.saved -= 1;
  return true;
}

}  // namespace tarragondrift
