// Control of workers: who takes which, and what a cut does to it.
#include <catch2/catch.hpp>
#include <memory>
#include <variant>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kSelf = 1;
constexpr uint64_t kPeer = 2;

/// One entry, its peer and a worker in the peer's data centre.
struct control_fixture {
  control_fixture() {
    state = MakeEngine({},
                       {.incarnation = kSelf,
                        .name = "self",
                        .address = "10.0.0.1:1",
                        .data_centre = "east",
                        .cpu_milli = 250},
                       now);
    ApplyConfig(state,
                std::make_shared<const fleet_config>(
                    fleet_config{.version = 1,
                                 .queues = {{.name = "q",
                                             .host = "h",
                                             .path_prefix = "/q/",
                                             .upstream = "plata",
                                             .attempts = 2,
                                             .stretch = 1.6,
                                             .objective = 100ms,
                                             .timeout = 1'500ms}}}),
                "", now);
    UpdateWorkerListing(state, listing, now);
  }

  /// Runs ticks for a while and counts the holds that were sent.
  void Pass(std::chrono::milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      Tick(state, now);
      DispatchAndFlush(state, now);
      Collect();
    }
  }

  void Collect() {
    for (const action& one : TakeActions(state)) {
      if (const auto* hold = std::get_if<poll_order>(&one)) {
        ++holds;
        last_poll = *hold;
      } else if (const auto* start = std::get_if<start_order>(&one)) {
        starts.push_back(*start);
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        answers.push_back(*answer);
      } else if (const auto* send = std::get_if<peer_send>(&one)) {
        OnDelivery(state, send->content.to, delivery::kDelivered, now);
      }
    }
  }

  /// The peer tells that it is there, and whether it controls the worker.
  void HearPeer(bool claims) {
    heartbeat told{.from = {.incarnation = kPeer,
                            .name = "peer",
                            .address = "10.0.0.2:1",
                            .data_centre = "west",
                            .cpu_milli = 250}};
    if (claims) {
      told.claims.push_back({.worker = "w", .fence = 4'098});
    }
    OnEnvelope(state,
               {.from = kPeer, .to = kSelf, .stream = 1, .messages = {told}},
               now);
  }

  void AnswerPoll(const poll_reply& reply) {
    OnPollReply(state, "w", last_poll.number, reply, 1'000, now);
    Collect();
  }

  engine state;
  instant now{10s};
  worker_listing listing{.id = "w",
                         .address = "10.1.0.1:80",
                         .upstream = "plata",
                         .data_centre = "west",
                         .capacity = {.cpu_milli = 16'000},
                         .boot_time_ms = 1};
  int holds = 0;
  poll_order last_poll;
  std::vector<start_order> starts;
  std::vector<caller_answer> answers;
};

TEST_CASE_METHOD(control_fixture, "a worker that a live entry claims is left") {
  HearPeer(true);
  Pass(500ms);
  HearPeer(true);
  Pass(800ms);
  HearPeer(true);
  Pass(500ms);
  CHECK(holds == 0);
}

TEST_CASE_METHOD(control_fixture, "a silent controller's worker is taken") {
  HearPeer(true);
  Pass(2'500ms);
  REQUIRE(holds > 0);
  // Its fence is above the one that the silent controller used.
  CHECK(last_poll.fence > 4'098);
  CHECK_FALSE(last_poll.lease_until_ms);
}

// After a loss of power all entries start at once; each waited a second for
// others that were there already.
TEST_CASE_METHOD(control_fixture,
                 "an entry that has heard all others takes workers soon") {
  listing.data_centre = "east";
  UpdateWorkerListing(state, listing, now);
  state.peers_listed = true;
  AddPeer(state,
          {.incarnation = kPeer,
           .name = "peer",
           .address = "10.0.0.2:1",
           .data_centre = "west"},
          now);
  Pass(400ms);
  CHECK(holds == 0);
  HearPeer(false);
  Pass(100ms);
  CHECK(holds == 1);
}

TEST_CASE_METHOD(control_fixture,
                 "a worker that does not answer is not fought for") {
  // Behind a cut both the controller and its workers are silent. An attempt
  // that waits for the cut to heal would win over the live controller.
  HearPeer(true);
  Pass(1'500ms);
  REQUIRE(holds == 1);
  AnswerPoll({});
  CHECK(state.workers.at("w").phase == control_phase::kNotControlled);
  // Reached again, it is only probed, and the controller's beats come first.
  Pass(1'200ms);
  REQUIRE(holds == 2);
  CHECK(last_poll.fence == 0);
  AnswerPoll({.outcome = poll_outcome::kFenced});
  Pass(1'000ms);
  for (int beats = 0; beats < 10; ++beats) {
    HearPeer(true);
    Pass(250ms);
  }
  CHECK(holds == 2);
}

TEST_CASE_METHOD(control_fixture,
                 "a worker that is reached again and unclaimed is taken") {
  HearPeer(true);
  Pass(1'500ms);
  AnswerPoll({});
  Pass(1'200ms);
  AnswerPoll({.outcome = poll_outcome::kFenced});
  Pass(1'500ms);
  CHECK(holds == 3);
  CHECK(last_poll.fence > 4'098);
}

TEST_CASE_METHOD(control_fixture, "nothing starts before others' runs ended") {
  Pass(1'500ms);
  REQUIRE(holds == 1);
  SubmitJob(state,
            {.request = 7,
             .queue = "q",
             .spec = {.id = "j",
                      .steps = {{.count = 1,
                                 .need = {.cpu_milli = 1'000},
                                 .estimate = 100ms}}}},
            now);
  AnswerPoll({.outcome = poll_outcome::kAnswered,
              .running = {{.name = {.task = {.job = "old"}, .run = 1}}}});
  Pass(40ms);
  CHECK(starts.empty());
  REQUIRE(answers.size() == 1);
  CHECK(PromisesNotRun(answers[0].code));
  AnswerPoll({.outcome = poll_outcome::kAnswered});
  SubmitJob(state,
            {.request = 8,
             .queue = "q",
             .spec = {.id = "k",
                      .steps = {{.count = 1,
                                 .need = {.cpu_milli = 1'000},
                                 .estimate = 100ms}}}},
            now);
  Pass(40ms);
  CHECK(starts.size() == 1);
}

// A queue's time-out of 1.3 s used to end long jobs whose callers wait 4 s.
TEST_CASE_METHOD(control_fixture,
                 "a job runs for as long as its caller waits") {
  Pass(1'500ms);
  AnswerPoll({.outcome = poll_outcome::kAnswered});
  SubmitJob(state,
            {.request = 9,
             .queue = "q",
             .spec = {.id = "long",
                      .steps = {{.count = 1,
                                 .need = {.cpu_milli = 1'000},
                                 .estimate = 900ms}}},
             .caller_timeout = 4'000ms},
            now);
  Pass(20ms);
  REQUIRE(starts.size() == 1);
  const run_name name = starts[0].name;
  OnStartReply(state, "w", name, start_outcome::kAccepted, 1'000, now);
  for (uint32_t percent = 9; percent <= 90; percent += 9) {
    Pass(200ms);
    AnswerPoll({.outcome = poll_outcome::kAnswered,
                .running = {{.name = name, .percent = percent}}});
  }
  REQUIRE(answers.empty());
  AnswerPoll({.outcome = poll_outcome::kAnswered,
              .ended = {{.number = 1, .name = name}}});
  Pass(20ms);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kOk);
}

// A home was killed and the controller cut off before it noticed: leases given
// meanwhile outlasted the 1.3 s after which the caller sent its job again.
TEST_CASE_METHOD(control_fixture,
                 "a lease ends soon after the last word of the job's home") {
  listing.data_centre = "east";
  UpdateWorkerListing(state, listing, now);
  Pass(1'500ms);
  AnswerPoll({.outcome = poll_outcome::kAnswered});
  OnEnvelope(
      state,
      {.from = kPeer,
       .to = kSelf,
       .stream = 1,
       .heard_stream = 1,
       .messages = {heartbeat{.from = {.incarnation = kPeer,
                                       .name = "peer",
                                       .address = "10.0.0.2:1",
                                       .data_centre = "west"}},
                    part_offer{.ref = {.job = 1},
                               .queue = "q",
                               .upstream = "plata",
                               .attempts = 1,
                               .job = {.id = "j",
                                       .steps = {{.count = 1,
                                                  .need = {.cpu_milli = 1'000},
                                                  .estimate = 900ms}}},
                               .count = 1,
                               .objective_left = 2'000ms,
                               .deadline_left = 4'000ms}}},
      now);
  const instant last_word = now;
  Pass(20ms);
  REQUIRE(starts.size() == 1);
  OnStartReply(state, "w", starts[0].name, start_outcome::kAccepted, 1'000,
               now);
  while (now < last_word + 800ms) {
    Pass(100ms);
    AnswerPoll({.outcome = poll_outcome::kAnswered,
                .running = {{.name = starts[0].name}}});
  }
  // The worker's clock showed 1,000 ms when it answered last.
  REQUIRE(last_poll.lease_until_ms);
  const instant lease_end =
      now + std::chrono::milliseconds(*last_poll.lease_until_ms - 1'000);
  CHECK(lease_end <= last_word + state.options.orphan_limit);
}

// An entry that is stopped used to cut the answers of what still ran at the
// end, and took jobs that were longer than the time that was left.
TEST_CASE_METHOD(control_fixture,
                 "a planned stop answers everything in its time") {
  Pass(1'500ms);
  AnswerPoll({.outcome = poll_outcome::kAnswered});
  const auto submit = [this](uint64_t request, const char* id,
                             std::chrono::milliseconds estimate) {
    SubmitJob(state,
              {.request = request,
               .queue = "q",
               .spec = {.id = id,
                        .steps = {{.count = 1,
                                   .need = {.cpu_milli = 1'000},
                                   .estimate = estimate}}},
               .caller_timeout = 4'000ms},
              now);
    Pass(20ms);
  };
  submit(1, "long", 900ms);
  REQUIRE(starts.size() == 1);
  OnStartReply(state, "w", starts[0].name, start_outcome::kAccepted, 1'000,
               now);
  const instant end = now + 1'000ms;
  BeginLeaving(state, end, now);
  submit(2, "too_long", 900ms);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].request == 2);
  CHECK(answers[0].code == result_code::kNotRunDraining);
  while (now < end + 40ms) {
    Pass(100ms);
    AnswerPoll({.outcome = poll_outcome::kAnswered,
                .running = {{.name = starts[0].name}}});
  }
  REQUIRE(answers.size() == 2);
  CHECK(answers[1].request == 1);
  CHECK(answers[1].code == result_code::kStoppedAfterStart);
}

TEST_CASE_METHOD(control_fixture, "a worker that left the list stays 2 s") {
  Pass(1'500ms);
  AnswerPoll({.outcome = poll_outcome::kAnswered});
  RemoveWorkerListing(state, "w", now);
  Pass(500ms);
  CHECK(state.workers.contains("w"));
  UpdateWorkerListing(state, listing, now);
  AnswerPoll({.outcome = poll_outcome::kAnswered});
  Pass(400ms);
  CHECK(state.workers.at("w").phase == control_phase::kHeld);
  RemoveWorkerListing(state, "w", now);
  Pass(4'000ms);
  CHECK_FALSE(state.workers.contains("w"));
}

}  // namespace
}  // namespace tarragondrift::fleet
