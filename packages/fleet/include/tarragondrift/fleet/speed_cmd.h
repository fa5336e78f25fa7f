// Speed of workers: each worker's slowness, and the bounds between speed
// classes, learned from completed runs. Answers the load of a fleet whose slow
// workers are a large share of its capacity and must not be taken for faulty.
#ifndef TARRAGONDRIFT_FLEET_SPEED_CMD_H_
#define TARRAGONDRIFT_FLEET_SPEED_CMD_H_

#include <chrono>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Updates a worker's estimated slowness from a run that succeeded.
void RecordSpeed(const speed_classes& classes, worker& host,
                 std::chrono::milliseconds expected,
                 std::chrono::microseconds took);

/// Forgets what was learned of a worker's speed.
void ResetSpeed(worker& host);

/// Returns the bounds between the classes that the samples fall into. Samples
/// of few runs are ignored. Bounds that the samples do not determine have their
/// defaults; the ones above which workers are avoided are never below them.
speed_classes LearnSpeedClasses(const std::vector<speed_sample>& samples);

speed_class ClassifySpeed(const speed_classes& classes, double slowness);

/// Learns the classes from the workers that this entry controls, at most once a
/// second. While too few of them have enough runs, the classes stay; an entry
/// that controls no workers has the defaults.
void UpdateSpeedClasses(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_SPEED_CMD_H_
