#include "tarragondrift/core/retry_cmd.h"

#include <algorithm>

namespace tarragondrift {

void EarnRetry(retry_budget& budget) {
  budget.balance =
      std::min(budget.capacity, budget.balance + budget.earned_per_start);
}

bool SpendRetry(retry_budget& budget) {
  if (budget.balance < 1) {
    return false;
  }
  budget.balance -= 1;
  return true;
}

}  // namespace tarragondrift
