#include "tarragondrift/core/dispatch_cmd.h"

#include <algorithm>
#include <cassert>
#include <map>

#include "tarragondrift/core/estimate_cmd.h"
#include "tarragondrift/core/health_cmd.h"
#include "tarragondrift/core/placement_cmd.h"
#include "tarragondrift/core/queue_cmd.h"
#include "tarragondrift/core/quota_cmd.h"
#include "tarragondrift/core/retry_cmd.h"

namespace tarragondrift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int64_t kPercent = 100;

/// Returns an element, created if missing; an invalid id refers to the first
/// one.
template <class Element, class Tag>
Element& GetOrCreate(std::vector<Element>& elements, typed_id<Tag> id) {
  const uint32_t index = id.Valid() ? id.index : 0;
  if (index >= elements.size()) {
    elements.resize(index + 1);
  }
  return elements[index];
}

/// Estimates a task's running time from the statistics of its contract.
microseconds Estimate(const dispatcher& state, contract_id contract,
                      microseconds declared) {
  const uint32_t index = contract.Valid() ? contract.index : 0;
  if (!state.options.learn_estimates || index >= state.contracts.size()) {
    return EstimateTime({}, declared);
  }
  return EstimateTime(state.contracts[index], declared);
}

/// The demand of a job for one upstream.
struct upstream_demand {
  microseconds work{0};
  microseconds longest{0};
  uint32_t tasks = 0;
};

/// Demands by index of the upstream.
using demands = std::map<uint32_t, upstream_demand>;

void AddDemand(upstream_demand& demand, microseconds estimated) {
  demand.work += estimated;
  demand.longest = std::max(demand.longest, estimated);
  ++demand.tasks;
}

demands DemandsOf(const dispatcher& state, const job_request& request) {
  demands all;
  for (const task_request& task : request.tasks) {
    AddDemand(all[task.upstream.index],
              Estimate(state, request.contract, task.declared));
  }
  return all;
}

uint32_t SlotsOf(const dispatcher& state, upstream_id upstream) {
  return upstream.index < state.upstreams.size()
             ? state.upstreams[upstream.index].slots
             : 0;
}

/// Returns the work that starts before a new job of a team ends, including the
/// job's own: all queued work, or less when the team's fair share serves its
/// own queued work sooner.
microseconds WorkAhead(const upstream_queue& backlog, uint32_t team,
                       double weight, microseconds own_work) {
  const bool known = team < backlog.teams.size();
  const microseconds team_work =
      known ? backlog.teams[team].work : microseconds{0};
  const bool has_tasks = known && backlog.teams[team].tasks > 0;
  const double weights = backlog.waiting_weight + (has_tasks ? 0 : weight);
  const auto fair =
      static_cast<double>((team_work + own_work).count()) * (weights / weight);
  const auto all = static_cast<double>((backlog.work + own_work).count());
  return microseconds{static_cast<int64_t>(std::min(fair, all))};
}

/// The estimated response times of a new job.
struct job_estimate {
  /// When the job runs alone on all slots.
  microseconds alone{0};
  /// With the tasks that are queued now.
  microseconds expected{0};
};

/// Extends the estimated response times by the demand for one upstream.
void AddToEstimate(job_estimate& estimate, const dispatcher& state,
                   team_id team, uint32_t upstream,
                   const upstream_demand& demand) {
  const uint32_t slots = SlotsOf(state, {upstream, 0});
  if (slots == 0) {
    return;
  }
  const microseconds alone = std::max(demand.longest, demand.work / slots);
  estimate.alone = std::max(estimate.alone, alone);
  microseconds ahead = demand.work;
  if (upstream < state.queue.upstreams.size()) {
    const uint32_t index = team.Valid() ? team.index : 0;
    const double weight =
        index < state.queue.teams.size() ? state.queue.teams[index].weight : 1;
    ahead =
        WorkAhead(state.queue.upstreams[upstream], index, weight, demand.work);
  }
  const microseconds expected = ahead / slots + demand.longest;
  estimate.expected = std::max(estimate.expected, expected);
}

job_estimate EstimateJob(const dispatcher& state, const job_request& request) {
  job_estimate estimate;
  for (const auto& [upstream, demand] : DemandsOf(state, request)) {
    AddToEstimate(estimate, state, request.team, upstream, demand);
  }
  return estimate;
}

