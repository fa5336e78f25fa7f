// Shares of scarce capacity, in loads that compete for it: a burst of one kind,
// wide jobs among small ones, and demand waves of two data centres. Jobs pass
// the real admission; a small model of slots and queues serves them.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/admission_cmd.h"
#include "tarragondrift/fleet/admission_share_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only
using std::chrono::microseconds;

constexpr milliseconds kStep{5};
/// Age of load reports, as with envelopes at this interval.
constexpr milliseconds kReportInterval{50};
constexpr uint64_t kFirstController = 100;

/// Jobs of one queue.
struct job_kind {
  std::string queue;
  uint32_t priority = 0;
  double mean_tasks = 0;
  /// Standard deviation of the logarithm of the number of tasks.
  double spread = 0.7;
  double mean_runtime_ms = 0;
  /// Core-seconds asked for per second, relative to all slots, at the given
  /// time at the given entry.
  std::function<double(double seconds, size_t entry)> demand;
};

struct played_load {
  std::vector<job_kind> kinds;
  size_t entries = 3;
  /// Slots of each controller; a task takes one.
  std::vector<uint32_t> slots;
  /// Between these times results count.
  double from_seconds = 0;
  double until_seconds = 0;
};

/// A part at a slot model: the origin, and its reference there.
using part_key = std::pair<size_t, part_ref>;

/// Slots and a queue ordered by the latest start, like that of a controller.
struct slot_model {
  struct slot_task {
    part_key part;
    microseconds runtime{0};
  };

  double EndsPerSecond() const {
    double rate = 0;
    for (const auto& [end, one] : running) {
      rate += 1e6 / static_cast<double>(one.runtime.count());
    }
    return rate;
  }

  load_report Report(instant now) const {
    load_report report{
        .free_tasks = slots - static_cast<uint32_t>(running.size()),
        .ends_per_second = EndsPerSecond(),
        .workers = 1};
    for (const auto& [latest_start, one] : waiting) {
      for (size_t at = 0; at < kSlackBounds.size(); ++at) {
        report.queued_within[at] +=
            latest_start - now <= kSlackBounds[at] ? 1 : 0;
      }
    }
    return report;
  }

  /// @return whether the part can start in time and was queued.
  bool Accept(size_t origin, const part_offer& offer, instant now) {
    const milliseconds runtime = offer.job.steps.front().estimate;
    const milliseconds slack = offer.objective_left - runtime;
    if (PredictWait(Report(now), offer.count, slack) > slack) {
      return false;
    }
    const part_key key{origin, offer.ref};
    for (uint32_t task = 0; task < offer.count; ++task) {
      waiting.insert({now + slack, {.part = key, .runtime = runtime}});
    }
    left[key] = offer.count;
    return true;
  }

  void Remove(const part_key& key) {
    const auto belongs = [&key](const auto& entry) {
      return entry.second.part == key;
    };
    std::erase_if(waiting, belongs);
    std::erase_if(running, belongs);
    left.erase(key);
  }

  /// Ends and starts tasks.
  /// @return the parts that are done.
  std::vector<part_key> Step(instant now) {
    std::vector<part_key> done;
    while (!running.empty() && running.begin()->first <= now) {
      const part_key key = running.begin()->second.part;
      running.erase(running.begin());
      if (--left.at(key) == 0) {
        left.erase(key);
        done.push_back(key);
      }
    }
    while (running.size() < slots && !waiting.empty()) {
      const slot_task next = waiting.begin()->second;
      waiting.erase(waiting.begin());
      running.insert({now + next.runtime, next});
    }
    return done;
  }

  uint32_t slots = 0;
  std::multimap<instant, slot_task> waiting;
  std::multimap<instant, slot_task> running;
  std::map<part_key, uint32_t> left;
};

