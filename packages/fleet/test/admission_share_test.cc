// Shares of scarce capacity: which jobs leave headroom for others, when refused
// callers return, and what happens when inputs are missing or change.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/admission_cmd.h"
#include "tarragondrift/fleet/admission_share_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kNear = 2;
constexpr uint64_t kFar = 3;

queue_config MakeQueue(const std::string& name, uint32_t priority,
                       const std::string& upstream = "plata") {
  return {.name = name,
          .host = "h",
          .path_prefix = "/" + name + "/",
          .upstream = upstream,
          .priority = priority,
          .stretch = 1.6,
          .objective = 60ms};
}

share_job Sized(uint32_t tasks, size_band band = size_band::kRest) {
  return {
      .band = band, .core_ms = 200.0 * tasks, .tasks = tasks, .slack = 180ms};
}

/// An origin without workers, and a controller in each of two data centres.
struct share_fixture {
  share_fixture() {
    state = MakeEngine(
        {.share_capacity = true},
        {.incarnation = 1, .name = "self", .data_centre = "near"}, now - 1min);
    SetWitnesses(state, {state.self}, now);
    Configure(1, {MakeQueue("urgent", 0), MakeQueue("small", 1),
                  MakeQueue("wide", 1), MakeQueue("other", 1, "coyuca")});
    SetLoad(kNear, "near", {});
  }

  void Configure(uint64_t version, std::vector<queue_config> queues) {
    ApplyConfig(state,
                std::make_shared<const fleet_config>(fleet_config{
                    .version = version, .queues = std::move(queues)}),
                "");
    TakeActions(state);
  }

  void SetLoad(uint64_t controller, const std::string& data_centre,
               load_report load) {
    load.workers = 1;
    peer& one = state.peers[controller];
    one.identity = {.incarnation = controller, .data_centre = data_centre};
    one.silent = false;
    one.load["plata"] = load;
    one.load_received = now;
  }

  /// Records requests of which a number was granted.
  void Record(const std::string& queue, const share_job& job, int asked,
              int granted) {
    for (int count = 0; count < asked; ++count) {
      RecordAsked(state.shares, queue, job, count < granted, now);
    }
  }

