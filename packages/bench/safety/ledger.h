// The checker: it sees only what upstreams start and what callers are told.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_LEDGER_H_
#define TARRAGONDRIFT_BENCH_SAFETY_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/job_base.h"

namespace tarragondrift::bench {

/// What one caller wanted, and what became of it.
struct wanted_work {
  /// How often each task may start at most.
  uint32_t most_starts = 1;
  /// Starts seen at the upstreams, by task.
  std::vector<uint32_t> starts;
  /// Tasks that some answer called not started.
  std::vector<bool> told_not_started;
  bool told_not_run = false;
  /// When a cancel was first confirmed.
  std::optional<instant> cancelled;
  uint32_t starts_after_cancel = 0;
  uint32_t partial = 0;
  uint32_t crossed = 0;
};

/// Sums of the violations found.
struct violation_counts {
  uint64_t double_starts = 0;
  uint64_t partial_answers = 0;
  uint64_t false_not_run = 0;
  uint64_t crossed_answers = 0;
  uint64_t lost_answers_on_planned_stop = 0;
};

/// Everything that was seen in one schedule, by caller.
struct ledger {
  std::vector<wanted_work> work;
};

/// Gives the payload by which a task's start is known at an upstream.
std::string MakePayload(uint32_t caller, uint32_t task);

/// Gives the body with which an upstream answers a payload.
std::string MakeBody(const std::string& payload);

/// Notes that an upstream started a task.
void SeeStart(ledger& seen, const std::string& payload, instant now);

/// Notes that a caller's cancel was confirmed: what is not on its way to an
/// upstream by now may not start.
void SeeCancel(ledger& seen, uint32_t caller, instant now);

/// Notes an answer that reached a caller.
void SeeAnswer(ledger& seen, uint32_t caller, const job_answer& answer);

/// Counts the violations after the last event of a schedule.
violation_counts CountViolations(const ledger& seen);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_LEDGER_H_
