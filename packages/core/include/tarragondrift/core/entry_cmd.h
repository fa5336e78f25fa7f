// Commands on an entry. Each takes an event and the time, changes the state
// and appends the actions to carry out, in order.
#ifndef TARRAGONDRIFT_CORE_ENTRY_CMD_H_
#define TARRAGONDRIFT_CORE_ENTRY_CMD_H_

#include <chrono>
#include <cstdint>
#include <memory>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Makes an entry that has nothing running and no configuration.
entry MakeEntry(const entry_options& options);

/// Takes a configuration into force; an older version is ignored.
/// @return whether it is in force now.
bool ApplyEntryConfig(entry& state,
                      std::shared_ptr<const config_document> config);

/// Mints consecutive submission ids.
/// @return kNotRunDraining when the entry is stopping.
result<ticket_block> MintTickets(entry& state, uint32_t count);

/// Takes a submission, or attaches the waiter to what the id already names.
/// Every waiter gets exactly one deliver_answer, or one forward_submission.
/// @return the id under which the submission is known, or the refusal code
///   that was delivered.
result<submission_id> SubmitJob(entry& state, job_request request,
                                waiter_id waiter, instant now, actions& out);

/// Attaches a waiter to a submission that was sent before.
/// @return kNotFound, kAnswerExpired or kOwnerUnreachable when there is
///   nothing to attach to; then no action follows.
result<void> AwaitAnswer(entry& state, const submission_id& id,
                         waiter_id waiter, instant now, actions& out);

/// Forgets a waiter whose caller went away; the job goes on.
void DropWaiter(entry& state, const submission_id& id, waiter_id waiter);

/// Cancels a submission; cancelling again changes nothing.
/// @return kNotFound when this entry has no such submission running or kept.
result<void> CancelJob(entry& state, const submission_id& id, instant now,
                       actions& out);

/// Takes the end of an attempt that a start_task asked for.
void EndAttempt(entry& state, const placement& placed, attempt_result ended,
                instant now, actions& out);

/// Takes the answer of the table service to a claim_key.
void EndKeyClaim(entry& state, const submission_id& id, const key_claim& claim,
                 instant now, actions& out);

/// Takes the answer of the table service to a record_intent.
void EndIntentRecord(entry& state, const submission_id& id,
                     store_outcome outcome, instant now, actions& out);

/// Stops taking new submissions; what runs goes on to its answer.
void BeginDrain(entry& state, instant now, actions& out);

/// Ends a drain by force: every job that is left is answered truthfully.
void ForceDrain(entry& state, instant now, actions& out);

/// Takes over the kept answers of an entry that stops.
void AcceptHandover(entry& state, const hand_over& handed);

/// Does what time brings: deadlines, attempts whose slots came free.
void TickEntry(entry& state, instant now, actions& out);

/// A job's counts for its status.
struct job_progress {
  uint32_t tasks = 0;
  uint32_t running = 0;
  uint32_t finished = 0;
};

/// Tells how far a submission has come.
/// @return kNotFound when it is not running here.
result<job_progress> DescribeJob(const entry& state, const submission_id& id);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ENTRY_CMD_H_