  job_arrival Arrival(const std::string& queue, uint32_t tasks) {
    ++request;
    return {.request = request,
            .queue = queue,
            .spec = {.id = "job" + std::to_string(request),
                     .steps = {{.count = tasks,
                                .need = {.cpu_milli = 1'000},
                                .estimate = 200ms}}},
            .caller_timeout = 4s};
  }

  job_plan Plan(const std::string& queue, uint32_t tasks) {
    return PlanJob(state, Arrival(queue, tasks), now, now);
  }

  /// Submits a job and returns the log line of its refusal, or "".
  std::string SubmitRefused(const std::string& queue, uint32_t tasks) {
    SubmitJob(state, Arrival(queue, tasks), now);
    std::string found;
    for (const action& one : TakeActions(state)) {
      if (const auto* log = std::get_if<log_action>(&one)) {
        found = log->line.starts_with("event=job_refused ") ? log->line : found;
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        retry_after = answer->retry_after;
      }
    }
    return found;
  }

  engine state;
  instant now{100s};
  uint64_t request = 0;
  std::chrono::milliseconds retry_after{0};
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against an effect on deployments that have enough capacity.
TEST_CASE_METHOD(share_fixture,
                 "shares change no plan while 0.98 of every band is granted") {
  share_fixture untouched;
  engine& plain = untouched.state;
  Record("urgent", Sized(8), 100, 98);
  Record("small", Sized(2), 50, 50);
  Record("wide", Sized(30, size_band::kLargest), 100, 99);
  for (uint32_t free = 0; free < 40; free += 3) {
    for (uint32_t queued = 0; queued < 40; queued += 3) {
      load_report load{.free_tasks = free, .ends_per_second = 100};
      load.queued_within.fill(queued);
      SetLoad(kNear, "near", load);
      SetLoad(kFar, "far", load);
      plain.peers = state.peers;
      for (const std::string queue : {"urgent", "small", "wide"}) {
        const job_arrival arrival = Arrival(queue, 1 + free);
        const job_plan with = PlanJob(state, arrival, now, now);
        const job_plan without = PlanJob(plain, arrival, now, now);
        CHECK(with.refusal == without.refusal);
        CHECK(with.cause == without.cause);
        CHECK(with.wait == without.wait);
        CHECK(with.objective == without.objective);
        CHECK(with.useful_until == without.useful_until);
        CHECK(with.load_age == without.load_age);
        REQUIRE(with.parts.size() == without.parts.size());
        for (size_t part = 0; part < with.parts.size(); ++part) {
          CHECK(with.parts[part].controller == without.parts[part].controller);
          CHECK(with.parts[part].first == without.parts[part].first);
          CHECK(with.parts[part].count == without.parts[part].count);
        }
      }
    }
  }
}

// Guards against small jobs that take every slot as it becomes free.
TEST_CASE_METHOD(share_fixture,
                 "a better served band leaves room for a less served job") {
  Record("small", Sized(2), 10, 9);
  Record("wide", Sized(12), 3, 1);
  // 18 tasks can start within the slack of 180 ms.
  load_report busy{.ends_per_second = 100};
  busy.queued_within.fill(5);
  SetLoad(kNear, "near", busy);
  const std::string line = SubmitRefused("small", 2);
  CHECK(Contains(line, " code=not_run_overloaded cause=share "));
  CHECK(Contains(line, " band=rest asked=4000 granted=3600 headroom="));
  CHECK(Contains(line, " load=recent"));
  CHECK(Plan("wide", 13).refusal == result_code::kOk);
  CHECK(Plan("wide", 14).cause == refusal_cause::kLoad);

  // Room for both.
  SetLoad(kNear, "near", {.free_tasks = 60, .ends_per_second = 100});
  CHECK(Plan("small", 2).refusal == result_code::kOk);

  // The less served band has asked for nothing lately.
  now += 5s;
  SetLoad(kNear, "near", busy);
  Record("small", Sized(2), 10, 9);
  CHECK(Plan("small", 2).refusal == result_code::kOk);
}

TEST_CASE_METHOD(share_fixture,
                 "a refusal by the forecast counts as asked, not granted") {
  SetLoad(kNear, "near", {.ends_per_second = 10});
  const std::string line = SubmitRefused("wide", 20);
  CHECK(Contains(line, " cause=load "));
  const band_demand& demand = state.shares.queues.at("wide").bands.at(
      static_cast<size_t>(size_band::kRest));
  CHECK(demand.asked == Approx(4'000));
  CHECK(demand.granted == 0);
  CHECK(demand.refused_total == 0);
}

// Guards against priority 0 jobs that wait for others, and against others that
// get nothing beside them.
TEST_CASE_METHOD(share_fixture,
                 "priority 0 leaves headroom only below the floor of others") {
  SetLoad(kNear, "near", {.ends_per_second = 100});
  Record("urgent", Sized(10), 10, 8);
  Record("small", Sized(10), 10, 5);
  CHECK(Plan("urgent", 10).refusal == result_code::kOk);
  CHECK(Plan("small", 10).refusal == result_code::kOk);
  now += 20s;
  state.peers.at(kNear).load_received = now;
  Record("urgent", Sized(10), 10, 8);
  Record("small", Sized(10), 10, 1);
  CHECK(Plan("urgent", 10).cause == refusal_cause::kShare);
  CHECK(Plan("small", 10).refusal == result_code::kOk);
}

TEST_CASE_METHOD(share_fixture, "queues of other workers need no headroom") {
  SetLoad(kNear, "near", {.ends_per_second = 100});
  Record("small", Sized(2), 10, 10);
  Record("other", Sized(20), 10, 0);
  CHECK(Plan("small", 18).refusal == result_code::kOk);
}

// Guards against decisions by forecasts that no longer hold.
TEST_CASE_METHOD(share_fixture,
                 "with old load reports headroom follows own requests") {
  Record("small", Sized(2), 5, 5);
  Record("wide", Sized(4), 5, 1);
  SetLoad(kNear, "near", {.ends_per_second = 100});
  const uint32_t recent = Plan("small", 2).share.headroom;
  now += 2'010ms;
  Record("small", Sized(2), 5, 5);
  Record("wide", Sized(4), 5, 1);
  const job_plan old = Plan("small", 2);
  CHECK(recent > old.share.headroom);
  // One job.
  CHECK(old.share.headroom == 4);
  const std::string line = SubmitRefused("small", 17);
  CHECK(Contains(line, " cause=share "));
  CHECK(Contains(line, " load=old"));
}

TEST_CASE_METHOD(share_fixture, "without a load report nothing is counted") {
  state.peers.clear();
  Record("wide", Sized(20), 3, 0);
  const std::string line = SubmitRefused("small", 2);
  CHECK(Contains(line, " code=not_run_no_instance cause=request "));
  CHECK(retry_after == state.options.min_retry_after);
  CHECK(!state.shares.queues.contains("small"));
}

TEST_CASE_METHOD(share_fixture, "an entry without history needs no headroom") {
  state.shares = {};
  SetLoad(kNear, "near", {.ends_per_second = 100});
  CHECK(Plan("small", 18).refusal == result_code::kOk);
  CHECK(Plan("small", 19).cause == refusal_cause::kLoad);
}

// Guards against room that is expected in a data centre that is cut off.
TEST_CASE_METHOD(share_fixture, "silent peers count as no capacity") {
  Record("small", Sized(2), 10, 9);
  Record("wide", Sized(20), 3, 1);
  load_report busy{.ends_per_second = 100};
  busy.queued_within.fill(5);
  SetLoad(kNear, "near", busy);
  SetLoad(kFar, "far", {.free_tasks = 60, .ends_per_second = 100});
  CHECK(Plan("small", 2).refusal == result_code::kOk);
  state.peers.at(kFar).silent = true;
  CHECK(Plan("small", 2).cause == refusal_cause::kShare);
}

TEST_CASE_METHOD(share_fixture, "a new configuration drops removed queues") {
  SetLoad(kNear, "near", {.ends_per_second = 100});
  Record("small", Sized(10), 10, 9);
  Record("wide", Sized(20), 3, 1);
  CHECK(Plan("small", 10).cause == refusal_cause::kShare);
  Configure(2, {MakeQueue("small", 1)});
  CHECK(state.shares.queues.size() == 1);
  CHECK(Plan("small", 10).refusal == result_code::kOk);
}

TEST_CASE_METHOD(share_fixture, "a changed priority applies to the next job") {
  SetLoad(kNear, "near", {.ends_per_second = 100});
  Record("small", Sized(10), 10, 8);
  Record("wide", Sized(10), 10, 5);
  CHECK(Plan("small", 10).cause == refusal_cause::kShare);
  Configure(2, {MakeQueue("small", 0), MakeQueue("wide", 1)});
  CHECK(Plan("small", 10).refusal == result_code::kOk);
}

// Guards against refused callers that all come back at once.
TEST_CASE_METHOD(share_fixture, "refused callers return in order, spread") {
  SetLoad(kNear, "near", {.ends_per_second = 10});
  // 2,000 core-milliseconds granted within about 2 s.
  Record("small", Sized(2), 5, 5);
  std::vector<instant> returns;
  for (int count = 0; count < 200; ++count) {
    REQUIRE(Contains(SubmitRefused("small", 10), " cause=load "));
    CHECK(retry_after >= state.options.min_retry_after);
    CHECK(retry_after <= state.options.max_retry_after);
    returns.push_back(now + retry_after);
    now += 10ms;
  }
  CHECK(std::is_sorted(returns.begin(), returns.end()));
  // Each job needs 2 s of the capacity.
  CHECK(returns[3] - returns[2] > 1'500ms);
}

// Guards against fairness that is computed from grants that came to nothing.
TEST_CASE_METHOD(share_fixture,
                 "a job refused by its controller has no grant") {
  SetLoad(kNear, "near", {.free_tasks = 20, .ends_per_second = 100});
  SubmitJob(state, Arrival("wide", 20), now);
  const band_demand& demand = state.shares.queues.at("wide").bands.at(
      static_cast<size_t>(size_band::kRest));
  CHECK(demand.granted == Approx(4'000));
  now += 100ms;
  OnPartResult(
      state, kNear,
      {.ref = {.job = state.last_job}, .code = result_code::kNotRunOverloaded},
      now);
  CHECK(demand.granted == Approx(0).margin(1e-6));
  CHECK(demand.asked > 3'500);
}

// Guards against a job that counts again at each check while it is held.
TEST_CASE_METHOD(share_fixture, "a held job counts once") {
  state.started = now;
  SetLoad(kNear, "near", {.ends_per_second = 10});
  SubmitJob(state, Arrival("wide", 20), now);
  REQUIRE(state.held_jobs.size() == 1);
  RetryHeldJobs(state, now);
  RetryHeldJobs(state, now);
  CHECK(state.shares.queues.empty());
  now += 3s;
  RetryHeldJobs(state, now);
  CHECK(state.held_jobs.empty());
  CHECK(state.shares.queues.at("wide").bands.back().asked == Approx(4'000));
}

TEST_CASE("bounds of the bands follow the sizes of a queue") {
  constexpr int kSizes = 4'000;
  share_table table;
  std::mt19937_64 random(7);
  std::normal_distribution<double> normal;
  std::array<double, kSizeBands> share{};
  for (int count = 0; count < 2 * kSizes; ++count) {
    // The load doubles its sizes half way.
    const double scale = count < kSizes ? 1 : 2;
    const double core_ms = scale * 800 * std::exp(0.8 * normal(random));
    const size_band band = FindBand(table, "q", core_ms);
    if (count >= kSizes + kSizes / 2) {
      share.at(static_cast<size_t>(band)) += 2.0 / kSizes;
    }
    RecordAsked(table, "q", {.band = band, .core_ms = core_ms}, true,
                instant{1s});
  }
  // A margin keeps jobs at the bounds in the lower band.
  CHECK(share[0] == Approx(0.1).margin(0.03));
  CHECK(share[1] == Approx(0.2).margin(0.05));
}

// Guards against bands that are an accident of the estimate.
TEST_CASE("jobs of equal size are in one band") {
  share_table table;
  for (int count = 0; count < 1'000; ++count) {
    CHECK(FindBand(table, "q", 800) == size_band::kRest);
    RecordAsked(table, "q", {.core_ms = 800}, true, instant{1s});
  }
}

TEST_CASE("the snapshot of the shares decays") {
  share_table table;
  RecordAsked(table, "q", Sized(10), true, instant{1s});
  RecordAsked(table, "q", Sized(10, size_band::kLargest), false, instant{1s});
  const auto rows = SnapshotOf(table, instant{3s});
  REQUIRE(rows.size() == 2);
  CHECK(std::string(DescribeBand(rows[0].band)) == "largest");
  CHECK(rows[0].asked == Approx(2'000 / std::exp(1.0)));
  CHECK(rows[0].granted == 0);
  CHECK(rows[1].granted == Approx(2'000 / std::exp(1.0)));
}

}  // namespace
}  // namespace tarragondrift::fleet
