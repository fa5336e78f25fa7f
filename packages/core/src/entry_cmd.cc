#include "tarragondrift/core/entry_cmd.h"

#include <utility>

#include "tarragondrift/core/answer_store_cmd.h"
#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/job_cmd.h"

namespace tarragondrift {
namespace {

/// Returns the code of a job whose deadline has passed.
result_code DeadlineCode(const job& expired) {
  if (expired.stage != job_stage::kRunning) {
    return result_code::kNotRunStoreUnavailable;
  }
  return expired.started > 0 ? result_code::kDeadlineExceeded
                             : result_code::kNotRunDeadline;
}

/// Fails every job whose deadline has passed.
void FailExpiredJobs(entry& state, instant now, actions& out) {
  while (!state.deadlines.empty() && state.deadlines.top().at <= now) {
    const job_id id = state.deadlines.top().job;
    state.deadlines.pop();
    const job* const expired = state.jobs.Find(id);
    if (expired != nullptr) {
      FailJob(state, id, DeadlineCode(*expired), now, out);
    }
  }
}

}  // namespace

entry MakeEntry(const entry_options& options) {
  entry state;
  state.options = options;
  state.kept.window = MakeSequenceWindow(options.remembered_sequences);
  state.dispatch = MakeDispatcher(options.dispatch);
  return state;
}

bool ApplyEntryConfig(entry& state,
                      std::shared_ptr<const config_document> config) {
  if (state.config != nullptr && config->version <= state.config->version) {
    return false;
  }
  ApplyConfig(state.dispatch, *config);
  state.config = std::move(config);
  return true;
}

void TickEntry(entry& state, instant now, actions& out) {
  TickDispatcher(state.dispatch, now);
  FailExpiredJobs(state, now, out);
  RetryRecords(state, now, out);
  StartPlaced(state, now, out);
  ContinueDrain(state, out);
}

result<job_progress> DescribeJob(const entry& state, const submission_id& id) {
  const auto known = state.submissions.find(id);
  if (known == state.submissions.end()) {
    return result_code::kNotFound;
  }
  const job* const running = state.jobs.Find(known->second.job);
  if (running == nullptr) {
    return result_code::kNotFound;
  }
  const auto tasks = static_cast<uint32_t>(running->tasks.size());
  return job_progress{.tasks = tasks,
                      .running = running->running,
                      .finished = tasks - running->unfinished};
}

}  // namespace tarragondrift
