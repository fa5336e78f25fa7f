// The modelled callers, who resubmit anywhere until they have a final answer.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_CALLER_H_
#define TARRAGONDRIFT_BENCH_SAFETY_CALLER_H_

#include "world.h"

namespace tarragondrift::bench {

/// Attempts of an idempotent request, the first included.
constexpr uint32_t kIdempotentAttempts = 3;

/// Adds a caller who submits his work from now on.
void AddCaller(world& all);

/// Takes an answer at a caller.
void TakeAnswer(world& all, uint32_t number, const job_answer_ptr& answer);

/// Has a caller cancel his work, if he knows its id.
void CancelWork(world& all, uint32_t number);

/// Has every caller with a whole answer ask for it again.
void ProbeAnswers(world& all);

/// Counts the whole answers of entries that stopped as planned which a
/// resubmission does not find again.
uint64_t CountLostAnswers(const world& all);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_CALLER_H_
