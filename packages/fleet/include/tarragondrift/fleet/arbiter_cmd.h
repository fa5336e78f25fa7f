// What witnesses and controllers know of claims on jobs. A witness of a job
// remembers which submission has it. A submission that repeats an earlier one
// by its caller's timeout is granted after all controllers have stopped the
// earlier one and refuse it from then on.
#ifndef TARRAGONDRIFT_FLEET_ARBITER_CMD_H_
#define TARRAGONDRIFT_FLEET_ARBITER_CMD_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Whether the timeout that its caller gave tells that a submission came before
/// another one of its job.
bool IsEarlierSubmission(std::chrono::milliseconds timeout,
                         std::chrono::milliseconds other);

/// Whether the job of a submission belongs to another one, by what this
/// controller was told.
bool IsSuperseded(const engine& state, const std::string& job,
                  const job_attempt& attempt, instant now);

/// Decides a claim as a witness of its job, and tells the controllers of it if
/// an earlier submission has to end first.
/// @param asker the entry that gets the verdict if it is pending.
claim_outcome DecideClaim(engine& state, uint64_t asker, const job_claim& claim,
                          instant now);

/// Ends the record of a submission, as its witness.
/// @param settled when none of its tasks runs any more.
void EndClaimRecord(engine& state, const std::string& job,
                    const job_attempt& attempt, instant settled, instant now);

/// Returns the notice of a record, for a peer that may have missed it.
claim_notice MakeNotice(const std::string& job, const claim_record& record,
                        instant now);

/// Handle messages; `from` is the sender.
void OnClaimNotice(engine& state, uint64_t from, const claim_notice& notice,
                   instant now);
void OnClaimConfirmation(engine& state, uint64_t from,
                         const claim_confirmation& confirmation, instant now);

/// Confirms notices whose runs have ended, and gives up rounds that take too
/// long.
void TickArbiter(engine& state, instant now);

/// Sends a verdict to the entry that asked for it.
void SendVerdict(engine& state, uint64_t asker, const std::string& job,
                 const job_attempt& attempt, claim_outcome outcome,
                 bool local = false);

/// Logs a decision on a claim.
void LogClaim(engine& state, const char* event, const std::string& job,
              const job_attempt& attempt, const char* cause,
              std::chrono::milliseconds timeout, std::chrono::milliseconds age);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ARBITER_CMD_H_