struct played_job {
  size_t kind = 0;
  size_t entry = 0;
  double at_seconds = 0;
  uint32_t tasks = 0;
  milliseconds runtime{0};
  double core_ms = 0;
  /// The rank of its size among the jobs of its kind, from 0 to 1.
  double rank = 0;
  instant arrived;
  bool served = false;
  bool on_time = false;
};

microseconds Seconds(double count) {
  return std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(count));
}

double SlotSeconds(const played_load& load) {
  double slots = 0;
  for (const uint32_t count : load.slots) {
    slots += count;
  }
  return slots;
}

/// Draws the jobs of a load, in order of arrival.
std::vector<played_job> DrawJobs(const played_load& load, uint64_t seed) {
  constexpr double kRuntimeSpread = 0.4;
  constexpr double kStepSeconds = 0.005;
  std::mt19937_64 random(seed);
  std::normal_distribution<double> normal;
  std::vector<played_job> jobs;
  for (double at = 0; at < load.until_seconds; at += kStepSeconds) {
    for (size_t kind = 0; kind < load.kinds.size(); ++kind) {
      const job_kind& one = load.kinds[kind];
      for (size_t entry = 0; entry < load.entries; ++entry) {
        const double rate = one.demand(at, entry) * SlotSeconds(load) /
                            (one.mean_tasks * one.mean_runtime_ms / 1e3);
        const int arrivals =
            std::poisson_distribution<int>(rate * kStepSeconds)(random);
        for (int count = 0; count < arrivals; ++count) {
          const auto draw = [&](double mean, double spread) {
            return mean *
                   std::exp(spread * normal(random) - spread * spread / 2);
          };
          played_job job{.kind = kind, .entry = entry, .at_seconds = at};
          job.tasks = static_cast<uint32_t>(
              std::max(1.0, std::round(draw(one.mean_tasks, one.spread))));
          job.runtime = milliseconds{static_cast<int64_t>(std::max(
              5.0, std::round(draw(one.mean_runtime_ms, kRuntimeSpread))))};
          job.core_ms = static_cast<double>(job.tasks) *
                        static_cast<double>(job.runtime.count());
          jobs.push_back(job);
        }
      }
    }
  }
  std::map<size_t, std::vector<played_job*>> by_kind;
  for (played_job& job : jobs) {
    by_kind[job.kind].push_back(&job);
  }
  for (auto& [kind, same] : by_kind) {
    std::sort(same.begin(), same.end(),
              [](const played_job* a, const played_job* b) {
                return a->core_ms < b->core_ms;
              });
    for (size_t at = 0; at < same.size(); ++at) {
      same[at]->rank =
          static_cast<double>(at) / static_cast<double>(same.size());
    }
  }
  return jobs;
}

fleet_config ConfigOf(const std::vector<job_kind>& kinds) {
  fleet_config config{.version = 1};
  for (const job_kind& kind : kinds) {
    config.queues.push_back({.name = kind.queue,
                             .host = "h",
                             .path_prefix = "/" + kind.queue + "/",
                             .upstream = "plata",
                             .priority = kind.priority,
                             .stretch = 1.6,
                             .objective = 60ms});
  }
  return config;
}

/// Entries in front of slot models.
struct share_player {
  share_player(const played_load& played, bool shares_used, uint64_t seed)
      : load(played), with_shares(shares_used), jobs(DrawJobs(played, seed)) {
    for (const uint32_t slots : load.slots) {
      controllers.emplace_back().slots = slots;
    }
    const auto config =
        std::make_shared<const fleet_config>(ConfigOf(load.kinds));
    for (size_t entry = 0; entry < load.entries; ++entry) {
      engine& state =
          entries.emplace_back(MakeEngine({.share_capacity = true},
                                          {.incarnation = entry + 1,
                                           .name = std::to_string(entry),
                                           .data_centre = "dc"},
                                          instant{1s}));
      SetWitnesses(state, {state.self}, instant{1s});
      ApplyConfig(state, config, "");
      for (size_t at = 0; at < controllers.size(); ++at) {
        peer& one = state.peers[kFirstController + at];
        one.identity = {.incarnation = kFirstController + at,
                        .data_centre = "dc"};
        one.silent = false;
      }
    }
  }

