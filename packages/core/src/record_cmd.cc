// Records that must precede the first start of a job.
#include <utility>

#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/job_cmd.h"

namespace tarragondrift {
namespace {

/// Returns the job of a submission that waits for the record of this stage; an
/// invalid id when it does not wait for that record.
job_id FindWaiting(const entry& state, const submission_id& id,
                   job_stage stage) {
  const auto known = state.submissions.find(id);
  if (known == state.submissions.end()) {
    return job_id{};
  }
  const job* const waiting = state.jobs.Find(known->second.job);
  return waiting != nullptr && waiting->stage == stage ? known->second.job
                                                       : job_id{};
}

/// Schedules a retry of a record with an unknown outcome. Nothing starts before
/// the outcome is known, and a second insert of the same row changes nothing.
void ScheduleRetry(entry& state, job_id id, instant now) {
  state.jobs.Get(id).next_record = now + state.options.record_retry;
  state.record_retries.push_back(id);
}

/// Handles a claim of a key that is already held.
void HandleHeldKey(entry& state, job_id id, const key_claim& claim, instant now,
                   actions& out) {
  const job& waiting = state.jobs.Get(id);
  if (claim.holder_digest != waiting.request.digest) {
    FailJob(state, id, result_code::kContentMismatch, now, out);
    return;
  }
  if (claim.holder == waiting.id) {
    AdvanceJob(state, id, now, out);
    return;
  }
  RedirectJob(state, id, claim.holder, now, out);
}

}  // namespace

void OnKeyClaimResult(entry& state, const submission_id& id,
                      const key_claim& claim, instant now, actions& out) {
  const job_id waiting = FindWaiting(state, id, job_stage::kClaiming);
  if (!waiting.Valid()) {
    return;
  }
  const bool start_on_unknown =
      state.options.fault_for_test == injected_fault::kStartAfterLostReply;
  switch (claim.outcome) {
    case store_outcome::kApplied:
      AdvanceJob(state, waiting, now, out);
      break;
    case store_outcome::kConflict:
      HandleHeldKey(state, waiting, claim, now, out);
      break;
    case store_outcome::kUnavailable:
      FailJob(state, waiting, result_code::kNotRunStoreUnavailable, now, out);
      break;
    case store_outcome::kUnknown:
      if (start_on_unknown) {
        AdvanceJob(state, waiting, now, out);
      } else {
        ScheduleRetry(state, waiting, now);
      }
      break;
  }
  ContinueDrain(state, out);
}

void OnIntentRecordResult(entry& state, const submission_id& id,
                          store_outcome outcome, instant now, actions& out) {
  const job_id waiting = FindWaiting(state, id, job_stage::kRecording);
  if (!waiting.Valid()) {
    return;
  }
  switch (outcome) {
    case store_outcome::kApplied:
      AdvanceJob(state, waiting, now, out);
      break;
    case store_outcome::kConflict:
      FailJob(state, waiting, result_code::kNotRunRecorded, now, out);
      break;
    case store_outcome::kUnavailable:
      FailJob(state, waiting, result_code::kNotRunStoreUnavailable, now, out);
      break;
    case store_outcome::kUnknown:
      ScheduleRetry(state, waiting, now);
      break;
  }
  ContinueDrain(state, out);
}

void RetryRecords(entry& state, instant now, actions& out) {
  std::vector<job_id> not_due;
  for (const job_id id : std::exchange(state.record_retries, {})) {
    job* const waiting = state.jobs.Find(id);
    if (waiting == nullptr || !waiting->next_record.has_value()) {
      continue;
    }
    if (*waiting->next_record > now) {
      not_due.push_back(id);
      continue;
    }
    waiting->next_record.reset();
    RequestRecord(*waiting, out);
  }
  state.record_retries = std::move(not_due);
}

}  // namespace tarragondrift
