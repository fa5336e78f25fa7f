#include "world.h"

#include <algorithm>
#include <cmath>

#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/share_cmd.h"

namespace tarragondrift::bench {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr upstream_id kUpstream{0, 0};
constexpr microseconds kFailsAfter{1'000};

double ToSeconds(microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerSecond;
}

std::string AddressOf(uint32_t index) {
  constexpr uint32_t kByte = 256;
  return "10.1." + std::to_string(index / kByte) + "." +
         std::to_string(index % kByte) + ":8000";
}

void AddInstances(world& state) {
  const deployment& site = state.plan.site;
  for (uint32_t centre = 0; centre < site.instances.size(); ++centre) {
    for (uint32_t number = 0; number < site.instances[centre]; ++number) {
      const auto index = static_cast<uint32_t>(state.instances.size());
      state.instances.push_back({.data_centre = centre,
                                 .address = AddressOf(index),
                                 .slots = site.slots});
      state.addresses[AddressOf(index)] = index;
    }
  }
}

config_document MakeConfig(const load_options& load) {
  config_document config;
  config.version = 1;
  config.upstreams.push_back({.name = "plata"});
  config.contracts.push_back({.name = "quote"});
  config.contracts.push_back({.name = "draft"});
  for (uint32_t team = 0; team < load.teams; ++team) {
    config.teams.push_back({.name = "team" + std::to_string(team),
                            .weight = load.weighted ? 1 + team : 1});
  }
  return config;
}

void AddSlowdown(world& state, const work_job& work, double slowdown) {
  constexpr std::array<size_t, 3> kLargest{1, 19, 99};
  const auto at =
      std::lower_bound(kLargest.begin(), kLargest.end(), work.tasks.size());
  state.totals.slowdowns.push_back(slowdown);
  state.totals.by_class[at - kLargest.begin()].push_back(slowdown);
}

/// Counts a job without an answer as one that is answered at its deadline.
void CountUnanswered(world& state, const work_job& work) {
  if (!work.poison) {
    AddSlowdown(state, work, ToSeconds(work.deadline) / ToSeconds(work.ideal));
  }
}

/// Reports a job's end.
void AnswerJob(world& state, real_entry& entry, job_id id) {
  const running_job& job = entry.jobs.Get(id);
  const microseconds response =
      state.loop.now() + state.plan.site.client_latency - job.work->arrives;
  if (job.failed) {
    ++state.totals.failed;
    CountUnanswered(state, *job.work);
  } else {
    ++state.totals.answered;
    const double slowdown = ToSeconds(response) / ToSeconds(job.work->ideal);
    AddSlowdown(state, *job.work, slowdown);
    if (response <= job.work->deadline) {
      ++state.totals.on_time;
      for (const work_task& task : job.work->tasks) {
        state.totals.useful_s += ToSeconds(task.time);
      }
    }
  }
  entry.jobs.Erase(id);
}

void FailJob(world& state, real_entry& entry, job_id id) {
  running_job& job = entry.jobs.Get(id);
  job.failed = true;
  DropJob(entry.dispatch, id);
  if (job.running == 0) {
    AnswerJob(state, entry, id);
  }
}

/// Counts an instance that fails nothing and was ejected all the same.
void WatchEjection(world& state, const real_entry& entry, const attempt& ended,
                   health_stage before) {
  const upstream_instance* const seen =
      entry.dispatch.instances.Find(ended.placed.instance);
  const real_instance& real = state.instances[ended.instance];
  const bool ejected = seen != nullptr &&
                       seen->health.stage == health_stage::kEjected &&
                       before != health_stage::kEjected;
  if (ejected && !real.black_hole && !real.refuses && !real.leaving) {
    ++state.totals.healthy_ejected;
  }
}

/// Requeues a task that was refused, within the budget of repeated attempts.
void RetryRefused(world& state, real_entry& entry, const attempt& ended) {
  const job_id id = ended.placed.task.task.job;
  if (entry.jobs.Get(id).failed) {
    return;
  }
  const bool may =
      !state.rules.dispatch.watch_health || TakeRetry(entry.dispatch);
  if (may) {
    ++state.totals.retries;
    RequeueTask(entry.dispatch, ended.placed.task, state.loop.now());
  } else {
    FailJob(state, entry, id);
  }
}

/// Takes the end of an attempt into its job.
void CountEnd(world& state, real_entry& entry, const attempt& ended,
              const attempt_result& result) {
  const job_id id = ended.placed.task.task.job;
  running_job& job = entry.jobs.Get(id);
  --job.running;
  switch (result.outcome) {
    case attempt_outcome::kSucceeded:
      --job.unfinished;
      break;
    case attempt_outcome::kRefused:
      RetryRefused(state, entry, ended);
      break;
    case attempt_outcome::kFailed:
    case attempt_outcome::kUnknown:
      state.totals.tasks_lost += ended.work->poison ? 0 : 1;
      if (!job.failed) {
        FailJob(state, entry, id);
      }
      break;
  }
  const running_job* const left = entry.jobs.Find(id);
  if (left != nullptr && left->running == 0 &&
      (left->failed || left->unfinished == 0)) {
    AnswerJob(state, entry, id);
  }
}

bool Pushes(const world& state) {
  return state.rules.kind != policy_kind::kPull;
}

/// Takes a reply at its entry.
void OnAttemptResult(world& state, real_entry& entry, const attempt& ended,
                     const attempt_result& result) {
  if (Pushes(state)) {
    --entry.connections[ended.instance];
  } else {
    const upstream_instance* const seen =
        entry.dispatch.instances.Find(ended.placed.instance);
    const health_stage before =
        seen == nullptr ? health_stage::kHealthy : seen->health.stage;
    ReleaseSlot(entry.dispatch, ended.placed, result, state.loop.now());
    WatchEjection(state, entry, ended, before);
  }
  if (result.leaving) {
    LearnLeaving(state, entry, ended.instance);
  }
  CountEnd(state, entry, ended, result);
  Pump(state, entry);
}

void Reply(world& state, const attempt& ended, const attempt_result& result) {
  ++state.totals.messages;
  const real_entry& entry = state.entries[ended.entry];
  const microseconds way = Latency(
      state, state.instances[ended.instance].data_centre, entry.data_centre);
  Deliver(state, ended.entry, way, [&state, ended, result](real_entry& there) {
    OnAttemptResult(state, there, ended, result);
  });
}

void StartAtInstance(world& state, const attempt& started);

/// Frees a slot of an instance and starts what waits there.
void FinishAtInstance(world& state, const attempt& ended,
                      microseconds service) {
  real_instance& instance = state.instances[ended.instance];
  --instance.running;
  state.totals.team_s[ended.work->team] += ToSeconds(service);
  const bool failed = ended.work->poison;
  Reply(state, ended,
        {.outcome =
             failed ? attempt_outcome::kFailed : attempt_outcome::kSucceeded,
         .service_time = service});
  if (!instance.waiting.empty()) {
    const attempt next = instance.waiting.front();
    instance.waiting.pop_front();
    StartAtInstance(state, next);
  }
}

void StartAtInstance(world& state, const attempt& started) {
  real_instance& instance = state.instances[started.instance];
  ++instance.running;
  const work_task& task = started.work->tasks[started.placed.task.task.number];
  const auto service = microseconds{static_cast<int64_t>(
      static_cast<double>(task.time.count()) * instance.slow)};
  state.loop.After(service, [&state, started, service] {
    FinishAtInstance(state, started, service);
  });
}

/// Takes an attempt at an instance.
void ArriveAtInstance(world& state, const attempt& arrived) {
  real_instance& instance = state.instances[arrived.instance];
  if (instance.refuses) {
    Reply(state, arrived,
          {.outcome = attempt_outcome::kRefused, .leaving = instance.leaving});
    return;
  }
  if (instance.black_hole) {
    state.loop.After(kFailsAfter, [&state, arrived] {
      Reply(state, arrived,
            {.outcome = attempt_outcome::kFailed, .service_time = kFailsAfter});
    });
    return;
  }
  if (instance.running < instance.slots) {
    StartAtInstance(state, arrived);
    return;
  }
  ++state.totals.overruns;
  if (Pushes(state)) {
    instance.waiting.push_back(arrived);
  } else {
    Reply(state, arrived, {.outcome = attempt_outcome::kRefused});
  }
}

void SendAttempt(world& state, real_entry& entry, const attempt& sent) {
  ++state.totals.messages;
  ++state.totals.attempts;
  real_instance& instance = state.instances[sent.instance];
  instance.last_new_work = state.loop.now();
  state.loop.After(Latency(state, entry.data_centre, instance.data_centre),
                   [&state, sent] { ArriveAtInstance(state, sent); });
}

/// Chooses an instance for a policy that pushes.
uint32_t PushTarget(world& state, real_entry& entry) {
  std::vector<uint32_t> local;
  for (uint32_t index = 0; index < state.instances.size(); ++index) {
    if (state.instances[index].data_centre == entry.data_centre) {
      local.push_back(index);
    }
  }
  switch (state.rules.kind) {
    case policy_kind::kPushRoundRobin:
      return local[entry.next_instance++ % local.size()];
    case policy_kind::kPushRandom:
      return local[state.random() % local.size()];
    default:
      return *std::min_element(
          local.begin(), local.end(), [&](uint32_t left, uint32_t right) {
            return entry.connections[left] < entry.connections[right];
          });
  }
}

void PushJob(world& state, real_entry& entry, job_id id) {
  running_job& job = entry.jobs.Get(id);
  for (uint32_t number = 0; number < job.work->tasks.size(); ++number) {
    const uint32_t target = PushTarget(state, entry);
    ++entry.connections[target];
    ++job.running;
    attempt sent{.entry = entry.index, .instance = target, .work = job.work};
    sent.placed.task.task = {id, number};
    SendAttempt(state, entry, sent);
  }
}

/// Makes the dispatcher's request of a job; clairvoyant policies know the true
/// times.
job_request MakeRequest(const world& state, const work_job& work) {
  job_request request{.contract = {work.contract, 0},
                      .team = {work.team, 0},
                      .deadline = work.deadline};
  for (const work_task& task : work.tasks) {
    request.tasks.push_back(
        {.upstream = kUpstream,
         .declared = state.rules.clairvoyant ? task.time : task.declared});
  }
  return request;
}

void QueueJob(world& state, real_entry& entry, job_id id,
              const job_request& request) {
  std::vector<queued_task> tasks;
  for (uint32_t number = 0; number < request.tasks.size(); ++number) {
    tasks.push_back({.task = {id, number},
                     .upstream = kUpstream,
                     .team = request.team,
                     .contract = request.contract,
                     .declared = request.tasks[number].declared,
                     .enqueued = state.loop.now(),
                     .deadline = state.loop.now() + request.deadline});
  }
  EnqueueJob(entry.dispatch, tasks, state.loop.now());
}

/// Gives up on a job whose deadline has passed.
void WatchDeadline(world& state, uint32_t entry, job_id id,
                   milliseconds deadline) {
  Deliver(state, entry, deadline, [&state, id](real_entry& there) {
    const running_job* const job = there.jobs.Find(id);
    if (job != nullptr && !job->failed) {
      FailJob(state, there, id);
    }
  });
}

/// Takes a job at its entry.
void SubmitJob(world& state, real_entry& entry, const work_job& work) {
  const job_request request = MakeRequest(state, work);
  if (TestAdmission(entry.dispatch, request, state.loop.now()) !=
      result_code::kOk) {
    ++state.totals.refused;
    CountUnanswered(state, work);
    return;
  }
  const auto count = static_cast<uint32_t>(work.tasks.size());
  const job_id id = entry.jobs.Insert({.work = &work, .unfinished = count});
  state.totals.tasks_started += count;
  if (Pushes(state)) {
    PushJob(state, entry, id);
    return;
  }
  QueueJob(state, entry, id, request);
  WatchDeadline(state, entry.index, id, work.deadline);
  Pump(state, entry);
}

/// Chooses an entry as the platform's balancer does.
real_entry* BalanceEntry(world& state, uint32_t data_centre) {
  std::vector<real_entry*> ready;
  for (real_entry& entry : state.entries) {
    const bool here =
        state.rules.clairvoyant || entry.data_centre == data_centre;
    if (here && entry.alive && !entry.leaving) {
      ready.push_back(&entry);
    }
  }
  return ready.empty() ? nullptr : ready[state.random() % ready.size()];
}

void ScheduleJobs(world& state, const std::vector<work_job>& jobs) {
  for (const work_job& job : jobs) {
    state.loop.At(job.arrives, [&state, &job] {
      ++state.totals.jobs;
      state.totals.tasks += job.tasks.size();
      real_entry* const entry = BalanceEntry(state, job.data_centre);
      if (entry == nullptr) {
        ++state.totals.failed;
        return;
      }
      Deliver(
          state, entry->index, state.plan.site.client_latency,
          [&state, &job](real_entry& there) { SubmitJob(state, there, job); });
    });
  }
}

/// Samples slots that are idle while tasks of the same data centre wait.
void SampleIdle(world& state, instant end) {
  constexpr milliseconds kInterval{10};
  const size_t centres = state.plan.site.instances.size();
  std::vector<uint64_t> idle(centres);
  std::vector<uint64_t> queued(centres);
  for (const real_instance& instance : state.instances) {
    const bool dead = instance.black_hole || instance.refuses;
    idle[instance.data_centre] += dead ? 0 : instance.slots - instance.running;
    state.totals.slot_samples += instance.slots;
  }
  for (const real_entry& entry : state.entries) {
    queued[entry.data_centre] += entry.alive ? QueuedTasks(entry.dispatch) : 0;
  }
  for (size_t centre = 0; centre < centres; ++centre) {
    state.totals.idle_while_queued +=
        static_cast<double>(std::min(idle[centre], queued[centre]));
  }
  if (state.loop.now() + kInterval < end) {
    state.loop.After(kInterval, [&state, end] { SampleIdle(state, end); });
  }
}

/// Gives the one entry of a clairvoyant policy every slot.
void GrantAll(world& state) {
  real_entry& entry = state.entries.front();
  for (const real_instance& instance : state.instances) {
    SetInstance(entry.dispatch, {.upstream = kUpstream,
                                 .address = instance.address,
                                 .share = instance.slots});
  }
}

void AddEntries(world& state) {
  if (state.rules.clairvoyant) {
    AddEntry(state, 0);
    GrantAll(state);
    return;
  }
  const deployment& site = state.plan.site;
  for (uint32_t centre = 0; centre < site.entries.size(); ++centre) {
    for (uint32_t number = 0; number < site.entries[centre]; ++number) {
      StartControl(state, AddEntry(state, centre).index);
    }
  }
}

/// Sums up what is known only at the end.
void SumUp(world& state, double run_s) {
  for (const real_entry& entry : state.entries) {
    state.totals.bytes_per_s =
        std::max(state.totals.bytes_per_s, entry.control_bytes / run_s);
  }
  for (const real_instance& instance : state.instances) {
    if (instance.first_sign != instant::max()) {
      state.totals.leaving_after_s =
          std::max(state.totals.leaving_after_s,
                   ToSeconds(instance.last_new_work - instance.first_sign));
    }
  }
}

}  // namespace

microseconds Latency(const world& state, uint32_t from, uint32_t to) {
  const deployment& site = state.plan.site;
  const bool near = from == to || state.rules.clairvoyant;
  return near ? site.near_latency : site.far_latency;
}

void Deliver(world& state, uint32_t entry, microseconds after,
             std::function<void(real_entry&)> run) {
  state.loop.After(after, [&state, entry, run = std::move(run)]() mutable {
    real_entry& there = state.entries[entry];
    if (!there.alive) {
      return;
    }
    if (state.loop.now() < there.paused_until) {
      Deliver(state, entry, there.paused_until - state.loop.now(),
              std::move(run));
      return;
    }
    run(there);
  });
}

real_entry& AddEntry(world& state, uint32_t data_centre) {
  const auto index = static_cast<uint32_t>(state.entries.size());
  real_entry& entry = state.entries.emplace_back();
  entry.index = index;
  entry.data_centre = data_centre;
  entry.connections.resize(state.instances.size());
  dispatch_options dispatch = state.rules.dispatch;
  dispatch.seed = state.plan.load.seed + index;
  if (Pushes(state)) {
    dispatch.shed = false;
  }
  entry.dispatch = MakeDispatcher(dispatch);
  ApplyConfig(entry.dispatch, MakeConfig(state.plan.load));
  share_options share = state.rules.share;
  // Incarnations are random numbers, so their order says nothing.
  constexpr uint64_t kOdd = 0x9e3779b97f4a7c15ULL;
  share.self = {kOdd * (index + 1)};
  entry.slots = MakeShares(share);
  return entry;
}

void Pump(world& state, real_entry& entry) {
  while (const auto placed = PlaceNext(entry.dispatch, state.loop.now())) {
    running_job& job = entry.jobs.Get(placed->task.task.job);
    ++job.running;
    const std::string& address =
        entry.dispatch.instances.Get(placed->instance).address;
    SendAttempt(state, entry,
                {.entry = entry.index,
                 .instance = state.addresses.at(address),
                 .placed = *placed,
                 .work = job.work});
  }
  SeekLoan(state, entry);
}

double Percentile(std::vector<double> values, double percent) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(
      std::floor(percent / 100 * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[rank];
}

run_totals RunWorld(const scenario& plan, const policy& rules) {
  world state;
  state.plan = plan;
  state.rules = rules;
  state.random.seed(plan.load.seed);
  state.totals.team_s.resize(plan.load.teams);
  state.rows.resize(plan.site.entries.size());
  AddInstances(state);
  AddEntries(state);
  const std::vector<work_job> jobs = DrawJobs(plan.site, plan.load);
  ScheduleJobs(state, jobs);
  ScheduleFaults(state);
  const instant end = instant{kWarmUp} + plan.load.duration;
  state.loop.At(instant{kWarmUp}, [&] { SampleIdle(state, end); });
  state.loop.RunUntil(end);
  SumUp(state, std::chrono::duration<double>(end - instant{}).count());
  return state.totals;
}

}  // namespace tarragondrift::bench
