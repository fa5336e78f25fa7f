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

/// Copies what a job keeps of its contract.
contract_terms TermsOf(const entry& state, const job_request& request) {
  const contract_config& contract =
      state.config->contracts.at(request.contract.index);
  return contract_terms{.idempotent = contract.idempotent,
                        .recorded = contract.recorded,
                        .max_attempts = contract.max_attempts,
                        .max_running_time = contract.max_running_time};
}

/// Tells what is known of a task at the moment when its job is answered.
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

/// Tells whether a code promises nothing about a submission that never started
/// here, so that its callers may send it again as it is.
bool MaySendAgain(result_code code) {
  return code == result_code::kRefusedForNow ||
         code == result_code::kStoreUnavailable;
}

/// Builds the answer of a job that ends; bodies only when it is whole.
job_answer_ptr MakeAnswer(const entry& state, job& ended, result_code code,
                          instant now) {
  auto answer = std::make_shared<job_answer>();
  answer->id = ended.id;
  answer->code = code;
  answer->response_time = now - ended.accepted;
  const bool passes = PromisesNotRun(code) || MaySendAgain(code);
  answer->retry_after =
      passes ? state.options.retry_after : std::chrono::milliseconds{0};
  if (MaySendAgain(code)) {
    // Nothing is promised, of no task either: a later request may run them.
    return answer;
  }
  const bool whole = code == result_code::kOk;
  answer->tasks.reserve(ended.tasks.size());
  for (job_task& task : ended.tasks) {
    answer->tasks.push_back(
        task_answer{.name = std::move(task.request.name),
                    .state = FinalState(task),
                    .body = whole ? std::move(task.body) : std::string{}});
  }
  return answer;
}

/// Answers every waiter of a job and frees the job; the answer is kept unless
/// the submission may be sent again.
void FinishJob(entry& state, job_id id, result_code code, instant now,
               actions& out) {
  job& ended = state.jobs.Get(id);
  const submission_id name = ended.id;
  const std::string key = ended.request.idempotency_key;
  const job_answer_ptr answer = MakeAnswer(state, ended, code, now);
  for (const waiter_id waiter : ended.waiters) {
    out.emplace_back(deliver_answer{.waiter = waiter, .answer = answer});
  }
  state.jobs.Erase(id);
  if (!MaySendAgain(code)) {
    KeepAnswer(state, name, answer);
    return;
  }
  const content_digest digest = state.submissions.at(name).digest;
  KeepRefusal(state, name, submission{.digest = digest, .may_resubmit = true});
  ForgetKey(state.keys, key, name);
}

/// Gives the code for a job with an idempotency key that is given up before
/// its first start. "Not run" is promised only when nobody can run it later.
result_code KeyedCode(const job& failed, result_code code) {
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

/// Tells whether a task can be sent again after its outcome was lost, and
/// spends from the retry budget if so.
bool MayRetry(entry& state, const job& owner, const placement& failed) {
  if (state.options.fault_for_test == injected_fault::kStartAfterLostReply) {
    return true;
  }
  const job_task& task = owner.tasks[failed.task.task.number];
  const bool allowed = owner.terms.idempotent && owner.tasks.size() == 1 &&
                       task.attempts < owner.terms.max_attempts;
  return allowed && TakeRetry(state.dispatch);
}

/// Asks for the start of one placed task.
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

/// Queues every task of a job that may start now.
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

/// Lets a job start whose records are written, unless its time is over.
void RunJob(entry& state, job_id id, instant now, actions& out) {
  if (state.jobs.Get(id).deadline <= now) {
    FailJob(state, id, result_code::kNotRunDeadline, now, out);
    return;
  }
  QueueTasks(state, id, now);
  StartPlaced(state, now, out);
}

/// Asks for the intent record of a job whose contract wants one.
void RecordOrRun(entry& state, job_id id, instant now, actions& out) {
  job& waiting = state.jobs.Get(id);
  if (!waiting.terms.recorded) {
    RunJob(state, id, now, out);
    return;
  }
  waiting.stage = job_stage::kRecording;
  RequestRecord(waiting, out);
}

/// Puts a task back into the queue whose attempt can't count as a start, or
/// whose contract allows another.
void Requeue(entry& state, job_task& task, const placement& placed,
             instant now) {
  task.state = task_state::kQueued;
  RequeueTask(state.dispatch, placed.task, now);
}

/// Places a refused task again, or gives its job up when the budget of repeated
/// attempts is spent. What a leaving instance refuses costs no budget: nothing
/// more goes there.
void EndRefused(entry& state, job& owner, const placement& placed, bool leaving,
                instant now, actions& out) {
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

/// Takes the end of an attempt into its job.
void EndTask(entry& state, job& owner, const placement& placed,
             attempt_result ended, instant now, actions& out) {
  const job_id place = placed.task.task.job;
  job_task& task = owner.tasks[placed.task.task.number];
  --owner.running;
  switch (ended.outcome) {
    case attempt_outcome::kSucceeded:
      task.state = task_state::kSucceeded;
      task.body = std::move(ended.body);
      --owner.unfinished;
      if (owner.unfinished == 0) {
        FinishJob(state, place, result_code::kOk, now, out);
      }
      break;
    case attempt_outcome::kFailed:
      task.state = task_state::kFailed;
      FailJob(state, place, result_code::kTaskFailed, now, out);
      break;
    case attempt_outcome::kUnknown:
      task.earlier_outcome_unknown = true;
      if (MayRetry(state, owner, placed)) {
        Requeue(state, task, placed, now);
        break;
      }
      task.state = task_state::kOutcomeUnknown;
      FailJob(state, place, result_code::kTaskOutcomeUnknown, now, out);
      break;
    case attempt_outcome::kRefused:
      --owner.started;
      EndRefused(state, owner, placed, ended.leaving, now, out);
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
  const job_id place = state.jobs.Insert(std::move(accepted));
  state.deadlines.push({deadline.at, place});
  state.submissions[id] = submission{.digest = digest, .job = place};
  MarkUsed(state.kept.window, id.sequence);
  return place;
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
    code = KeyedCode(failed, code);
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
    // The outcome is in the actions: an answer or a forward.
    static_cast<void>(SubmitJob(state, request, waiter, now, out));
  }
}

void StartPlaced(entry& state, instant now, actions& out) {
  while (const auto placed = PlaceNext(state.dispatch, now)) {
    StartTask(state, *placed, out);
  }
}

size_t task_ref_hash::operator()(const task_ref& task) const {
  constexpr size_t kSpread = 0x9e3779b97f4a7c15U;
  return typed_id_hash{}(task.job) * kSpread + task.number;
}

void OnAttemptResult(entry& state, const placement& placed,
                     attempt_result ended, instant now, actions& out) {
  const auto running = state.running.find(placed.task.task);
  // Told twice, or of an attempt that is over: its slot is free already.
  if (running == state.running.end() ||
      running->second.instance != placed.instance) {
    return;
  }
  state.running.erase(running);
  ReleaseSlot(state.dispatch, placed, ended, now);
  // A job that was given up is gone, and its place may be another job's; the
  // generation in the id tells them apart.
  job* const owner = state.jobs.Find(placed.task.task.job);
  if (owner != nullptr) {
    EndTask(state, *owner, placed, std::move(ended), now, out);
  }
  StartPlaced(state, now, out);
  ContinueDrain(state, out);
}

}  // namespace tarragondrift
