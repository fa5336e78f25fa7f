// Commands on an entry. Each handles an event, changes the state and appends
// the actions to carry out, in order.
#ifndef TARRAGONDRIFT_CORE_ENTRY_CMD_H_
#define TARRAGONDRIFT_CORE_ENTRY_CMD_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Returns an entry without jobs and without a configuration.
entry MakeEntry(const entry_options& options);

/// Puts a configuration into force if its version is newer than the current.
/// @return whether it was put into force.
bool ApplyEntryConfig(entry& state,
                      std::shared_ptr<const config_document> config);

/// Mints `count` consecutive submission ids, but no more than the limit of one
/// request.
/// @return kNotRunDraining when the entry is stopping, kMalformedRequest when
///   `count` is 0.
result<ticket_block> MintTickets(entry& state, uint32_t count);

/// Accepts a submission, or attaches the waiter to the submission that its id
/// or key already names. The request must have been checked against the
/// configuration in force. Its digest covers the content, but neither the id
/// nor the key. Every waiter gets exactly one deliver_answer or one
/// forward_submission.
/// @return the id under which the submission is known, or the refusal code
///   that was delivered.
result<submission_id> SubmitJob(entry& state, job_request request,
                                waiter_id waiter, instant now, actions& out);

/// Accepts a submission that another entry forwarded. Like SubmitJob, but a
/// submission that this entry neither owns nor keeps is refused with
/// kOwnerGone and never run.
result<submission_id> SubmitForwarded(entry& state, job_request request,
                                      waiter_id waiter, instant now,
                                      actions& out);

/// Handles a forward that brought no answer: answers the waiter or requests a
/// fence_intent.
void OnForwardResult(entry& state, const forward_submission& sent,
                     forward_outcome outcome, instant now, actions& out);

/// Handles the result of a fence_intent.
void OnIntentFenceResult(entry& state, const fence_intent& fence,
                         fence_outcome outcome, actions& out);

/// Attaches a waiter to an earlier submission.
/// @return kNotFound, kAnswerExpired, kNotRunStaleId, kInvalidSubmissionId,
///   kRefusedForNow or kOwnerUnreachable when this entry has neither a job nor
///   an answer for the id; then no action follows.
result<void> AwaitAnswer(entry& state, const submission_id& id,
                         waiter_id waiter, instant now, actions& out);

/// Returns the submission that an id stands for: the holder of its idempotency
/// key when another submission holds the key, otherwise the id itself.
submission_id ResolveSubmission(const entry& state, const submission_id& id);

/// Removes a waiter whose caller disconnected; the job continues.
void DropWaiter(entry& state, const submission_id& id, waiter_id waiter);

/// Cancels a submission; repeated calls change nothing. An unused ticket of
/// this entry becomes invalid.
/// @return kNotFound for an id of another entry or one that was never minted,
///   kNotRunStaleId for an unknown id below the watermark, kAnswerExpired for a
///   used id whose answer is no longer kept.
result<void> CancelJob(entry& state, const submission_id& id, instant now,
                       actions& out);

/// Handles the result of a start_task; called once for each.
void OnAttemptResult(entry& state, const placement& placed,
                     attempt_result ended, instant now, actions& out);

/// Handles the result of a claim_key.
void OnKeyClaimResult(entry& state, const submission_id& id,
                      const key_claim& claim, instant now, actions& out);

/// Handles the result of a record_intent: kApplied also when the entry's own
/// record existed already, kConflict only when another entry fenced the id.
void OnIntentRecordResult(entry& state, const submission_id& id,
                          store_outcome outcome, instant now, actions& out);

/// Stops accepting submissions; accepted jobs continue to their answers. Kept
/// answers go to a successor by hand_over actions, one at a time.
void BeginDrain(entry& state, instant now, actions& out);

/// Handles the result of a hand_over. Accepting a message also takes
/// over its key intervals. A message that was not accepted is requested again,
/// preferably to another successor. When another successor accepts than the
/// one of the earlier messages, the earlier answers are sent again too.
void OnHandoverResult(entry& state, const handover_result& ended, actions& out);

/// Ends a drain by force: answers every remaining job with the code for not
/// run or for stopped after a start, and requests the handover of the remaining
/// answers once.
void ForceDrain(entry& state, instant now, actions& out);

/// Takes over the kept answers and key intervals of a stopping entry.
/// @return false, with nothing taken over, when this entry is stopping itself.
bool AcceptHandover(entry& state, const hand_over& handed);

/// Claims the current and the next key intervals that this entry should own.
/// @param live the live entries of its data centre, itself included.
/// @param epoch_time time since the Unix epoch, accurate to some seconds.
void ClaimIntervals(entry& state, std::span<const incarnation> live,
                    std::chrono::milliseconds epoch_time, actions& out);

/// Handles the result of a claim_interval.
/// @param holder the owner of the interval; valid with kApplied and kConflict.
void OnIntervalClaimResult(entry& state, const key_interval& interval,
                           store_outcome outcome, incarnation holder);

/// Handles passed deadlines, due retries of records and free slots.
void TickEntry(entry& state, instant now, actions& out);

/// Task counts of a job.
struct job_progress {
  uint32_t tasks = 0;
  uint32_t running = 0;
  uint32_t finished = 0;
};

/// Returns the progress of a job; kNotFound when it is not running here.
result<job_progress> DescribeJob(const entry& state, const submission_id& id);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ENTRY_CMD_H_
