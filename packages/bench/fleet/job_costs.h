// What jobs of growing size cost the engine.
#ifndef TARRAGONDRIFT_BENCH_FLEET_JOB_COSTS_H_
#define TARRAGONDRIFT_BENCH_FLEET_JOB_COSTS_H_

namespace tarragondrift::bench {

/// Plays jobs of several shapes and growing sizes on one entry, and prints the
/// processor time of the engine's longest call for each, and how this time
/// grows per task and dependency.
/// @return whether it stays linear for all shapes.
bool PrintJobCosts();

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_FLEET_JOB_COSTS_H_