  void Play() {
    size_t next = 0;
    instant next_report = now;
    const auto end = start + Seconds(load.until_seconds) + 3s;
    for (; now < end; now += kStep) {
      for (size_t at = 0; at < controllers.size(); ++at) {
        for (const auto& [entry, ref] : controllers[at].Step(now)) {
          OnPartResult(entries[entry], kFirstController + at,
                       {.ref = ref, .started = true}, now);
          TakeAnswers(entries[entry]);
        }
      }
      if (now >= start + Seconds(load.from_seconds) &&
          now < start + Seconds(load.until_seconds)) {
        CountBusySlots();
      }
      if (now >= next_report) {
        next_report = now + kReportInterval;
        ReportLoads();
      }
      const double seconds = std::chrono::duration<double>(now - start).count();
      for (; next < jobs.size() && jobs[next].at_seconds <= seconds; ++next) {
        Submit(next);
      }
    }
  }

  void CountBusySlots() {
    for (const slot_model& one : controllers) {
      worked_ms += static_cast<double>(one.running.size()) * kStep.count();
    }
  }

  void ReportLoads() {
    for (size_t at = 0; at < controllers.size(); ++at) {
      const load_report report = controllers[at].Report(now);
      for (engine& state : entries) {
        peer& one = state.peers.at(kFirstController + at);
        one.load["plata"] = report;
        one.load_received = now;
      }
    }
  }

  void Submit(size_t index) {
    played_job& job = jobs[index];
    job.arrived = now;
    engine& state = entries[job.entry];
    SubmitJob(state,
              {.request = index,
               .queue = load.kinds[job.kind].queue,
               .spec = {.id = std::to_string(index),
                        .steps = {{.count = job.tasks,
                                   .need = {.cpu_milli = 1'000},
                                   .estimate = job.runtime}}},
               .caller_timeout = 5s},
              now);
    DeliverMessages(job.entry);
    TakeAnswers(state);
    if (!with_shares) {
      state.shares = {};
    }
  }

  /// Delivers offers and cancellations, and the refusals that they cause, until
  /// there are none.
  void DeliverMessages(size_t entry) {
    engine& state = entries[entry];
    bool delivered = true;
    while (delivered) {
      delivered = false;
      for (size_t at = 0; at < controllers.size(); ++at) {
        const uint64_t controller = kFirstController + at;
        for (const peer_message& message :
             std::exchange(state.peers.at(controller).outbox, {})) {
          delivered = true;
          if (const auto* offer = std::get_if<part_offer>(&message)) {
            if (!controllers[at].Accept(entry, *offer, now)) {
              OnPartResult(
                  state, controller,
                  {.ref = offer->ref, .code = result_code::kNotRunOverloaded},
                  now);
            }
          } else if (const auto* cancel = std::get_if<part_cancel>(&message)) {
            controllers[at].Remove({entry, cancel->ref});
            OnPartResult(
                state, controller,
                {.ref = cancel->ref, .code = result_code::kNotRunCancelled},
                now);
          }
        }
      }
    }
  }

  void TakeAnswers(engine& state) {
    for (const action& one : TakeActions(state)) {
      if (const auto* answer = std::get_if<caller_answer>(&one)) {
        played_job& job = jobs[answer->request];
        job.served = answer->code == result_code::kOk;
        job.on_time =
            job.served && now <= job.arrived + job.runtime * 8 / 5 + 60ms;
      }
    }
  }

  played_load load;
  bool with_shares;
  instant start{10s};
  instant now{10s};
  std::vector<played_job> jobs;
  std::vector<slot_model> controllers;
  std::vector<engine> entries;
  /// Core-milliseconds of all runs while results count.
  double worked_ms = 0;
};

/// Core-milliseconds of a group of jobs. A job counts as granted once it was
/// served: controllers refuse jobs that an entry accepted by an old forecast.
struct group_result {
  double asked = 0;
  double granted = 0;
  double on_time = 0;

