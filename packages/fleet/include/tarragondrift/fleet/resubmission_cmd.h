// Callers that submit a job again after a broken connection. They wait for the
// rest of their time only, so the timeout that they give tells for how long
// they have waited before. Answers the load after a power failure of all
// entries, when such jobs arrive together with new ones: they are late already,
// and must not delay those that can still be on time.
#ifndef TARRAGONDRIFT_FLEET_RESUBMISSION_CMD_H_
#define TARRAGONDRIFT_FLEET_RESUBMISSION_CMD_H_

#include <chrono>
#include <map>
#include <string>

#include "tarragondrift/fleet/queue_config_base.h"

namespace tarragondrift::fleet {

/// Timeouts that the callers of one queue gave lately.
struct caller_timeouts {
  uint64_t samples = 0;
  /// Smoothed share of those that are at least the queue's timeout.
  double share_full = 0;
};

using caller_timeout_table = std::map<std::string, caller_timeouts>;

/// Adds the timeout that a caller gave; 0, for none, is ignored.
void RecordCallerTimeout(caller_timeout_table& table, const queue_config& queue,
                         std::chrono::milliseconds given);

/// Returns for how long a caller has at least waited before: what its timeout
/// lacks of the queue's. 0 while most callers of the queue give short timeouts
/// from the start, or too few are known.
std::chrono::milliseconds EstimateTimeWaited(const caller_timeout_table& table,
                                             const queue_config& queue,
                                             std::chrono::milliseconds given);

/// Whether a caller may have waited before: it gives less than the queue's
/// timeout, and most callers of the queue do not, as far as is known.
bool MayBeRepeated(const caller_timeout_table& table, const queue_config& queue,
                   std::chrono::milliseconds given);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RESUBMISSION_CMD_H_
