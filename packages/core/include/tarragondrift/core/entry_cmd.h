// Commands on an entry. Each takes an event and the time, changes the state
// and appends the actions to carry out, in order.
#ifndef TARRAGONDRIFT_CORE_ENTRY_CMD_H_
#define TARRAGONDRIFT_CORE_ENTRY_CMD_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Makes an entry that has nothing running and no configuration.
entry MakeEntry(const entry_options& options);

/// Takes a configuration into force; an older version is ignored.
/// @return whether it is in force now.
bool ApplyEntryConfig(entry& state,
                      std::shared_ptr<const config_document> config);

/// Mints consecutive submission ids, fewer than asked for above the limit.
/// @return kNotRunDraining when the entry is stopping, kMalformedRequest when
///   none are asked for.
result<ticket_block> MintTickets(entry& state, uint32_t count);

/// Takes a submission, or attaches the waiter to what its id or key already
/// names. The request was checked against the configuration in force now. Its
/// digest covers the content, neither the id nor the key. Every waiter gets
/// exactly one deliver_answer, or one forward_submission.
/// @return the id under which the submission is known, or the refusal code
///   that was delivered.
result<submission_id> SubmitJob(entry& state, job_request request,
                                waiter_id waiter, instant now, actions& out);

/// Takes a submission that another entry forwarded: like SubmitJob, but one
/// that is neither owned nor kept here is refused with kOwnerGone, never run.
result<submission_id> SubmitForwarded(entry& state, job_request request,
                                      waiter_id waiter, instant now,
                                      actions& out);

/// Takes the end of a forward that brought no answer; the waiter is answered,
/// or a fence_intent follows.
void OnForwardResult(entry& state, const forward_submission& sent,
                     forward_outcome outcome, instant now, actions& out);

/// Takes the answer of the table service to a fence_intent.
void OnIntentFenceResult(entry& state, const fence_intent& asked,
                         fence_outcome outcome, actions& out);

/// Attaches a waiter to a submission that was sent before.
/// @return kNotFound, kAnswerExpired, kNotRunStaleId, kInvalidSubmissionId,
///   kRefusedForNow or kOwnerUnreachable when there is nothing to attach to;
///   then no action follows.
result<void> AwaitAnswer(entry& state, const submission_id& id,
                         waiter_id waiter, instant now, actions& out);

/// Finds which submission an id stands for; another when its idempotency key
/// turned out to be held already.
submission_id ResolveSubmission(const entry& state, const submission_id& id);

/// Forgets a waiter whose caller went away; the job goes on.
void DropWaiter(entry& state, const submission_id& id, waiter_id waiter);

/// Cancels a submission; cancelling again changes nothing. A ticket of this
/// entry that was not used yet can't be used any more.
/// @return kNotFound when this entry has no such submission running or kept.
result<void> CancelJob(entry& state, const submission_id& id, instant now,
                       actions& out);

/// Takes the end of an attempt that a start_task asked for, once for each.
void OnAttemptResult(entry& state, const placement& placed,
                     attempt_result ended, instant now, actions& out);

/// Takes the answer of the table service to a claim_key.
void OnKeyClaimResult(entry& state, const submission_id& id,
                      const key_claim& claim, instant now, actions& out);

/// Takes the answer of the table service to a record_intent. kApplied also
/// when the entry's own record was there before; kConflict only when somebody
/// fenced the id.
void OnIntentRecordResult(entry& state, const submission_id& id,
                          store_outcome outcome, instant now, actions& out);

/// Stops taking new submissions; what runs goes on to its answer. Kept answers
/// go to a successor by hand_over actions, one at a time.
void BeginDrain(entry& state, instant now, actions& out);

/// Takes the end of a hand_over. Accepted: with its key intervals, if it had
/// any. Not accepted: it is asked for again, best to
/// another successor. Accepted by another successor than the earlier ones:
/// those are sent again too.
void OnHandoverResult(entry& state, const handover_result& ended, actions& out);

/// Ends a drain by force: every job that is left is answered truthfully, and
/// what was not handed over is asked for once more.
void ForceDrain(entry& state, instant now, actions& out);

/// Takes over the kept answers and key intervals of an entry that stops.
/// @return false when this entry is stopping itself and took none.
bool AcceptHandover(entry& state, const hand_over& handed);

/// Claims the key intervals that this entry should own from now on.
/// @param live the live entries of its data centre, itself included.
/// @param epoch_time time since the Unix epoch, right to some seconds.
void ClaimIntervals(entry& state, std::span<const incarnation> live,
                    std::chrono::milliseconds epoch_time, actions& out);

/// Takes the answer of the table service to a claim_interval.
/// @param holder who owns the interval, with kApplied and kConflict.
void OnIntervalClaimResult(entry& state, const key_interval& interval,
                           store_outcome outcome, incarnation holder);

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