  void Add(const played_job& job) {
    asked += job.core_ms;
    granted += job.served ? job.core_ms : 0;
    on_time += job.on_time ? job.core_ms : 0;
  }
  double Fraction() const { return asked > 0 ? granted / asked : 1; }
};

constexpr std::array<const char*, kSizeBands> kBandNames{"largest", "large",
                                                         "rest"};

struct load_result {
  group_result total;
  std::vector<group_result> kinds;
  std::vector<std::array<group_result, kSizeBands>> bands;
  /// Fraction of the demand that the capacity could serve at most.
  double best = 0;
  /// Fraction of the capacity that was used.
  double used = 0;
};

load_result Evaluate(const share_player& player) {
  const played_load& load = player.load;
  load_result result;
  result.kinds.resize(load.kinds.size());
  result.bands.resize(load.kinds.size());
  std::map<int, double> asked_in_second;
  for (const played_job& job : player.jobs) {
    if (job.at_seconds < load.from_seconds) {
      continue;
    }
    const size_t band = job.rank >= 0.9 ? 0 : job.rank >= 0.7 ? 1 : 2;
    result.total.Add(job);
    result.kinds[job.kind].Add(job);
    result.bands[job.kind][band].Add(job);
    asked_in_second[static_cast<int>(job.at_seconds)] += job.core_ms;
  }
  double served = 0;
  for (const auto& [second, asked] : asked_in_second) {
    served += std::min(asked, SlotSeconds(load) * 1e3);
  }
  result.best = served / result.total.asked;
  result.used = player.worked_ms / (SlotSeconds(load) * 1e3 *
                                    (load.until_seconds - load.from_seconds));
  return result;
}

/// Plays a load without and with shares, prints what callers get, and checks
/// the requirements.
void CheckLoad(const char* name, const played_load& load) {
  constexpr int kSeeds = 3;
  constexpr double kMinLargestShare = 0.85;
  constexpr double kFloorShare = 0.5;
  constexpr double kMinService = 0.98;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::array<load_result, 2> results;
    for (const bool with_shares : {false, true}) {
      share_player player(load, with_shares, static_cast<uint64_t>(seed));
      player.Play();
      results.at(with_shares ? 1 : 0) = Evaluate(player);
    }
    const auto& [without, with] = results;
    std::printf(
        "load=%s seed=%d best=%.3f granted=%.3f->%.3f on_time=%.3f->%.3f "
        "used=%.3f->%.3f\n",
        name, seed, with.best, without.total.Fraction(), with.total.Fraction(),
        without.total.on_time / without.total.asked,
        with.total.on_time / with.total.asked, without.used, with.used);
    CHECK(with.used >= kMinService * without.used);
    CHECK(with.total.granted >= kMinService * without.total.granted);
    for (size_t kind = 0; kind < load.kinds.size(); ++kind) {
      std::printf("  queue=%s all=%.3f->%.3f", load.kinds[kind].queue.c_str(),
                  without.kinds[kind].Fraction(), with.kinds[kind].Fraction());
      for (size_t band = 0; band < kSizeBands; ++band) {
        const group_result& after = with.bands[kind].at(band);
        std::printf(" %s=%.3f->%.3f (on time %.3f->%.3f)", kBandNames.at(band),
                    without.bands[kind].at(band).Fraction(), after.Fraction(),
                    without.bands[kind].at(band).on_time /
                        without.bands[kind].at(band).asked,
                    after.on_time / after.asked);
        INFO(name << " seed " << seed << ' ' << load.kinds[kind].queue << ' '
                  << kBandNames.at(band));
        CHECK(after.Fraction() >= kFloorShare * with.total.Fraction());
      }
      std::printf("\n");
      INFO(name << " seed " << seed << ' ' << load.kinds[kind].queue);
      CHECK(with.bands[kind][0].Fraction() >=
            kMinLargestShare * with.kinds[kind].Fraction());
    }
  }
}

