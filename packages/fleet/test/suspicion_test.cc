// Workers on which runs stand still or are far too slow, in the load of a fleet
// of which a part hangs: their tasks go elsewhere, and no more are put there.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr milliseconds kTick{10};
constexpr milliseconds kRuntime{200};
/// Workers answer a poll after this long at the latest.
constexpr milliseconds kPollTime{100};

/// One entry with workers of one place each, which report progress.
struct suspicion_fixture {
  suspicion_fixture() {
    state = MakeEngine({}, {.incarnation = 1, .name = "self", .cpu_milli = 250},
                       now);
    SetWitnesses(state, {state.self}, now);
    ApplyConfig(state,
                std::make_shared<const fleet_config>(
                    fleet_config{.version = 1,
                                 .queues = {{.name = "q",
                                             .host = "h",
                                             .path_prefix = "/q/",
                                             .upstream = "plata",
                                             .attempts = 2,
                                             .stretch = 1.6,
                                             .objective = 2'000ms}}}),
                "");
    for (const char* id : {"a", "b", "c", "d"}) {
      UpdateWorkerListing(state,
                          {.id = id,
                           .address = "10.1.0.1:80",
                           .upstream = "plata",
                           .capacity = {.cpu_milli = 8'000},
                           .boot_time_ms = 1},
                          now);
    }
    Advance(3s);
    // The entry sees that runs report progress.
    Submit(100);
    Advance(400ms);
    REQUIRE(answered.contains(100));
  }

  void Submit(uint64_t request) {
    SubmitJob(state,
              {.request = request,
               .queue = "q",
               .spec = {.id = "job" + std::to_string(request),
                        .steps = {{.count = 1,
                                   .need = {.cpu_milli = 8'000},
                                   .estimate = kRuntime}}},
               .caller_timeout = 8s},
              now);
  }

  struct run_at_worker {
    run_name name;
    instant began;
    bool stopped = false;
  };

  void Act() {
    DispatchAndFlush(state, now);
    for (const action& one : TakeActions(state)) {
      if (const auto* start = std::get_if<start_order>(&one)) {
        starts.emplace_back(start->target.id, start->name.task.job);
        runs[start->target.id].push_back({start->name, now});
        OnStartReply(state, start->target.id, start->name,
                     start_outcome::kAccepted, 1'000, now);
      } else if (const auto* stop = std::get_if<stop_order>(&one)) {
        stops.emplace_back(stop->target.id, now);
        for (run_at_worker& run : runs[stop->target.id]) {
          run.stopped = run.stopped || run.name == stop->name;
        }
        OnStopReply(state, stop->target.id, stop->name,
                    stop_outcome::kAcknowledged, 1'000, now);
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        answered[answer->request] = answer->code;
      } else if (const auto* poll = std::get_if<poll_order>(&one)) {
        polls[poll->target.id] = {*poll, now};
      }
    }
  }

  /// Returns the progress of a run, from 0 to 1 at its end.
  double Progress(const std::string& id, const run_at_worker& run) const {
    const auto factor = slowness.find(id);
    if (!reports_progress || factor == slowness.end()) {
      return std::chrono::duration<double>(now - run.began) / kRuntime;
    }
    return factor->second == 0
               ? 0.0
               : std::chrono::duration<double>(now - run.began) /
                     (kRuntime * factor->second);
  }

  void AnswerPolls() {
    const auto open = polls;
    for (const auto& [worker, entry] : open) {
      const std::string& id = worker;
      poll_reply reply{.outcome = poll_outcome::kAnswered};
      std::erase_if(runs[id], [&](const run_at_worker& run) {
        const bool done = Progress(id, run) >= 1;
        if (done || run.stopped) {
          reply.ended.push_back(
              {.number = ++ends[id],
               .name = run.name,
               .how = run.stopped ? run_end::kStopped : run_end::kDone});
        }
        return done || run.stopped;
      });
      if (reply.ended.empty() && now - entry.second < kPollTime) {
        continue;
      }
      for (const run_at_worker& run : runs[id]) {
        constexpr double kPercent = 100;
        reply.running.push_back(
            {.name = run.name,
             .percent = reports_progress ? static_cast<uint32_t>(
                                               kPercent * Progress(id, run))
                                         : 0});
      }
      polls.erase(id);
      OnPollReply(state, id, entry.first.number, reply, 1'000, now);
    }
    Act();
  }

  void Advance(milliseconds span) {
    for (const instant end = now + span; now < end; now += kTick) {
      Tick(state, now);
      Act();
      AnswerPolls();
    }
  }

  engine state;
  instant now{10s};
  /// Factor of running times at some workers; 0 where runs stand still.
  std::map<std::string, double> slowness;
  bool reports_progress = true;
  std::map<std::string, std::vector<run_at_worker>> runs;
  std::map<std::string, std::pair<poll_order, instant>> polls;
  std::map<std::string, uint64_t> ends;
  std::vector<std::pair<std::string, std::string>> starts;
  std::vector<std::pair<std::string, instant>> stops;
  std::map<uint64_t, result_code> answered;
};

// Guards against a caller that waits for a run that stands still until it has
// taken four times its expected time, and then for another one there.
TEST_CASE_METHOD(suspicion_fixture, "a run that stands still is moved early") {
  slowness["a"] = 0;
  for (uint64_t request = 1; request <= 4; ++request) {
    Submit(request);
  }
  const instant begin = now;
  Advance(900ms);
  CHECK(answered.size() == 5);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].first == "a");
  // One poll, the limit of a standstill, and the next poll.
  CHECK(stops[0].second - begin <= 300ms);
  CHECK(starts.back().first != "a");
}

// Guards against a hanging worker that gets one task after the other, because
// its place is always free.
TEST_CASE_METHOD(suspicion_fixture,
                 "a worker under suspicion gets few further tasks") {
  slowness["a"] = 0;
  for (uint64_t request = 1; request <= 30; ++request) {
    Submit(request);
    Advance(80ms);
  }
  Advance(2s);
  const auto at_a =
      std::count_if(starts.begin() + 1, starts.end(),
                    [](const auto& start) { return start.first == "a"; });
  CHECK(at_a <= 5);
  CHECK(answered.size() == 31);
}

TEST_CASE_METHOD(suspicion_fixture, "a slow worker's run is moved") {
  slowness["a"] = 8;
  for (uint64_t request = 1; request <= 4; ++request) {
    Submit(request);
  }
  Advance(1s);
  CHECK(answered.size() == 5);
  REQUIRE_FALSE(stops.empty());
  CHECK(stops[0].first == "a");
}

// Guards against runs that are stopped again and again where workers report no
// progress.
TEST_CASE_METHOD(suspicion_fixture,
                 "runs of a queue without progress reports are not judged") {
  state.queues_with_progress.clear();
  reports_progress = false;
  for (uint64_t request = 1; request <= 4; ++request) {
    Submit(request);
  }
  Advance(1s);
  CHECK(stops.empty());
  CHECK(answered.size() == 5);
}

// Guards against a whole fleet under suspicion when its tasks take longer than
// they were known to.
TEST_CASE_METHOD(suspicion_fixture,
                 "tasks that are slow everywhere cost no capacity") {
  state.options.stall_factor = 20;
  for (const char* id : {"a", "b", "c", "d"}) {
    slowness[id] = 6;
  }
  for (uint64_t request = 1; request <= 4; ++request) {
    Submit(request);
  }
  Advance(1'500ms);
  CHECK(answered.size() == 5);
  CHECK(stops.empty());
}

TEST_CASE_METHOD(suspicion_fixture, "healthy runs are not stopped") {
  for (uint64_t request = 1; request <= 40; ++request) {
    Submit(request);
    Advance(60ms);
  }
  Advance(2s);
  CHECK(stops.empty());
  CHECK(answered.size() == 41);
}

}  // namespace
}  // namespace tarragondrift::fleet
