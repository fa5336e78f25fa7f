#include "job_costs.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "figure.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kTick{20};
constexpr uint32_t kWorkers = 60;
constexpr int64_t kWorkerClock = 1'000;

nanoseconds ProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) + nanoseconds(used.tv_nsec);
}

/// Returns the numbers from `first` to `end - 1`.
std::vector<uint32_t> Range(uint32_t first, uint32_t end) {
  std::vector<uint32_t> numbers(end - first);
  std::iota(numbers.begin(), numbers.end(), first);
  return numbers;
}

/// Returns the dependencies of step `number` of `steps`.
using dependencies =
    std::function<std::vector<uint32_t>(uint32_t number, uint32_t steps)>;

struct job_shape {
  std::string name;
  dependencies after;
};

std::vector<job_shape> Shapes() {
  return {
      {"all_earlier",
       [](uint32_t number, uint32_t) { return Range(0, number); }},
      {"two_layers",
       [](uint32_t number, uint32_t steps) {
         return Range(0, number < steps / 2 ? 0 : steps / 2);
       }},
      {"chain",
       [](uint32_t number, uint32_t) {
         return Range(number == 0 ? 0 : number - 1, number);
       }},
      {"star",
       [](uint32_t number, uint32_t) { return Range(0, number == 0 ? 0 : 1); }},
      {"join",
       [](uint32_t number, uint32_t steps) {
         return Range(0, number + 1 < steps ? 0 : number);
       }},
      {"independent", [](uint32_t, uint32_t) { return Range(0, 0); }},
  };
}