/// Whether a job would exceed its team's limit of queued tasks.
bool ExceedsQuota(const dispatcher& state, const job_request& request) {
  const uint32_t index = request.team.Valid() ? request.team.index : 0;
  if (index >= state.queue.teams.size()) {
    return false;
  }
  const queue_team& team = state.queue.teams[index];
  return team.max_queued_tasks != 0 &&
         team.queued_tasks + request.tasks.size() > team.max_queued_tasks;
}

/// Whether an upstream of the job has had no instance for `instance_wait`.
bool LacksInstance(const dispatcher& state, const job_request& request) {
  const auto lacks = [&state](const task_request& task) {
    if (task.upstream.index >= state.upstreams.size()) {
      return false;
    }
    const open_instances& upstream = state.upstreams[task.upstream.index];
    return upstream.instances == 0 &&
           state.ticked - upstream.none_since >= state.options.instance_wait;
  };
  return std::any_of(request.tasks.begin(), request.tasks.end(), lacks);
}

/// Queues tasks of one job for one upstream.
void EnqueueGroup(dispatcher& state, std::span<const queued_task> tasks) {
  upstream_demand demand;
  for (const queued_task& task : tasks) {
    AddDemand(demand, Estimate(state, task.contract, task.declared));
  }
  AddGroup(state.queue, tasks, demand.work, demand.longest,
           SlotsOf(state, tasks.front().upstream));
}

/// Places the next task of one upstream.
std::optional<placement> PlaceOn(dispatcher& state, upstream_id upstream) {
  if (!HasWaiting(state.queue, upstream)) {
    return std::nullopt;
  }
  const queued_task next = PeekTask(state.queue, upstream);
  const microseconds estimated = Estimate(state, next.contract, next.declared);
  const instance_id chosen = ChooseInstance(state, upstream, estimated);
  if (!chosen.Valid()) {
    return std::nullopt;
  }
  placement placed{.task = PopTask(state.queue, upstream, estimated,
                                   SlotsOf(state, upstream)),
                   .instance = chosen};
  ++state.instances.Get(chosen).in_flight;
  ++OpenOf(state, upstream).in_flight;
  RefreshInstance(state, chosen);
  EarnRetry(state.retries);
  return placed;
}

/// Ejects an instance, or only throttles it when too many instances of its
/// upstream are ejected already.
void EjectWithinCap(dispatcher& state, upstream_instance& instance,
                    instant now) {
  open_instances& upstream = OpenOf(state, instance.upstream);
  const uint32_t total_ejected = upstream.ejected + 1;
  const int64_t instances = upstream.instances;
  const int64_t max_ejected = std::max<int64_t>(
      1, instances * state.options.health.max_ejected_percent / kPercent);
  if (total_ejected > max_ejected) {
    Throttle(instance.health, state.options.health, now);
    return;
  }
  upstream.ejected = total_ejected;
  Eject(instance.health, state.options.health, now);
}

/// Records a failed or refused attempt; a refusal counts regardless of the
/// team's failure rate.
void RecordFailure(dispatcher& state, upstream_instance& instance,
                   const placement& placed, bool weight_by_team, instant now) {
  failure_rate& team = GetOrCreate(state.failures, placed.task.team);
  const bool eject = LearnFailure(instance.health, placed.task.task.job,
                                  weight_by_team ? team : failure_rate{},
                                  state.options.health);
  if (eject && instance.health.stage != health_stage::kEjected) {
    EjectWithinCap(state, instance, now);
  }
}

void UpdateRunningTime(open_instances& upstream, microseconds observed) {
  constexpr int64_t kAveragedSamples = 200;
  upstream.running_time +=
      (observed - upstream.running_time) / kAveragedSamples;
}

/// Records the result of an attempt.
void RecordResult(dispatcher& state, upstream_instance& instance,
                  const placement& placed, const attempt_result& result,
                  instant now) {
  failure_rate& team = GetOrCreate(state.failures, placed.task.team);
  switch (result.outcome) {
    case attempt_outcome::kSucceeded:
      if (instance.health.stage != health_stage::kEjected) {
        LearnSuccess(instance.health, placed.task.estimated,
                     result.service_time);
      }
      UpdateRunningTime(OpenOf(state, instance.upstream), result.service_time);
      LearnTime(GetOrCreate(state.contracts, placed.task.contract),
                placed.task.declared, result.service_time);
      CountOutcome(team, false);
      break;
    case attempt_outcome::kFailed:
    case attempt_outcome::kUnknown:
      RecordFailure(state, instance, placed, true, now);
      CountOutcome(team, true);
      break;
    case attempt_outcome::kRefused:
      if (!result.leaving) {
        RecordFailure(state, instance, placed, false, now);
      }
      break;
  }
}

}  // namespace

