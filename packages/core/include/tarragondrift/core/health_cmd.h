// Commands on the health of one instance: learn how attempts end, eject, probe.
#ifndef TARRAGONDRIFT_CORE_HEALTH_CMD_H_
#define TARRAGONDRIFT_CORE_HEALTH_CMD_H_

#include <chrono>

#include "tarragondrift/core/health_base.h"

namespace tarragondrift {

/// Tells how many attempts at a time the instance may get of `share`.
uint32_t HealthyLimit(const instance_health& health, uint32_t share);

/// Learns from a success; the instance is healthy again.
void LearnSuccess(instance_health& health, std::chrono::microseconds estimated,
                  std::chrono::microseconds observed);

/// Learns from a failure. Several of one job count once, and a team whose
/// tasks fail everywhere is no evidence against an instance.
/// @return whether the instance should be ejected.
bool LearnFailure(instance_health& health, job_id job, const failure_rate& team,
                  const health_options& options);

/// Ejects an instance, longer each time in a row.
void Eject(instance_health& health, const health_options& options, instant now);

/// Lets an instance that should be ejected but must not wait for a little.
void Throttle(instance_health& health, const health_options& options,
              instant now);

/// Lets an ejected instance have one attempt once its time has come.
/// @return whether its stage has changed.
bool BeginProbe(instance_health& health, instant now);

/// Lets what is known of an instance's slowness fade, so that it is tried
/// again.
void DecaySlowness(instance_health& health, std::chrono::microseconds passed);

/// Counts the end of one of a team's tasks.
void CountOutcome(failure_rate& team, bool failed);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_HEALTH_CMD_H_
