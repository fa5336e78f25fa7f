#include "tarragondrift/core/job_cmd.h"

#include <cassert>
#include <span>
#include <utility>

#include "tarragondrift/core/answer_store_cmd.h"
#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/key_owner_cmd.h"

namespace tarragondrift {
namespace {

/// Returns the terms of a request's contract in the configuration in force.
contract_terms TermsOf(const entry& state, const job_request& request) {
  const contract_config& contract =
      state.config->contracts.at(request.contract.index);
  return contract_terms{.idempotent = contract.idempotent,
                        .recorded = contract.recorded,
                        .max_attempts = contract.max_attempts,
                        .max_running_time = contract.max_running_time};
}

/// Returns the state of a task that the answer of its job reports.
task_state FinalState(const job_task& task) {
  switch (task.state) {
    case task_state::kQueued:
      return task.earlier_outcome_unknown ? task_state::kOutcomeUnknown
                                          : task_state::kNotStarted;
    case task_state::kRunning:
      return task_state::kOutcomeUnknown;
    default:
      return task.state;
  }
}

/// Whether a code does not promise that nothing was run, for a submission that
/// never started here, so that its callers may resubmit it unchanged.
bool MayResubmit(result_code code) {
  return code == result_code::kRefusedForNow ||
         code == result_code::kStoreUnavailable;
}

/// Builds the answer of a job that ends; with bodies only when all tasks
/// succeeded.
job_answer_ptr MakeAnswer(const entry& state, job& ended, result_code code,
                          instant now) {
  auto answer = std::make_shared<job_answer>();
  answer->id = ended.id;
  answer->code = code;
  answer->response_time = now - ended.accepted;
  const bool retryable = PromisesNotRun(code) || MayResubmit(code);
  answer->retry_after =
      retryable ? state.options.retry_after : std::chrono::milliseconds{0};
  if (MayResubmit(code)) {
    // No task states: they would promise that the tasks were not started, but a
    // later request may run them.
    return answer;
  }
  const bool succeeded = code == result_code::kOk;
  answer->tasks.reserve(ended.tasks.size());
  for (job_task& task : ended.tasks) {
    answer->tasks.push_back(
        task_answer{.name = std::move(task.request.name),
                    .state = FinalState(task),
                    .body = succeeded ? std::move(task.body) : std::string{}});
  }
  return answer;
}

/// Answers every waiter of a job and erases the job. Keeps the answer, unless
/// the submission may be resubmitted.
void FinishJob(entry& state, job_id id, result_code code, instant now,
               actions& out) {
  job& ended = state.jobs.Get(id);
  const submission_id ended_id = ended.id;
  const std::string key = ended.request.idempotency_key;
  const job_answer_ptr answer = MakeAnswer(state, ended, code, now);
  for (const waiter_id waiter : ended.waiters) {
    out.emplace_back(deliver_answer{.waiter = waiter, .answer = answer});
  }
  state.jobs.Erase(id);
  if (!MayResubmit(code)) {
    KeepAnswer(state, ended_id, answer);
    return;
  }
  const content_digest digest = state.submissions.at(ended_id).digest;
  KeepRefusal(state, ended_id,
              submission{.digest = digest, .may_resubmit = true});
  ForgetKey(state.keys, key, ended_id);
}

/// Returns the code of a job with an idempotency key that fails before its
/// first start. It promises "not run" only when no entry can run the job later.
result_code KeyedJobCode(const job& failed, result_code code) {
  if (code == result_code::kNotRunCancelled) {
    return failed.stage == job_stage::kClaiming ? result_code::kOutcomeUnknown
                                                : code;
  }
  if (code == result_code::kNotRunRecorded) {
    return code;
  }
  return code == result_code::kNotRunStoreUnavailable
             ? result_code::kStoreUnavailable
             : result_code::kRefusedForNow;
}

/// Attempts of a task that may crash an instance each before it is given up,
/// however many its contract allows.
constexpr uint32_t kMaxBrokenAttempts = 3;

/// Whether a task may be retried after its outcome was lost; spends from the
/// retry budget if so.
bool MayRetry(entry& state, const job& owner, const placement& failed) {
  if (state.options.fault_for_test == injected_fault::kStartAfterLostReply) {
    return true;
  }
  const job_task& task = owner.tasks[failed.task.task.number];
  const bool allowed = owner.terms.idempotent && owner.tasks.size() == 1 &&
                       task.attempts < owner.terms.max_attempts &&
                       task.broken_attempts < kMaxBrokenAttempts;
  return allowed && TakeRetry(state.dispatch);
}

/// Requests the start of one placed task.
void StartTask(entry& state, const placement& placed, actions& out) {
  job& owner = state.jobs.Get(placed.task.task.job);
  job_task& task = owner.tasks[placed.task.task.number];
  assert(owner.stage == job_stage::kRunning);
  assert(task.state == task_state::kQueued);
  task.state = task_state::kRunning;
  ++task.attempts;
  ++owner.running;
  ++owner.started;
  state.running.emplace(placed.task.task, placed);
  out.emplace_back(start_task{
      .id = owner.id,
      .placed = placed,
      .address = state.dispatch.instances.Get(placed.instance).address,
      .task_name = task.request.name,
      .payload = task.request.payload,
      .attempt = task.attempts,
      .timeout = owner.terms.max_running_time});
}

/// Queues every task of a job whose records are written.
void QueueTasks(entry& state, job_id id, instant now) {
  job& accepted = state.jobs.Get(id);
  accepted.stage = job_stage::kRunning;
  std::vector<queued_task> tasks;
  tasks.reserve(accepted.tasks.size());
  for (uint32_t number = 0; number < accepted.tasks.size(); ++number) {
    const task_request& request = accepted.tasks[number].request;
    tasks.push_back(queued_task{.task = {id, number},
                                .upstream = request.upstream,
                                .team = accepted.request.team,
                                .contract = accepted.request.contract,
                                .declared = request.declared,
                                .enqueued = now,
                                .deadline = accepted.deadline});
  }
  EnqueueJob(state.dispatch, tasks, now);
}

/// Queues and starts the tasks of a job whose records are written, or fails the
/// job when its deadline has passed.
void RunJob(entry& state, job_id id, instant now, actions& out) {
  if (state.jobs.Get(id).deadline <= now) {
    FailJob(state, id, result_code::kNotRunDeadline, now, out);
    return;
  }
  QueueTasks(state, id, now);
  StartPlaced(state, now, out);
}

/// Requests the intent record of a job whose contract requires one; runs any
/// other job.
void RecordOrRun(entry& state, job_id id, instant now, actions& out) {
  job& waiting = state.jobs.Get(id);
  if (!waiting.terms.recorded) {
    RunJob(state, id, now, out);
    return;
  }
  waiting.stage = job_stage::kRecording;
  RequestRecord(waiting, out);
}

/// Requeues a task whose attempt does not count as a start, or whose contract
/// allows another attempt.
void Requeue(entry& state, job_task& task, const placement& placed,
             instant now) {
  task.state = task_state::kQueued;
  RequeueTask(state.dispatch, placed.task, now);
}

/// Requeues a refused task, or fails its job when the retry budget is spent. A
/// refusal by a leaving instance costs no budget, because no further task is
/// placed there.
void HandleRefusal(entry& state, job& owner, const placement& placed,
                   bool leaving, instant now, actions& out) {
  job_task& task = owner.tasks[placed.task.task.number];
  if (leaving || TakeRetry(state.dispatch)) {
    Requeue(state, task, placed, now);
    return;
  }
  task.state = task_state::kQueued;
  FailJob(state, placed.task.task.job,
          owner.started > 0 ? result_code::kTaskFailed
                            : result_code::kNotRunNoInstance,
          now, out);
}

/// Applies the result of an attempt to its job.
void ApplyAttemptResult(entry& state, job& owner, const placement& placed,
                        attempt_result ended, instant now, actions& out) {
  const job_id handle = placed.task.task.job;
  job_task& task = owner.tasks[placed.task.task.number];
  --owner.running;
  switch (ended.outcome) {
    case attempt_outcome::kSucceeded:
      task.state = task_state::kSucceeded;
      task.body = std::move(ended.body);
      --owner.unfinished;
      if (owner.unfinished == 0) {
        FinishJob(state, handle, result_code::kOk, now, out);
      }
      break;
    case attempt_outcome::kFailed:
      task.state = task_state::kFailed;
      FailJob(state, handle, result_code::kTaskFailed, now, out);
      break;
    case attempt_outcome::kUnknown:
      task.earlier_outcome_unknown = true;
      task.broken_attempts += ended.connection_broken ? 1 : 0;
      if (MayRetry(state, owner, placed)) {
        Requeue(state, task, placed, now);
        break;
      }
      task.state = task_state::kOutcomeUnknown;
      FailJob(state, handle, result_code::kTaskOutcomeUnknown, now, out);
      break;
    case attempt_outcome::kRefused:
      --owner.started;
      HandleRefusal(state, owner, placed, ended.leaving, now, out);
      break;
  }
}

}  // namespace

job_id InsertJob(entry& state, job_request request, const submission_id& id,
                 instant now) {
  job accepted;
  accepted.id = id;
  accepted.terms = TermsOf(state, request);
  accepted.accepted = now;
  accepted.deadline = now + request.deadline;
  accepted.unfinished = static_cast<uint32_t>(request.tasks.size());
  accepted.tasks.reserve(request.tasks.size());
  for (task_request& task : request.tasks) {
    accepted.tasks.push_back(job_task{.request = std::move(task)});
  }
  request.tasks = {};
  const content_digest digest = request.digest;
  accepted.request = std::move(request);
  const job_deadline deadline{.at = accepted.deadline};
  const job_id handle = state.jobs.Insert(std::move(accepted));
  state.deadlines.push({deadline.at, handle});
  state.submissions[id] = submission{.digest = digest, .job = handle};
  MarkUsed(state.kept.window, id.sequence);
  return handle;
}

void RequestRecord(const job& waiting, actions& out) {
  if (waiting.stage == job_stage::kClaiming) {
    out.emplace_back(claim_key{.key = waiting.request.idempotency_key,
                               .id = waiting.id,
                               .digest = waiting.request.digest});
    return;
  }
  assert(waiting.stage == job_stage::kRecording);
  out.emplace_back(record_intent{.id = waiting.id});
}

void BeginJob(entry& state, job_id id, bool claim, instant now, actions& out) {
  job& waiting = state.jobs.Get(id);
  if (!claim) {
    RecordOrRun(state, id, now, out);
    return;
  }
  waiting.stage = job_stage::kClaiming;
  RequestRecord(waiting, out);
}

void AdvanceJob(entry& state, job_id id, instant now, actions& out) {
  job& waiting = state.jobs.Get(id);
  waiting.next_record.reset();
  if (waiting.stage == job_stage::kClaiming) {
    RecordOrRun(state, id, now, out);
    return;
  }
  RunJob(state, id, now, out);
}

void FailJob(entry& state, job_id id, result_code code, instant now,
             actions& out) {
  const job& failed = state.jobs.Get(id);
  const bool keyed = !failed.request.idempotency_key.empty();
  if (keyed && PromisesNotRun(code)) {
    code = KeyedJobCode(failed, code);
  }
  if (failed.stage == job_stage::kRunning) {
    DropJob(state.dispatch, id);
  }
  FinishJob(state, id, code, now, out);
}

void RedirectJob(entry& state, job_id id, const submission_id& holder,
                 instant now, actions& out) {
  job& ended = state.jobs.Get(id);
  const submission_id alias = ended.id;
  const std::vector<waiter_id> waiters = std::move(ended.waiters);
  job_request request = std::move(ended.request);
  for (job_task& task : ended.tasks) {
    request.tasks.push_back(std::move(task.request));
  }
  request.id = holder;
  state.jobs.Erase(id);
  KeepRefusal(state, alias,
              submission{.digest = request.digest, .holder = holder});
  for (const waiter_id waiter : waiters) {
    // The result is among the actions: an answer or a forward.
    static_cast<void>(SubmitJob(state, request, waiter, now, out));
  }
}

void StartPlaced(entry& state, instant now, actions& out) {
  while (const auto placed = PlaceNext(state.dispatch, now)) {
    StartTask(state, *placed, out);
  }
}

size_t task_ref_hash::operator()(const task_ref& task) const {
  constexpr size_t kHashMultiplier = 0x9e3779b97f4a7c15U;
  return typed_id_hash{}(task.job) * kHashMultiplier + task.number;
}

void OnAttemptResult(entry& state, const placement& placed,
                     attempt_result ended, instant now, actions& out) {
  const auto running = state.running.find(placed.task.task);
  // A repeated result, or one of an earlier attempt: its slot is already free.
  if (running == state.running.end() ||
      running->second.instance != placed.instance) {
    return;
  }
  state.running.erase(running);
  ReleaseSlot(state.dispatch, placed, ended, now);
  // A failed job is erased, and another job may have its index in the pool; the
  // generation in the id distinguishes them.
  job* const owner = state.jobs.Find(placed.task.task.job);
  if (owner != nullptr) {
    ApplyAttemptResult(state, *owner, placed, std::move(ended), now, out);
  }
  StartPlaced(state, now, out);
  ContinueDrain(state, out);
}

}  // namespace tarragondrift
