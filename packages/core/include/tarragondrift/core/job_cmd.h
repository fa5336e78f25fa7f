// Commands on the jobs of an entry, for the commands of entry_cmd.h.
#ifndef TARRAGONDRIFT_CORE_JOB_CMD_H_
#define TARRAGONDRIFT_CORE_JOB_CMD_H_

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Inserts the job of a new submission whose id is minted and unused; starts
/// none of its tasks.
job_id InsertJob(entry& state, job_request request, const submission_id& id,
                 instant now);

/// Begins a job: requests a record that must precede its first start, or
/// queues its tasks.
/// @param claim whether the job's idempotency key must be claimed.
void BeginJob(entry& state, job_id id, bool claim, instant now, actions& out);

/// Continues a job after the record for which it waited was written.
void AdvanceJob(entry& state, job_id id, instant now, actions& out);

/// Requests the record for which a job waits.
void RequestRecord(const job& waiting, actions& out);

/// Fails a job: none of its tasks start any more, and its answer is delivered
/// at once. A running task is reported as outcome unknown; its slot comes free
/// when its attempt ends. A job with an idempotency key that never started is
/// forgotten when its code does not promise that nothing was run, so that the
/// key can be submitted again.
void FailJob(entry& state, job_id id, result_code code, instant now,
             actions& out);

/// Ends a job whose key is held by another submission. It gets no answer of its
/// own; its waiters are attached to the holder.
void RedirectJob(entry& state, job_id id, const submission_id& holder,
                 instant now, actions& out);

/// Starts queued tasks while slots are free.
void StartPlaced(entry& state, instant now, actions& out);

/// Requests again the records whose outcome is unknown and whose retry is due.
void RetryRecords(entry& state, instant now, actions& out);

/// Hands over the next kept answers of a draining entry, and ends the drain
/// when nothing is left.
void ContinueDrain(entry& state, actions& out);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_JOB_CMD_H_
