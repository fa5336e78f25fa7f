// One seeded schedule: a world, its callers, and faults two or three at once.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_SCHEDULE_H_
#define TARRAGONDRIFT_BENCH_SAFETY_SCHEDULE_H_

#include <map>

#include "ledger.h"
#include "world.h"

namespace tarragondrift::bench {

/// What came of one schedule, or of many.
struct schedule_result {
  violation_counts found;
  uint64_t schedules = 0;
  uint64_t faults = 0;
  uint64_t jobs = 0;
  uint64_t whole_answers = 0;
  uint64_t ticket_jobs = 0;
  uint64_t writes_for_tickets = 0;
  uint64_t deaths = 0;
  uint64_t unknown_outcomes = 0;
  uint64_t planned_stops = 0;
  uint64_t probed_answers = 0;
  /// Final answers by code.
  std::map<result_code, uint64_t> codes;
};

/// Runs one schedule to its end.
schedule_result RunSchedule(const schedule_options& options);

/// Adds the counts of one result to a sum.
void AddResult(schedule_result& sum, const schedule_result& part);

/// Tells whether a check found anything.
bool FoundViolation(const schedule_result& result);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_SCHEDULE_H_