/// The three kinds of the deployments, each with a third of the demand.
std::vector<job_kind> ThreeKinds(
    const std::function<double(double seconds, size_t entry)>& demand) {
  return {{.queue = "short",
           .priority = 0,
           .mean_tasks = 8,
           .mean_runtime_ms = 60,
           .demand = demand},
          {.queue = "middle",
           .priority = 1,
           .mean_tasks = 2,
           .mean_runtime_ms = 200,
           .demand = demand},
          {.queue = "long",
           .priority = 2,
           .mean_tasks = 4,
           .mean_runtime_ms = 900,
           .demand = demand}};
}

// Guards against a burst of one kind that takes the capacity of the others, or
// of its own wide jobs.
TEST_CASE("every band keeps its share in a burst of one kind") {
  for (size_t burst = 0; burst < 3; ++burst) {
    played_load load{
        .slots = {60, 60, 60}, .from_seconds = 10, .until_seconds = 40};
    load.kinds = ThreeKinds([](double, size_t) { return 0.95 / 3 / 3; });
    load.kinds[burst].demand = [](double seconds, size_t) {
      return (seconds < 10 ? 0.95 : 1.8 * 0.95) / 3 / 3;
    };
    CheckLoad(("burst of " + load.kinds[burst].queue).c_str(), load);
  }
}

// Guards against small jobs that take each slot as it becomes free, so that
// wide jobs never find room.
TEST_CASE("wide jobs are served among many small ones") {
  const auto half = [](double seconds, size_t) {
    return (seconds < 10 ? 0.45 : 0.9) / 3;
  };
  CheckLoad("wide among small", {.kinds = {{.queue = "small",
                                            .priority = 1,
                                            .mean_tasks = 1.5,
                                            .spread = 0.3,
                                            .mean_runtime_ms = 200,
                                            .demand = half},
                                           {.queue = "wide",
                                            .priority = 1,
                                            .mean_tasks = 24,
                                            .spread = 0.5,
                                            .mean_runtime_ms = 200,
                                            .demand = half}},
                                 .slots = {60, 60},
                                 .from_seconds = 10,
                                 .until_seconds = 40});
}

// Guards against headroom that is too small where each entry sees only a small
// part of the demand on the capacity.
TEST_CASE("bands keep their share across many entries") {
  constexpr size_t kEntries = 24;
  played_load load{.entries = kEntries,
                   .slots = {90, 90, 90, 90, 90, 90, 90, 90},
                   .from_seconds = 20,
                   .until_seconds = 60};
  load.kinds = ThreeKinds([](double seconds, size_t) {
    return (seconds < 20 ? 0.95 : 1.8) / 3 / kEntries;
  });
  CheckLoad("many entries", load);
}

// Guards against decisions that lag behind periodic demand: what was scarce in
// one phase is not in the next.
TEST_CASE("bands keep their share in demand waves out of phase") {
  played_load load{
      .entries = 2, .slots = {90, 90}, .from_seconds = 13, .until_seconds = 65};
  load.kinds = ThreeKinds([](double seconds, size_t entry) {
    constexpr double kMean = 1.4;
    constexpr double kPeriod = 13;
    constexpr double kPi = 3.14159265358979;
    const double phase =
        2 * kPi * (seconds / kPeriod + (entry == 0 ? 0.0 : 0.33));
    return kMean * (1 + 0.55 * std::sin(phase)) / 3 / 2;
  });
  CheckLoad("waves", load);
}

}  // namespace
}  // namespace tarragondrift::fleet
