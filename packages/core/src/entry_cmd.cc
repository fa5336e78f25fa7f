#include "tarragondrift/core/entry_cmd.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "tarragondrift/core/dispatch_cmd.h"

namespace tarragondrift {
namespace {

/// Makes the answer to a request that was refused before it became a job.
job_answer_ptr MakeRefusal(const submission_id& id, result_code code) {
  return std::make_shared<const job_answer>(job_answer{.id = id, .code = code});
}

/// Counts the bytes of a kept answer's bodies and names.
size_t AnswerBytes(const job_answer& answer) {
  size_t bytes = 0;
  for (const task_answer& task : answer.tasks) {
    bytes += task.name.size() + task.body.size();
  }
  return bytes;
}

/// Drops the oldest kept answers beyond the limits. The watermark moves first,
/// so that an id whose answer is gone is never taken for a new one.
void EvictAnswers(entry& state) {
  while (!state.kept.empty() &&
         (state.kept.size() > state.options.most_kept_answers ||
          state.kept_bytes > state.options.most_kept_bytes)) {
    const uint64_t sequence = state.kept.front();
    state.kept.pop_front();
    state.watermark = std::max(state.watermark, sequence + 1);
    const auto at = state.submissions.find(
        submission_id{state.options.data_centre, state.options.self, sequence});
    state.kept_bytes -= AnswerBytes(*at->second.answer);
    state.submissions.erase(at);
  }
}

/// Builds the answer of a job that has ended; bodies only when it is whole.
job_answer_ptr MakeAnswer(job& ended, instant now) {
  auto answer = std::make_shared<job_answer>();
  answer->id = ended.id;
  answer->code = ended.failure;
  answer->response_time = now - ended.accepted;
  const bool whole = ended.failure == result_code::kOk;
  for (job_task& task : ended.tasks) {
    const bool started = task.state != task_state::kQueued;
    answer->tasks.push_back(
        task_answer{.name = std::move(task.request.name),
                    .state = started ? task.state : task_state::kNotStarted,
                    .body = whole ? std::move(task.body) : std::string{}});
  }
  return answer;
}

/// Answers every waiter of a job, keeps the answer and frees the job.
void FinishJob(entry& state, job_id id, instant now, actions& out) {
  job& ended = state.jobs.Get(id);
  submission& record = state.submissions.at(ended.id);
  record.answer = MakeAnswer(ended, now);
  record.job = job_id{};
  for (const waiter_id waiter : ended.waiters) {
    out.emplace_back(deliver_answer{.waiter = waiter, .answer = record.answer});
  }
  state.kept.push_back(ended.id.sequence);
  state.kept_bytes += AnswerBytes(*record.answer);
  state.jobs.Erase(id);
  EvictAnswers(state);
}

/// Fails a job whole: nothing more of it starts, and its answer goes out at
/// once unless attempts whose outcome belongs to it are still running.
void FailJob(entry& state, job_id id, result_code code, instant now,
             actions& out) {
  job& failed = state.jobs.Get(id);
  if (failed.stage != job_stage::kEnding) {
    failed.stage = job_stage::kEnding;
    failed.failure = code;
    DropJob(state.dispatch, id);
  }
  if (failed.running == 0) {
    FinishJob(state, id, now, out);
  }
}

/// Asks for the start of one placed task.
void StartPlaced(entry& state, const placement& placed, actions& out) {
  job& owner = state.jobs.Get(placed.task.task.job);
  job_task& task = owner.tasks[placed.task.task.number];
  assert(task.state == task_state::kQueued);
  task.state = task_state::kRunning;
  ++task.attempts;
  ++owner.running;
  owner.any_started = true;
  state.running.emplace(placed.task.task, placed);
  const contract_config& contract =
      state.config->contracts[owner.request.contract.index];
  out.emplace_back(start_task{
      .id = owner.id,
      .placed = placed,
      .address = state.dispatch.instances.Get(placed.instance).address,
      .task_name = task.request.name,
      .payload = task.request.payload,
      .attempt = task.attempts,
      .timeout = contract.longest_running});
}

/// Starts all that has a free slot.
void Pump(entry& state, instant now, actions& out) {
  while (const auto placed = PlaceNext(state.dispatch, now)) {
    StartPlaced(state, *placed, out);
  }
}

/// Queues every task of an accepted job.
void QueueTasks(entry& state, job_id id, instant now) {
  const job& accepted = state.jobs.Get(id);
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

/// Makes the job of a new submission.
job_id InsertJob(entry& state, job_request request, const submission_id& id,
                 instant now) {
  job accepted;
  accepted.id = id;
  accepted.accepted = now;
  accepted.deadline = now + request.deadline;
  accepted.unfinished = static_cast<uint32_t>(request.tasks.size());
  accepted.tasks.reserve(request.tasks.size());
  for (task_request& task : request.tasks) {
    accepted.tasks.push_back(job_task{.request = std::move(task)});
  }
  request.tasks.clear();
  const content_digest digest = request.digest;
  accepted.request = std::move(request);
  const job_id place = state.jobs.Insert(std::move(accepted));
  state.submissions[id] = submission{.digest = digest, .job = place};
  return place;
}

/// Attaches a waiter to a known submission, or repeats its kept answer.
void Attach(entry& state, const submission& known, waiter_id waiter,
            actions& out) {
  if (known.answer != nullptr) {
    out.emplace_back(deliver_answer{.waiter = waiter, .answer = known.answer});
    return;
  }
  state.jobs.Get(known.job).waiters.push_back(waiter);
}

/// Tells whether this entry minted the id.
bool Owns(const entry& state, const submission_id& id) {
  return id.owner == state.options.self;
}

/// Finds why a submission that this entry owns and does not know cannot
/// become a job.
result_code TestNewSubmission(const entry& state, const job_request& request,
                              instant now) {
  if (state.stage != entry_stage::kServing) {
    return result_code::kNotRunDraining;
  }
  if (state.config == nullptr) {
    return result_code::kNotRunNoConfig;
  }
  return TestAdmission(state.dispatch, request, now);
}

/// Tests an id of this entry that is not in the table.
result_code TestUnknownId(const entry& state, const submission_id& id) {
  if (id.sequence == 0 || id.sequence >= state.next_sequence) {
    return result_code::kInvalidSubmissionId;
  }
  return id.sequence < state.watermark ? result_code::kAnswerExpired
                                       : result_code::kOk;
}

}  // namespace

entry MakeEntry(const entry_options& options) {
  entry state;
  state.options = options;
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

result<ticket_block> MintTickets(entry& state, uint32_t count) {
  if (state.stage != entry_stage::kServing) {
    return result_code::kNotRunDraining;
  }
  ticket_block block{.first = {state.options.data_centre, state.options.self,
                               state.next_sequence},
                     .count = count};
  state.next_sequence += count;
  return block;
}

result<submission_id> SubmitJob(entry& state, job_request request,
                                waiter_id waiter, instant now, actions& out) {
  const auto refuse = [&](const submission_id& id, result_code code) {
    out.emplace_back(
        deliver_answer{.waiter = waiter, .answer = MakeRefusal(id, code)});
    return code;
  };
  if (request.id.has_value() && !Owns(state, *request.id)) {
    const submission_id id = *request.id;
    out.emplace_back(forward_submission{
        .waiter = waiter,
        .owner = id.owner,
        .request = std::make_shared<const job_request>(std::move(request))});
    return id;
  }
  if (request.id.has_value()) {
    const auto known = state.submissions.find(*request.id);
    if (known != state.submissions.end()) {
      if (known->second.digest != request.digest) {
        return refuse(*request.id, result_code::kContentMismatch);
      }
      Attach(state, known->second, waiter, out);
      return known->first;
    }
    const result_code test = TestUnknownId(state, *request.id);
    if (test != result_code::kOk) {
      return refuse(*request.id, test);
    }
  }
  const result_code test = TestNewSubmission(state, request, now);
  if (test != result_code::kOk) {
    return refuse(request.id.value_or(submission_id{}), test);
  }
  const submission_id id = request.id.has_value()
                               ? *request.id
                               : MintTickets(state, 1).assume_value().first;
  const job_id place = InsertJob(state, std::move(request), id, now);
  state.jobs.Get(place).waiters.push_back(waiter);
  QueueTasks(state, place, now);
  Pump(state, now, out);
  return id;
}

result<void> AwaitAnswer(entry& state, const submission_id& id,
                         waiter_id waiter, instant /*now*/, actions& out) {
  const auto known = state.submissions.find(id);
  if (known != state.submissions.end()) {
    Attach(state, known->second, waiter, out);
    return outcome::success();
  }
  if (!Owns(state, id)) {
    return result_code::kOwnerUnreachable;
  }
  const result_code test = TestUnknownId(state, id);
  return test == result_code::kOk ? result_code::kNotFound : test;
}

void DropWaiter(entry& state, const submission_id& id, waiter_id waiter) {
  const auto known = state.submissions.find(id);
  if (known != state.submissions.end() && known->second.answer == nullptr) {
    std::erase(state.jobs.Get(known->second.job).waiters, waiter);
  }
}

result<void> CancelJob(entry& state, const submission_id& id, instant now,
                       actions& out) {
  const auto known = state.submissions.find(id);
  if (known == state.submissions.end()) {
    return result_code::kNotFound;
  }
  if (known->second.answer != nullptr) {
    return outcome::success();
  }
  const job_id place = known->second.job;
  const bool started = state.jobs.Get(place).any_started;
  FailJob(state, place,
          started ? result_code::kCancelledAfterStart
                  : result_code::kNotRunCancelled,
          now, out);
  Pump(state, now, out);
  return outcome::success();
}

void EndAttempt(entry& state, const placement& placed, attempt_result ended,
                instant now, actions& out) {
  ReleaseSlot(state.dispatch, placed, ended, now);
  const auto running = state.running.find(placed.task.task);
  job* owner = state.jobs.Find(placed.task.task.job);
  if (running == state.running.end() || owner == nullptr) {
    return;
  }
  state.running.erase(running);
  --owner->running;
  job_task& task = owner->tasks[placed.task.task.number];
  const job_id place = placed.task.task.job;
  switch (ended.outcome) {
    case attempt_outcome::kSucceeded:
      task.state = task_state::kSucceeded;
      task.body = std::move(ended.body);
      --owner->unfinished;
      break;
    case attempt_outcome::kFailed:
      task.state = task_state::kFailed;
      FailJob(state, place, result_code::kTaskFailed, now, out);
      break;
    case attempt_outcome::kUnknown:
      task.state = task_state::kOutcomeUnknown;
      FailJob(state, place, result_code::kTaskOutcomeUnknown, now, out);
      break;
    case attempt_outcome::kRefused:
      task.state = task_state::kQueued;
      if (owner->stage == job_stage::kRunning) {
        RequeueTask(state.dispatch, placed.task, now);
      }
      break;
  }
  owner = state.jobs.Find(place);
  const bool over =
      owner != nullptr && owner->running == 0 &&
      (owner->unfinished == 0 || owner->stage == job_stage::kEnding);
  if (over) {
    FinishJob(state, place, now, out);
  }
  Pump(state, now, out);
}

void EndKeyClaim(entry& /*state*/, const submission_id& /*id*/,
                 const key_claim& /*claim*/, instant /*now*/,
                 actions& /*out*/) {}

void EndIntentRecord(entry& /*state*/, const submission_id& /*id*/,
                     store_outcome /*outcome*/, instant /*now*/,
                     actions& /*out*/) {}

void BeginDrain(entry& state, instant /*now*/, actions& /*out*/) {
  if (state.stage == entry_stage::kServing) {
    state.stage = entry_stage::kDraining;
  }
}

void ForceDrain(entry& state, instant now, actions& out) {
  state.stage = entry_stage::kDraining;
  std::vector<job_id> left;
  state.jobs.ForEach([&left](job_id id, const job&) { left.push_back(id); });
  for (const job_id id : left) {
    job& stopped = state.jobs.Get(id);
    for (job_task& task : stopped.tasks) {
      if (task.state == task_state::kRunning) {
        task.state = task_state::kOutcomeUnknown;
      }
    }
    stopped.running = 0;
    FailJob(state, id,
            stopped.any_started ? result_code::kStoppedAfterStart
                                : result_code::kNotRunDraining,
            now, out);
  }
  state.stage = entry_stage::kDrained;
}

void AcceptHandover(entry& state, const hand_over& handed) {
  for (const kept_answer& kept : handed.answers) {
    state.submissions.try_emplace(
        kept.answer->id,
        submission{
            .digest = kept.digest, .job = job_id{}, .answer = kept.answer});
  }
}

void TickEntry(entry& state, instant now, actions& out) {
  TickDispatcher(state.dispatch, now);
  std::vector<job_id> late;
  state.jobs.ForEach([&](job_id id, const job& waiting) {
    if (waiting.stage == job_stage::kRunning && waiting.deadline <= now) {
      late.push_back(id);
    }
  });
  for (const job_id id : late) {
    FailJob(state, id,
            state.jobs.Get(id).any_started ? result_code::kDeadlineExceeded
                                           : result_code::kNotRunDeadline,
            now, out);
  }
  Pump(state, now, out);
}

result<job_progress> DescribeJob(const entry& state, const submission_id& id) {
  const auto known = state.submissions.find(id);
  if (known == state.submissions.end() || known->second.answer != nullptr) {
    return result_code::kNotFound;
  }
  const job& running = state.jobs.Get(known->second.job);
  const auto tasks = static_cast<uint32_t>(running.tasks.size());
  return job_progress{.tasks = tasks,
                      .running = running.running,
                      .finished = tasks - running.unfinished};
}

}  // namespace tarragondrift
