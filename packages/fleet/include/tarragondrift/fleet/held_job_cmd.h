// Jobs that wait at their origin, since no controller can start them in time.
// Answers two loads: a start of all entries, when callers are there before the
// workers, and a burst, when places are free again while late answers are still
// of use. A job is held only while a forecast says that it will be served; the
// others are refused at once.
#ifndef TARRAGONDRIFT_FLEET_HELD_JOB_CMD_H_
#define TARRAGONDRIFT_FLEET_HELD_JOB_CMD_H_

#include <cstdint>
#include <vector>

#include "tarragondrift/fleet/admission_cmd.h"
#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Holds a job that was refused for the given cause.
void HoldJob(engine& state, held_job held, result_code cause, instant now);

/// Whether a job that cannot be served now may be served soon: this entry has
/// just started and does not know the capacity that there will be.
bool MayBecomePossible(const engine& state, const job_plan& plan, instant now);

/// Whether a job that cannot be on time may still wait for spare capacity.
/// Where shares decide who gets scarce capacity, waiting jobs would take what
/// they grant to others.
bool MayStillBeDeferred(const engine& state, const job_plan& plan, instant now);

/// Whether a job that is not placed is held rather than refused.
bool ShouldHold(const engine& state, const job_plan& plan, instant now);

/// Returns the requests of the held jobs: first those that can still be on
/// time, then the others, the most urgent first.
std::vector<uint64_t> OrderHeldJobs(const engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_HELD_JOB_CMD_H_
