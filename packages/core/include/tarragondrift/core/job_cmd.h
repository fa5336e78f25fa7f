// Commands on the jobs of an entry; the commands of entry_cmd.h use them.
#ifndef TARRAGONDRIFT_CORE_JOB_CMD_H_
#define TARRAGONDRIFT_CORE_JOB_CMD_H_

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Makes the job of a new submission whose id is minted and not used.
/// @return its place; nothing of it has started.
job_id InsertJob(entry& state, job_request request, const submission_id& id,
                 instant now);

/// Takes the first step of a job towards its first start: asks for a record
/// that must precede it, or queues its tasks.
/// @param claim whether the table must be asked who holds the job's key.
void BeginJob(entry& state, job_id id, bool claim, instant now, actions& out);

/// Takes the next step of a job after the record that it waited for.
void AdvanceJob(entry& state, job_id id, instant now, actions& out);

/// Asks again for the record that a job waits for.
void RequestRecord(const job& waiting, actions& out);

/// Gives a job up: nothing more of it starts, and its answer goes out at once.
/// A task that runs is told as outcome unknown; its slot comes free when its
/// attempt ends. A job with an idempotency key that never started is forgotten
/// under a code that promises nothing, so that the key can be sent again.
void FailJob(entry& state, job_id id, result_code code, instant now,
             actions& out);

/// Ends a job without an answer of its own: its key is held by another
/// submission, to which all of its waiters go.
void RedirectJob(entry& state, job_id id, const submission_id& holder,
                 instant now, actions& out);

/// Starts all that has a free slot.
void StartPlaced(entry& state, instant now, actions& out);

/// Asks again for the records whose outcome was not known.
void RetryRecords(entry& state, instant now, actions& out);

/// Hands over the next kept answers of an entry that drains, and ends the
/// drain when nothing is left.
void ContinueDrain(entry& state, actions& out);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_JOB_CMD_H_
