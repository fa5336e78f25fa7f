// Speed of workers: the learned classes, the share of wrong verdicts on sound
// and degraded workers, and what a load gets from learned bounds.
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/speed_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Standard deviation of the logarithms of running times and, independently, of
/// the errors of their estimates.
constexpr double kDeviation = 0.4;
/// The largest share of wrong verdicts on sound workers, and the smallest share
/// of degraded workers that are found, in how many runs (requirements).
constexpr double kMaxWrong = 0.02;
constexpr double kMinFound = 0.95;
constexpr uint32_t kFoundWithin = 20;
constexpr double kDegradation = 7.5;

const std::vector<double> kNarrow{0.8, 1, 1.25};
const std::vector<double> kWide{0.625, 1, 1.67};

/// Draws the running time of a run that is expected to take 100 ms.
microseconds DrawRuntime(std::mt19937_64& random, double slowness,
                         bool with_tail = false) {
  constexpr double kTailShare = 0.03;
  constexpr double kTailFactor = 7;
  std::normal_distribution<double> noise(0, kDeviation);
  const double log_ratio = noise(random) + noise(random);
  const double tail =
      with_tail && std::bernoulli_distribution(kTailShare)(random) ? kTailFactor
                                                                   : 1;
  return microseconds{
      std::llround(100'000 * slowness * tail * std::exp(log_ratio))};
}

/// Returns samples of `each` workers of each slowness, as after `runs` runs.
std::vector<speed_sample> DrawSamples(std::mt19937_64& random,
                                      const std::vector<double>& slownesses,
                                      size_t each, uint32_t runs) {
  constexpr double kMostRuns = 199;
  std::normal_distribution<double> error(
      0, kDeviation / std::sqrt(std::min<double>(runs, kMostRuns)));
  std::vector<speed_sample> samples;
  for (const double slowness : slownesses) {
    for (size_t at = 0; at < each; ++at) {
      samples.push_back(
          {.log_slowness = std::log(slowness) + error(random), .runs = runs});
    }
  }
  return samples;
}

void CheckDefaults(const speed_classes& learned) {
  const speed_classes defaults;
  CHECK(learned.fast_below == defaults.fast_below);
  CHECK(learned.slow_above == defaults.slow_above);
  CHECK(learned.very_slow_above == defaults.very_slow_above);
  CHECK(learned.fastest == defaults.fastest);
  CHECK(learned.degraded_above == defaults.degraded_above);
}

// Guards against a change for fleets that the fixed bounds were made for.
TEST_CASE("speeds of 0.8, 1 and 1.25 give the default bounds within 5%") {
  const speed_classes defaults;
  std::mt19937_64 random(1);
  for (const size_t each : {7, 20, 53}) {
    for (const uint32_t runs : {40, 100, 1'000}) {
      const auto learned =
          LearnSpeedClasses(DrawSamples(random, kNarrow, each, runs));
      INFO("each=" << each << " runs=" << runs);
      CHECK(learned.fast_below == Approx(defaults.fast_below).epsilon(0.05));
      CHECK(learned.slow_above == Approx(defaults.slow_above).epsilon(0.05));
      CHECK(learned.very_slow_above ==
            Approx(defaults.very_slow_above).epsilon(0.05));
      CHECK(learned.fastest == Approx(defaults.fastest).epsilon(0.05));
      CHECK(learned.degraded_above ==
            Approx(defaults.degraded_above).epsilon(0.05));
    }
  }
}

// Guards against fixed bounds that call a third of the workers very slow.
TEST_CASE("speeds of 0.6, 1 and 1.6 give bounds halfway between the classes") {
  std::mt19937_64 random(2);
  for (const size_t each : {3, 7, 53, 400}) {
    for (const uint32_t runs : {60, 1'000}) {
      const auto learned =
          LearnSpeedClasses(DrawSamples(random, kWide, each, runs));
      INFO("each=" << each << " runs=" << runs);
      CHECK(learned.fast_below == Approx(std::sqrt(0.625)).epsilon(0.06));
      CHECK(learned.slow_above == Approx(std::sqrt(1.67)).epsilon(0.06));
      CHECK(learned.very_slow_above == Approx(1.67 * 1.28).epsilon(0.08));
      CHECK(learned.fastest == Approx(0.625 * 0.9375).epsilon(0.08));
      CHECK(learned.degraded_above == Approx(1.67 * 1.78).epsilon(0.08));
    }
  }
}

// Guards against classes made of random variation, of too few runs or workers,
// or of workers whose speeds are spread evenly.
TEST_CASE("workers that form no classes leave the defaults") {
  std::mt19937_64 random(3);
  for (int trial = 0; trial < 200; ++trial) {
    CheckDefaults(LearnSpeedClasses(DrawSamples(random, {1}, 20, 40)));
    CheckDefaults(LearnSpeedClasses(DrawSamples(random, {1}, 160, 1'000)));
  }
  CheckDefaults(LearnSpeedClasses({}));
  CheckDefaults(LearnSpeedClasses(DrawSamples(random, kWide, 2, 1'000)));
  CheckDefaults(LearnSpeedClasses(DrawSamples(random, kWide, 20, 39)));
  std::vector<speed_sample> even;
  even.reserve(60);
  for (int at = 0; at < 60; ++at) {
    even.push_back({.log_slowness = -0.25 + 0.5 * at / 59, .runs = 1'000});
  }
  CheckDefaults(LearnSpeedClasses(even));
}

// Guards against the assumption of three classes.
TEST_CASE("two classes are told apart, on whichever sides of 1 they are") {
  std::mt19937_64 random(4);
  const auto both =
      LearnSpeedClasses(DrawSamples(random, {0.75, 1.3}, 10, 200));
  CHECK(ClassifySpeed(both, 0.75) == speed_class::kFast);
  CHECK(ClassifySpeed(both, 1.3) == speed_class::kSlow);
  const auto slow =
      LearnSpeedClasses(DrawSamples(random, {0.95, 1.6}, 10, 200));
  CHECK(ClassifySpeed(slow, 0.95) == speed_class::kNormal);
  CHECK(ClassifySpeed(slow, 1.6) == speed_class::kSlow);
  CHECK(slow.very_slow_above > 1.9);
  const auto fast = LearnSpeedClasses(DrawSamples(random, {0.6, 1.1}, 10, 200));
  CHECK(ClassifySpeed(fast, 0.6) == speed_class::kFast);
  CHECK(ClassifySpeed(fast, 1.1) == speed_class::kNormal);
  CHECK(fast.very_slow_above == Approx(1.6));
}

// Guards against a degraded worker that counts as a class of its own, which
// would raise the bound above which workers are avoided.
TEST_CASE("degraded workers are no class") {
  std::mt19937_64 random(5);
  for (const auto& slownesses : {kNarrow, kWide}) {
    for (const size_t each : {3, 7, 53}) {
      auto samples = DrawSamples(random, slownesses, each, 400);
      const auto without = LearnSpeedClasses(samples);
      samples.push_back({.log_slowness = std::log(2.6), .runs = 60});
      CHECK(LearnSpeedClasses(samples).very_slow_above ==
            Approx(without.very_slow_above).epsilon(0.05));
      // A tenth of the workers, degraded by one cause.
      for (size_t at = 0; at < each / 2; ++at) {
        samples.push_back({.log_slowness = std::log(8), .runs = 100});
      }
      const auto with = LearnSpeedClasses(samples);
      CHECK(with.very_slow_above ==
            Approx(without.very_slow_above).epsilon(0.05));
      CHECK(with.degraded_above < 8);
    }
  }
}

/// Workers of an entry that play their runs in turn, five a second, of which
/// the entry learns.
struct fleet_trial {
  fleet_trial(uint64_t seed, const std::vector<double>& slownesses, size_t each)
      : random(seed) {
    for (size_t at = 0; at < each * slownesses.size(); ++at) {
      Add("w" + std::to_string(at), slownesses[at % slownesses.size()]);
    }
  }

  worker& Add(const std::string& id, double slowness) {
    worker& added = state.workers[id];
    added.phase = control_phase::kHeld;
    speed[id] = slowness;
    return added;
  }

  void RunOnce(const std::string& id, bool with_tail = false) {
    RecordSpeed(state.speeds.classes, state.workers.at(id), 100ms,
                DrawRuntime(random, speed.at(id), with_tail));
  }

  /// Whether the worker is called very slow or degraded.
  bool IsAvoided(const std::string& id) const {
    return ClassifySpeed(state.speeds.classes, state.workers.at(id).slowness) ==
           speed_class::kVerySlow;
  }

  /// Lets every worker run so often, with or without a tail; collects those
  /// that were avoided at any time.
  void Play(uint32_t runs, bool with_tail = false) {
    for (uint32_t run = 0; run < runs; ++run) {
      for (const auto& [id, slowness] : speed) {
        RunOnce(id, with_tail);
        if (IsAvoided(id)) {
          avoided.insert(id);
        }
      }
      now += 200ms;
      UpdateSpeedClasses(state, now);
    }
  }

  std::mt19937_64 random;
  engine state;
  instant now{10s};
  std::map<std::string, double> speed;
  std::set<std::string> avoided;
};

// Guards against a sound worker of a slow class that gets no tasks, because the
// first runs or the last ones were slow by chance, or because a few runs in a
// hundred take 7 times as long.
TEST_CASE("sound workers are not called very slow, from their first run on") {
  constexpr uint64_t kTrials = 200;
  for (const auto& slownesses : {kNarrow, kWide}) {
    for (const size_t each : {3, 4, 7}) {
      for (const bool with_tail : {false, true}) {
        std::map<double, size_t> wrong;
        for (uint64_t seed = 1; seed <= kTrials; ++seed) {
          fleet_trial trial(seed, slownesses, each);
          trial.Play(200, with_tail);
          for (const std::string& id : trial.avoided) {
            ++wrong[trial.speed.at(id)];
          }
        }
        for (const double slowness : slownesses) {
          const double share = static_cast<double>(wrong[slowness]) /
                               static_cast<double>(kTrials * each);
          INFO("slowness=" << slowness << " each=" << each
                           << " tail=" << with_tail);
          CHECK(share <= kMaxWrong);
        }
      }
    }
  }
}

// Guards against a class of a tenth of the workers that counts as outliers.
TEST_CASE("a slow class of a tenth of the workers is not called very slow") {
  constexpr uint64_t kTrials = 200;
  size_t wrong = 0;
  for (uint64_t seed = 1; seed <= kTrials; ++seed) {
    fleet_trial trial(seed, {0.625, 1, 1, 0.625, 1, 1, 1, 0.625, 1, 1.67}, 3);
    trial.Play(200);
    for (const std::string& id : trial.avoided) {
      wrong += trial.speed.at(id) > 1.5 ? 1 : 0;
    }
  }
  CHECK(static_cast<double>(wrong) / (kTrials * 3) <= kMaxWrong);
}

// Guards against learned classes that hide a worker which has become slower,
// also one whose class is fast, and against one that is slow from the start.
TEST_CASE("a worker that is 7.5 times slower is found within 20 runs") {
  constexpr uint64_t kTrials = 200;
  for (const auto& slownesses : {kNarrow, kWide}) {
    for (size_t subject = 0; subject < slownesses.size(); ++subject) {
      for (const bool from_start : {false, true}) {
        size_t found = 0;
        for (uint64_t seed = 1; seed <= kTrials; ++seed) {
          fleet_trial trial(seed, slownesses, 4);
          trial.Play(150);
          std::string id = "w" + std::to_string(subject);
          if (from_start) {
            id = "new";
            trial.Add(id, slownesses[subject]);
          }
          trial.speed[id] *= kDegradation;
          bool seen = false;
          for (uint32_t run = 0; run < kFoundWithin; ++run) {
            trial.RunOnce(id);
            seen = seen || trial.IsAvoided(id);
          }
          found += seen ? 1 : 0;
        }
        INFO("slowness=" << slownesses[subject] << " new=" << from_start);
        CHECK(static_cast<double>(found) / kTrials >= kMinFound);
      }
    }
  }
}

// Guards against degraded workers that look like a class of slow ones while
// their means change, which would raise the bound for all.
TEST_CASE("degraded workers do not move the bounds of the others") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    fleet_trial trial(seed, kNarrow, 10);
    trial.Play(200);
    for (const std::string id : {"w1", "w4", "w7"}) {
      trial.speed[id] *= 8;
    }
    for (int period = 0; period < 10; ++period) {
      trial.Play(10);
      CHECK(trial.state.speeds.classes.very_slow_above ==
            Approx(1.6).epsilon(0.1));
    }
    CHECK(trial.IsAvoided("w1"));
  }
}

TEST_CASE("the first runs count less, later ones as much as before") {
  const speed_classes classes;
  worker one;
  for (int run = 0; run < 10; ++run) {
    RecordSpeed(classes, one, 100ms, 125ms);
  }
  CHECK(one.slowness == Approx(std::sqrt(1.25)).epsilon(0.001));
  for (int run = 0; run < 490; ++run) {
    RecordSpeed(classes, one, 100ms, 125ms);
  }
  CHECK(one.slowness == Approx(1.25).epsilon(0.001));
}

// Guards against an origin without workers, and one that lost its own, that
// decide by the speeds of workers they do not have.
TEST_CASE("an entry without workers has the default classes") {
  fleet_trial trial(1, kWide, 4);
  trial.Play(100);
  CHECK(trial.state.speeds.classes.very_slow_above > 1.9);
  for (auto& [id, one] : trial.state.workers) {
    one.phase = control_phase::kNotControlled;
  }
  trial.now += 1s;
  UpdateSpeedClasses(trial.state, trial.now);
  CheckDefaults(trial.state.speeds.classes);
}

// Guards against the loss of the classes when many workers are replaced, and
// against a log line for each computation.
TEST_CASE("classes stay while most workers are new, and are logged once") {
  fleet_trial trial(1, kWide, 4);
  trial.Play(300);
  const auto learned = trial.state.speeds.classes;
  size_t lines = 0;
  for (const action& one : TakeActions(trial.state)) {
    lines += std::get<log_action>(one).line.starts_with(
                 "event=speed_classes_learned fast_below_pct=")
                 ? 1
                 : 0;
  }
  CHECK(lines >= 1);
  CHECK(lines <= 3);
  size_t left = 0;
  for (auto& [id, one] : trial.state.workers) {
    if (++left > 4) {
      ResetSpeed(one);
    }
  }
  trial.now += 1s;
  UpdateSpeedClasses(trial.state, trial.now);
  CHECK(trial.state.speeds.classes.slow_above == learned.slow_above);
  CHECK(trial.state.speeds.classes.very_slow_above == learned.very_slow_above);
}

/// How a run ends at its worker.
struct run_result {
  std::string worker;
  run_name name;
  run_end how = run_end::kDone;
};

/// A controller of nine workers of 16 cores, three of each speed, with callers
/// of short tasks, which may run anywhere, and of long ones, for which the slow
/// workers are too slow.
struct load_fixture {
  explicit load_fixture(uint64_t seed) : random(seed) {
    state = MakeEngine({}, {.incarnation = 1, .name = "self", .cpu_milli = 500},
                       now);
    SetWitnesses(state, {state.self}, now);
    fleet_config config{.version = 1};
    for (const std::string name : {"short", "long"}) {
      config.queues.push_back({.name = name,
                               .host = "h",
                               .path_prefix = "/" + name + "/",
                               .upstream = "plata",
                               .attempts = 2,
                               .stretch = 1.6,
                               .objective = 60ms});
    }
    ApplyConfig(state, std::make_shared<const fleet_config>(config), "");
    for (size_t at = 0; at < 9; ++at) {
      const std::string id = "w" + std::to_string(at);
      slowness[id] = kWide[at % kWide.size()];
      UpdateWorkerListing(state,
                          {.id = id,
                           .address = "10.1.0.1:80",
                           .upstream = "plata",
                           .capacity = {.cpu_milli = 16'000},
                           .boot_time_ms = 1},
                          now);
    }
    // Past the time in which an entry that has just started holds jobs.
    Advance(2'500ms, false);
  }

  /// Plays `span` of time, in which jobs of one task arrive, together for about
  /// three quarters of the workers' capacity.
  void Advance(milliseconds span, bool with_jobs) {
    constexpr milliseconds kStep{5};
    for (const instant end = now + span; now < end; now += kStep) {
      if (with_jobs && std::bernoulli_distribution(0.8)(random)) {
        Submit("short", 60ms);
      }
      if (with_jobs && std::bernoulli_distribution(0.03)(random)) {
        Submit("long", 900ms);
      }
      while (!ends.empty() && ends.begin()->first <= now) {
        const auto [id, name, how] = ends.begin()->second;
        ends.erase(ends.begin());
        std::erase_if(running[id], [&name = name](const listed_run& one) {
          return one.name == name;
        });
        EndRun(state, state.workers.at(id), name, how, now);
      }
      Tick(state, now);
      DispatchAndFlush(state, now);
      Execute();
    }
  }

  void Submit(const std::string& queue, milliseconds nominal) {
    std::normal_distribution<double> noise(0, kDeviation);
    const uint64_t request = ++last_request;
    const auto actual = milliseconds{std::llround(
        static_cast<double>(nominal.count()) * std::exp(noise(random)))};
    const auto declared = milliseconds{std::llround(
        static_cast<double>(actual.count()) * std::exp(noise(random)))};
    const std::string id = "job" + std::to_string(request);
    runtime[id] = actual;
    submitted[request] = {queue, now};
    ++jobs[queue];
    SubmitJob(state,
              {.request = request,
               .queue = queue,
               .spec = {.id = id,
                        .steps = {{.count = 1,
                                   .need = {.cpu_milli = 8'000},
                                   .estimate = declared}}},
               .caller_timeout = 3s},
              now);
  }

  void Execute() {
    for (const action& one : TakeActions(state)) {
      if (const auto* start = std::get_if<start_order>(&one)) {
        const std::string& id = start->target.id;
        starts_by_speed[slowness.at(id)] += 1;
        running[id].push_back({.name = start->name});
        ScheduleEnd(id, start->name);
        OnStartReply(state, id, start->name, start_outcome::kAccepted, 1'000,
                     now);
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        CountAnswer(*answer);
      } else if (const auto* poll = std::get_if<poll_order>(&one)) {
        OnPollReply(state, poll->target.id, poll->number,
                    {.outcome = poll_outcome::kAnswered,
                     .running = running[poll->target.id]},
                    1'000, now);
      } else if (const auto* send = std::get_if<peer_send>(&one)) {
        OnDelivery(state, send->content.to, delivery::kDelivered, now);
      } else if (const auto* line = std::get_if<log_action>(&one)) {
        ejected = ejected || line->line.starts_with(
                                 "event=worker_ejected worker=" + failing);
      }
    }
  }

  /// Schedules the end of a run. One that fails does so at once.
  void ScheduleEnd(const std::string& id, const run_name& name) {
    if (id == failing && std::bernoulli_distribution(0.8)(random)) {
      ends.emplace(now + 5ms, run_result{id, name, run_end::kFailed});
      return;
    }
    const auto took = std::chrono::duration_cast<microseconds>(
        runtime.at(name.task.job) * slowness.at(id));
    ends.emplace(now + took, run_result{id, name, run_end::kDone});
  }

  /// Counts the answers that are in time by the job's own running time.
  void CountAnswer(const caller_answer& answer) {
    const auto& [queue, arrived] = submitted.at(answer.request);
    const auto limit =
        runtime.at("job" + std::to_string(answer.request)) * 1.6 + 60ms;
    if (answer.code == result_code::kOk && now - arrived <= limit) {
      ++in_time[queue];
    }
  }

  double ShareInTime(const std::string& queue) {
    return static_cast<double>(in_time[queue]) /
           static_cast<double>(jobs[queue]);
  }

  /// Returns the share of all starts that went to workers of a slowness.
  double ShareOfStarts(double of) {
    size_t all = 0;
    for (const auto& [one, count] : starts_by_speed) {
      all += count;
    }
    return static_cast<double>(starts_by_speed[of]) / static_cast<double>(all);
  }

  void ClearCounts() {
    jobs.clear();
    in_time.clear();
    starts_by_speed.clear();
  }

  engine state;
  instant now{10s};
  std::mt19937_64 random;
  std::map<std::string, double> slowness;
  /// A worker that fails most of its runs, and whether it was ejected.
  std::string failing;
  bool ejected = false;
  std::map<std::string, std::vector<listed_run>> running;
  std::multimap<instant, run_result> ends;
  std::map<std::string, milliseconds> runtime;
  uint64_t last_request = 0;
  std::map<uint64_t, std::pair<std::string, instant>> submitted;
  std::map<std::string, size_t> jobs;
  std::map<std::string, size_t> in_time;
  std::map<double, size_t> starts_by_speed;
};

// Guards against fixed bounds where speeds are 0.6, 1 and 1.6: the slow third
// of the workers was avoided as very slow, short tasks took the fast workers,
// and long tasks, which need these, were late.
TEST_CASE("short tasks leave the fast workers to long ones") {
  for (const uint64_t seed : {1, 2, 3}) {
    load_fixture fixed(seed);
    fixed.state.speeds.next_update = instant::max();
    load_fixture learned(seed);
    for (load_fixture* const one : {&fixed, &learned}) {
      one->Advance(20s, true);
      one->ClearCounts();
      one->Advance(60s, true);
    }
    INFO("seed=" << seed);
    // The slow third has 0.18 of the capacity.
    CHECK(learned.ShareOfStarts(1.67) > 0.18);
    CHECK(fixed.ShareOfStarts(1.67) < learned.ShareOfStarts(1.67) / 2);
    CHECK(learned.ShareInTime("long") > fixed.ShareInTime("long") + 0.05);
    CHECK(learned.ShareInTime("short") > fixed.ShareInTime("short") - 0.01);
  }
}

// Guards against a worker that fails most of its runs at once and is taken for
// a slow one, since its failures count as running time: it is ejected instead.
TEST_CASE("a worker that fails its runs is ejected, and not called very slow") {
  constexpr uint64_t kTrials = 200;
  size_t wrong = 0;
  size_t ejected = 0;
  for (uint64_t seed = 1; seed <= kTrials; ++seed) {
    load_fixture one(seed);
    one.failing = "w1";
    one.Advance(4s, true);
    wrong += one.state.workers.at("w1").slowness >
                     one.state.speeds.classes.very_slow_above
                 ? 1
                 : 0;
    ejected += one.ejected ? 1 : 0;
  }
  CHECK(static_cast<double>(wrong) / kTrials <= kMaxWrong);
  CHECK(static_cast<double>(ejected) / kTrials >= kMinFound);
}

}  // namespace
}  // namespace tarragondrift::fleet