dispatcher MakeDispatcher(const dispatch_options& options) {
  dispatcher state;
  state.options = options;
  state.queue.order = options.order;
  state.queue.stretch = options.stretch;
  state.queue.slack = options.team_slack;
  state.random.seed(options.seed);
  return state;
}

void ApplyConfig(dispatcher& state, const config_document& config) {
  for (uint32_t index = 0; index < config.teams.size(); ++index) {
    const team_config& settings = config.teams[index];
    queue_team& team = TeamOf(state.queue, {index, 0});
    const double weight = std::max(1U, settings.weight);
    for (upstream_queue& upstream : state.queue.upstreams) {
      if (index < upstream.teams.size() && upstream.teams[index].tasks > 0) {
        upstream.waiting_weight += weight - team.weight;
      }
    }
    team.weight = weight;
    team.max_queued_tasks = settings.max_queued_tasks;
    team.starts_per_s = settings.starts_per_s;
    SetRate(team.quota, team.starts_per_s / state.entries, state.ticked);
  }
  for (uint32_t index = 0; index < config.upstreams.size(); ++index) {
    OpenOf(state, {index, 0});
    QueueOf(state.queue, {index, 0});
  }
  if (state.contracts.size() < config.contracts.size()) {
    state.contracts.resize(config.contracts.size());
  }
}

void SetEntryCount(dispatcher& state, uint32_t entries, instant now) {
  entries = std::max(1U, entries);
  if (entries == state.entries) {
    return;
  }
  state.entries = entries;
  for (queue_team& team : state.queue.teams) {
    SetRate(team.quota, team.starts_per_s / entries, now);
  }
}

result_code TestAdmission(const dispatcher& state, const job_request& request,
                          instant /*now*/) {
  if (ExceedsQuota(state, request)) {
    return result_code::kNotRunQuota;
  }
  if (!state.options.shed) {
    return result_code::kOk;
  }
  if (LacksInstance(state, request)) {
    return result_code::kNotRunNoInstance;
  }
  const job_estimate estimate = EstimateJob(state, request);
  if (estimate.alone > request.deadline) {
    return result_code::kNotRunDeadline;
  }
  const microseconds usable = microseconds{request.deadline} *
                              state.options.deadline_use_percent / kPercent;
  const bool late = estimate.expected > usable;
  return late && estimate.expected > 2 * estimate.alone
             ? result_code::kNotRunOverloaded
             : result_code::kOk;
}

