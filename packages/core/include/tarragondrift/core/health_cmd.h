// Commands on the health of one instance: record results, eject, probe.
#ifndef TARRAGONDRIFT_CORE_HEALTH_CMD_H_
#define TARRAGONDRIFT_CORE_HEALTH_CMD_H_

#include <chrono>

#include "tarragondrift/core/health_base.h"

namespace tarragondrift {

/// Returns how many of the `share` slots may be in use at a time.
uint32_t HealthyLimit(const instance_health& health, uint32_t share);

/// Records a success; the instance becomes healthy.
void LearnSuccess(instance_health& health, std::chrono::microseconds estimated,
                  std::chrono::microseconds observed);

/// Records a failure. Repeated failures of one job count once, and those of a
/// team whose tasks fail everywhere have little weight, since they say little
/// about the instance.
/// @return whether the instance should be ejected.
bool LearnFailure(instance_health& health, job_id job, const failure_rate& team,
                  const health_options& options);

/// Ejects an instance; the backoff doubles with each consecutive ejection.
void Eject(instance_health& health, const health_options& options, instant now);

/// Pauses an instance for a short time; used instead of Eject when too many
/// instances are ejected already.
void Throttle(instance_health& health, const health_options& options,
              instant now);

/// Begins to probe an ejected instance when its backoff has ended.
/// @return whether the stage has changed.
bool BeginProbe(instance_health& health, instant now);

/// Decays the slowness of an instance towards 1, so that a slow instance is
/// tried again.
void DecaySlowness(instance_health& health, std::chrono::microseconds elapsed);

/// Adds the result of one task to its team's failure rate.
void CountOutcome(failure_rate& team, bool failed);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_HEALTH_CMD_H_