fleet::step_spec MakeStep(uint32_t count, std::vector<uint32_t> after) {
  return {.count = count,
          .need = {.cpu_milli = 1'000},
          .estimate = milliseconds(5),
          .after = std::move(after)};
}

fleet::job_spec MakeJob(const job_shape& shape, uint32_t steps) {
  fleet::job_spec job{.id = "job"};
  for (uint32_t number = 0; number < steps; ++number) {
    job.steps.push_back(MakeStep(1, shape.after(number, steps)));
  }
  return job;
}

/// One entry with workers on which every task ends at once.
class cost_player {
 public:
  cost_player() {
    state_ = fleet::MakeEngine(
        {}, {.incarnation = 1, .name = "entry", .cpu_milli = 250}, now_);
    fleet::ApplyWitnessList(state_, {}, now_);
    fleet::ApplyConfig(
        state_,
        std::make_shared<const fleet::fleet_config>(
            fleet::fleet_config{.version = 1,
                                .queues = {{.name = "quote",
                                            .host = "h",
                                            .path_prefix = "/q/",
                                            .upstream = "plata",
                                            .stretch = 1.6,
                                            .objective = milliseconds(100)}}}),
        "");
    state_.peers_listed = true;
    for (uint32_t number = 0; number < kWorkers; ++number) {
      const std::string id = "w" + std::to_string(number);
      fleet::UpdateWorkerListing(state_,
                                 {.id = id,
                                  .address = id,
                                  .upstream = "plata",
                                  .capacity = {.cpu_milli = 16'000},
                                  .boot_time_ms = 1},
                                 now_);
    }
    Advance(milliseconds(2'000));
    // The first task tells the engine the size of tasks.
    Play({.id = "first", .steps = {MakeStep(1, {})}});
  }

  /// Plays a job to its answer.
  /// @return the processor time of the engine's longest call, or nothing if the
  ///   job was not served.
  std::optional<nanoseconds> Play(const fleet::job_spec& job) {
    longest_ = {};
    answered_ = false;
    Do([&] {
      fleet::SubmitJob(state_,
                       {.request = ++last_request_,
                        .queue = "quote",
                        .spec = job,
                        .caller_timeout = milliseconds(30'000)},
                       now_);
    });
    while (!answered_) {
      Advance(kTick);
    }
    return served_ ? std::optional(longest_) : std::nullopt;
  }

 private:
  void Advance(milliseconds span) {
    // It is the only witness of its claims.
    fleet::ApplyWitnessList(state_, witnesses_, now_);
    for (const instant end = now_ + span; now_ < end; now_ += kTick) {
      Do([&] { fleet::Tick(state_, now_); });
      for (const auto& [worker, poll] : std::exchange(polls_, {})) {
        const fleet::poll_reply reply{
            .outcome = fleet::poll_outcome::kAnswered,
            .ended = std::exchange(ended_[worker], {}),
            .boot_time_ms = 1};
        Do([&, id = worker, number = poll] {
          fleet::OnPollReply(state_, id, number, reply, kWorkerClock, now_);
        });
      }
    }
  }

  void Do(const std::function<void()>& call) {
    const nanoseconds before = ProcessorTime();
    call();
    fleet::DispatchAndFlush(state_, now_);
    const std::vector<fleet::action> actions = fleet::TakeActions(state_);
    longest_ = std::max(longest_, ProcessorTime() - before);
    for (const fleet::action& one : actions) {
      if (const auto* start = std::get_if<fleet::start_order>(&one)) {
        ended_[start->target.id].push_back(
            {.number = ++last_end_, .name = start->name});
      } else if (const auto* poll = std::get_if<fleet::poll_order>(&one)) {
        polls_[poll->target.id] = poll->number;
      } else if (const auto* answer = std::get_if<fleet::caller_answer>(&one)) {
        answered_ = true;
        served_ = answer->code == result_code::kOk;
      }
    }
  }

  fleet::witness_list witnesses_{.version = 1,
                                 .witnesses = {{.name = "entry"}}};
  fleet::engine state_;
  instant now_{std::chrono::seconds(10)};
  nanoseconds longest_{0};
  bool answered_ = false;
  bool served_ = false;
  uint64_t last_request_ = 0;
  uint64_t last_end_ = 0;
  std::map<std::string, uint64_t> polls_;
  std::map<std::string, std::vector<fleet::listed_end>> ended_;
};

/// Returns the tasks and dependencies of a job.
double SizeOf(const fleet::job_spec& job) {
  return std::accumulate(job.steps.begin(), job.steps.end(), 0.0,
                         [](double sum, const fleet::step_spec& step) {
                           return sum + step.count +
                                  static_cast<double>(step.after.size());
                         });
}

/// Plays a job several times, each on a new entry.
/// @return the lowest processor time of the engine's longest call, in seconds;
///   infinite if the job was not served.
double LongestCall(const fleet::job_spec& job) {
  constexpr int kRepeats = 5;
  double lowest = std::numeric_limits<double>::infinity();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    if (const auto longest = cost_player().Play(job)) {
      lowest =
          std::min(lowest, std::chrono::duration<double>(*longest).count());
    }
  }
  return lowest;
}

bool PrintShape(const job_shape& shape) {
  constexpr std::array<uint32_t, 4> kSteps{100, 200, 400, 800};
  // Sorted containers add a factor of log(800) / log(100) = 1.5; a quadratic
  // cost would make it 8 or more.
  constexpr double kMaxGrowth = 2;
  double first = 0;
  double last = 0;
  for (const uint32_t steps : kSteps) {
    const fleet::job_spec job = MakeJob(shape, steps);
    const double cost = LongestCall(job);
    last = cost / SizeOf(job);
    first = first == 0 ? last : first;
    PrintFigure(
        {.name = "job_longest_call_" + shape.name + '_' + std::to_string(steps),
         .value = cost,
         .kind = bound_kind::kNone,
         .unit = "s",
         .context = "size=" + std::to_string(std::lround(SizeOf(job)))});
  }
  return PrintFigure({.name = "job_cost_growth_" + shape.name,
                      .value = last / first,
                      .bound = kMaxGrowth});
}

}  // namespace

bool PrintJobCosts() {
  bool met = true;
  for (const job_shape& shape : Shapes()) {
    met = PrintShape(shape) && met;
  }
  return met;
}

}  // namespace tarragondrift::bench