milliseconds RetryAfter(const dispatcher& state, const job_request& request,
                        instant /*now*/) {
  constexpr milliseconds kMinDelay{100};
  constexpr milliseconds kMaxDelay{60'000};
  const job_estimate estimate = EstimateJob(state, request);
  const microseconds usable = microseconds{request.deadline} *
                              state.options.deadline_use_percent / kPercent;
  const auto excess =
      std::chrono::duration_cast<milliseconds>(estimate.expected - usable);
  return std::clamp(excess, kMinDelay, kMaxDelay);
}

void EnqueueJob(dispatcher& state, std::span<const queued_task> tasks,
                instant /*now*/) {
  if (tasks.empty()) {
    return;
  }
  const upstream_id first = tasks.front().upstream;
  const bool one_upstream = std::all_of(
      tasks.begin(), tasks.end(),
      [first](const queued_task& task) { return task.upstream == first; });
  if (one_upstream) {
    EnqueueGroup(state, tasks);
    return;
  }
  std::map<uint32_t, std::vector<queued_task>> groups;
  for (const queued_task& task : tasks) {
    groups[task.upstream.index].push_back(task);
  }
  for (const auto& [upstream, group] : groups) {
    EnqueueGroup(state, group);
  }
}

void DropJob(dispatcher& state, job_id job) { DropGroups(state.queue, job); }

void RequeueTask(dispatcher& state, const queued_task& task, instant /*now*/) {
  EnqueueGroup(state, {&task, 1});
}

std::optional<placement> PlaceNext(dispatcher& state, instant /*now*/) {
  const auto upstreams = static_cast<uint32_t>(
      std::min(state.upstreams.size(), state.queue.upstreams.size()));
  for (uint32_t tried = 0; tried < upstreams; ++tried) {
    const uint32_t index = state.next_upstream++ % upstreams;
    if (auto placed = PlaceOn(state, {index, 0})) {
      return placed;
    }
  }
  return std::nullopt;
}

void ReleaseSlot(dispatcher& state, const placement& placed,
                 const attempt_result& result, instant now) {
  const microseconds used = result.outcome == attempt_outcome::kRefused
                                ? microseconds{0}
                                : result.service_time;
  CorrectCharge(state.queue, placed.task.upstream, placed.task.team,
                used - placed.task.estimated);
  upstream_instance* const instance = state.instances.Find(placed.instance);
  if (instance == nullptr) {
    return;
  }
  assert(instance->in_flight > 0);
  --instance->in_flight;
  --OpenOf(state, instance->upstream).in_flight;
  RecordResult(state, *instance, placed, result, now);
  if (result.leaving) {
    instance->leaving = true;
  }
  RefreshInstance(state, placed.instance);
}

instance_id SetInstance(dispatcher& state, const upstream_instance& instance) {
  const instance_id known = FindInstance(state, instance.address);
  if (known.Valid()) {
    upstream_instance& existing = state.instances.Get(known);
    existing.share = instance.share;
    existing.rack = instance.rack;
    RefreshInstance(state, known);
    return known;
  }
  upstream_instance added = instance;
  added.open_at = upstream_instance::kNotOpen;
  added.counted = 0;
  const instance_id id = state.instances.Insert(std::move(added));
  state.addresses[instance.address] = id;
  ++OpenOf(state, instance.upstream).instances;
  RefreshInstance(state, id);
  return id;
}

void MarkLeaving(dispatcher& state, instance_id id, instant /*now*/) {
  upstream_instance* const instance = state.instances.Find(id);
  if (instance != nullptr) {
    instance->leaving = true;
    RefreshInstance(state, id);
  }
}

void RemoveInstance(dispatcher& state, instance_id id) {
  const upstream_instance* const instance = state.instances.Find(id);
  if (instance == nullptr || instance->in_flight != 0) {
    return;
  }
  ForgetInstance(state, id);
  state.addresses.erase(instance->address);
  open_instances& upstream = OpenOf(state, instance->upstream);
  if (upstream.instances == 0) {
    upstream.none_since = state.ticked;
  }
  state.instances.Erase(id);
}

instance_id FindInstance(const dispatcher& state, const std::string& address) {
  const auto at = state.addresses.find(address);
  return at == state.addresses.end() ? instance_id{} : at->second;
}

void TickDispatcher(dispatcher& state, instant now) {
  const microseconds elapsed = now - state.ticked;
  if (state.ticked == instant{}) {
    for (open_instances& upstream : state.upstreams) {
      upstream.none_since = now;
    }
  }
  state.ticked = now;
  RefillQuotas(state.queue, now);
  state.instances.ForEach([&](instance_id id, upstream_instance& instance) {
    DecaySlowness(instance.health, elapsed);
    if (BeginProbe(instance.health, now)) {
      OpenOf(state, instance.upstream).ejected -=
          instance.health.throttled ? 0 : 1;
      RefreshInstance(state, id);
    }
  });
}

size_t QueuedTasks(const dispatcher& state) { return state.queue.tasks; }

size_t QueuedTasks(const dispatcher& state, upstream_id upstream) {
  return upstream.index < state.queue.upstreams.size()
             ? state.queue.upstreams[upstream.index].tasks
             : 0;
}

uint32_t FreeSlots(const dispatcher& state, upstream_id upstream) {
  if (upstream.index >= state.upstreams.size()) {
    return 0;
  }
  uint32_t free = 0;
  for (const instance_id id : state.upstreams[upstream.index].open) {
    const upstream_instance& instance = state.instances.Get(id);
    free += instance.share - instance.in_flight;
  }
  return free;
}

uint32_t LoanDemand(const dispatcher& state, upstream_id upstream,
                    instant now) {
  if (!HasWaiting(state.queue, upstream)) {
    return 0;
  }
  const open_instances& upstream_instances = state.upstreams[upstream.index];
  const auto running_us =
      static_cast<double>(upstream_instances.running_time.count());
  const double freed_per_us = upstream_instances.slots / running_us;
  double tasks = 0;
  double lacking = 0;
  for (const start_demand& demand :
       StartDemands(state.queue, upstream, state.options.borrow_stretch)) {
    tasks += demand.tasks;
    const auto time_left = static_cast<double>((demand.by - now).count());
    lacking =
        std::max(lacking, tasks - freed_per_us * std::max(time_left, 0.0));
  }
  return static_cast<uint32_t>(lacking);
}

bool TakeRetry(dispatcher& state) { return SpendRetry(state.retries); }

}  // namespace tarragondrift
