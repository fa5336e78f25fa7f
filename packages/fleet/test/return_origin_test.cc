// Returned tasks at the origin of their job: where they are offered, and what
// happens when the controller or the link to it fails, or a message is wrong.
#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "return_fixture.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/return_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kSelf = 1;

/// An origin without workers, the controller of its job of four tasks and,
/// unless it has no free capacity, another one.
struct origin_fixture {
  origin_fixture() {
    state = MakeEngine({}, {.incarnation = kSelf, .name = "self"}, now);
    SetWitnesses(state, {state.self}, now);
    ApplyConfig(state, MakeConfig(), "");
    state.peers_listed = true;
    for (uint64_t peer = kFirst; peer <= kLast; ++peer) {
      AddPeer(state,
              {.incarnation = peer,
               .name = "peer" + std::to_string(peer),
               .address = "10.0.0." + std::to_string(peer) + ":1"},
              now);
      free[peer] = 0;
    }
    free[kFirst] = 100;
    Advance(2'500ms);
    SubmitJob(state,
              {.request = 9,
               .queue = "q",
               .spec = MakeJob("job", 4, 200ms),
               .caller_timeout = 4s},
              now);
    Flush();
    REQUIRE(offers.size() == 1);
    REQUIRE(offered_to[0] == kFirst);
    REQUIRE(offers[0].accepts_returns);
    free[kFirst] = 0;
    HearAll();
  }

  void Advance(std::chrono::milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      HearAll();
      Tick(state, now);
      Flush();
    }
  }

  void Flush() {
    DispatchAndFlush(state, now);
    for (const action& one : TakeActions(state)) {
      if (const auto* send = std::get_if<peer_send>(&one)) {
        for (const peer_message& message : send->content.messages) {
          if (const auto* offer = std::get_if<part_offer>(&message)) {
            offers.push_back(*offer);
            offered_to.push_back(send->content.to);
          } else if (std::holds_alternative<part_cancel>(message)) {
            cancelled_at.push_back(send->content.to);
          }
        }
        OnDelivery(state, send->content.to, delivery::kDelivered, now);
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        answers.push_back(*answer);
      }
    }
  }

  void HearAll() {
    for (const auto& [peer, tasks] : free) {
      if (!down.contains(peer)) {
        Hear(peer);
      }
    }
  }

  void Hear(uint64_t from, std::vector<peer_message> messages = {},
            uint64_t stream = 1) {
    messages.insert(messages.begin(),
                    heartbeat{.from = state.peers.at(from).identity,
                              .config_version = 1,
                              .interval = 250ms,
                              .is_candidate = true});
    OnEnvelope(
        state,
        {.from = from,
         .to = kSelf,
         .stream = stream,
         .heard_stream = state.peers.at(from).stream_out,
         .load = {{"plata", {.free_tasks = free.at(from), .workers = 1}}},
         .messages = std::move(messages)},
        now);
    Flush();
  }

  void Return(uint64_t from, uint32_t part, uint32_t first, uint32_t count) {
    Hear(from, {part_return{.ref = {.job = offers[0].ref.job, .part = part},
                            .first = first,
                            .count = count}});
  }

  void Report(uint64_t from, uint32_t part, result_code code,
              bool started = true) {
    Hear(from, {part_result{.ref = {.job = offers[0].ref.job, .part = part},
                            .code = code,
                            .started = started}});
  }

  static constexpr uint64_t kFirst = 2;
  static constexpr uint64_t kSecond = 3;
  static constexpr uint64_t kThird = 4;
  static constexpr uint64_t kLast = 5;
  engine state;
  instant now{10s};
  std::map<uint64_t, uint32_t> free;
  std::set<uint64_t> down;
  std::vector<part_offer> offers;
  std::vector<uint64_t> offered_to;
  std::vector<uint64_t> cancelled_at;
  std::vector<caller_answer> answers;
};

TEST_CASE_METHOD(origin_fixture, "a returned range is offered to another") {
  free[kSecond] = 100;
  HearAll();
  Return(kFirst, 0, 2, 2);
  REQUIRE(offers.size() == 2);
  CHECK(offered_to[1] == kSecond);
  CHECK(offers[1].ref.part == 1);
  CHECK(offers[1].first == 2);
  CHECK(offers[1].count == 2);
  CHECK(state.counts.tasks_moved == 2);
  Report(kFirst, 0, result_code::kOk);
  CHECK(answers.empty());
  Report(kSecond, 1, result_code::kOk);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kOk);
}

// Guards against a task that is offered to another controller while the first
// one still has it, and against reads beyond the parts of the job.
TEST_CASE_METHOD(origin_fixture, "a return that does not match is ignored") {
  free[kSecond] = 100;
  HearAll();
  SECTION("more tasks than the part has") { Return(kFirst, 0, 0, 5); }
  SECTION("all tasks of the part") { Return(kFirst, 0, 0, 4); }
  SECTION("no tasks") { Return(kFirst, 0, 4, 0); }
  SECTION("the greatest count") {
    Return(kFirst, 0, 4, std::numeric_limits<uint32_t>::max());
  }
  SECTION("not the last tasks") { Return(kFirst, 0, 1, 2); }
  SECTION("an unknown part") { Return(kFirst, 7, 2, 2); }
  SECTION("of another controller") { Return(kSecond, 0, 2, 2); }
  SECTION("an unknown job") {
    Hear(kFirst, {part_return{.ref = {.job = 77}, .first = 2, .count = 2}});
  }
  CHECK(offers.size() == 1);
  CHECK(state.counts.returns_ignored == 1);
  Report(kFirst, 0, result_code::kOk);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kOk);
}

TEST_CASE_METHOD(origin_fixture, "a repeated return is ignored") {
  free[kSecond] = 100;
  HearAll();
  Return(kFirst, 0, 3, 1);
  Return(kFirst, 0, 3, 1);
  CHECK(offers.size() == 2);
  CHECK(state.counts.returns_ignored == 1);
  // A further return, as opposed to a repeated one.
  Return(kFirst, 0, 2, 1);
  REQUIRE(offers.size() == 3);
  CHECK(offers[2].first == 2);
}

TEST_CASE_METHOD(origin_fixture,
                 "a return after the part has ended is ignored") {
  free[kSecond] = 100;
  HearAll();
  SECTION("the caller has left") { CallerLeft(state, 9, now); }
  SECTION("the part was refused and offered elsewhere") {
    Report(kFirst, 0, result_code::kNotRunNoInstance, false);
    REQUIRE(offers.size() == 2);
  }
  const size_t before = offers.size();
  Return(kFirst, 0, 2, 2);
  CHECK(offers.size() == before);
  CHECK(state.counts.returns_ignored == 1);
}

// Guards against tasks that are passed back and forth between two controllers,
// and against a controller that returns tasks to an origin without offers left.
TEST_CASE_METHOD(origin_fixture,
                 "tasks are not offered to a controller that returned them") {
  free[kSecond] = 100;
  HearAll();
  Return(kFirst, 0, 1, 3);
  REQUIRE(offered_to.back() == kSecond);
  CHECK(offers.back().accepts_returns);
  free = {{kFirst, 100}, {kSecond, 0}, {kThird, 1}, {kLast, 0}};
  HearAll();
  Return(kSecond, 1, 2, 2);
  REQUIRE(offers.size() == 3);
  CHECK(offered_to.back() == kThird);
  CHECK_FALSE(offers.back().accepts_returns);
  free[kLast] = 100;
  HearAll();
  Return(kThird, 2, 3, 1);
  CHECK(offers.size() == 3);
}

// Guards against a job that is failed for the age of a load report: the
// controller that returned the tasks has seen a newer one with room for them.
TEST_CASE_METHOD(origin_fixture,
                 "a returned range is offered even if no report has room") {
  Return(kFirst, 0, 2, 2);
  REQUIRE(offers.size() == 2);
  const uint64_t second = offered_to[1];
  CHECK(second != kFirst);
  Report(second, 1, result_code::kNotRunOverloaded, false);
  REQUIRE(offers.size() == 3);
  CHECK(offered_to[2] != kFirst);
  CHECK(offered_to[2] != second);
  CHECK(offers[2].first == 2);
}

// Guards against "not run" said of a job with a run, and against a caller that
// gets no answer.
TEST_CASE_METHOD(origin_fixture,
                 "a returned range that nobody can take fails the job") {
  for (const uint64_t peer : {kSecond, kThird, kLast}) {
    state.peers.at(peer).silent = true;
  }
  down = {kSecond, kThird, kLast};
  Return(kFirst, 0, 2, 2);
  CHECK(offers.size() == 1);
  REQUIRE(cancelled_at == std::vector<uint64_t>{kFirst});
  CHECK(answers.empty());
  SECTION("no other task was started") {
    Report(kFirst, 0, result_code::kCancelledAfterStart, false);
    REQUIRE(answers.size() == 1);
    CHECK(PromisesNotRun(answers[0].code));
    CHECK(answers[0].retry_after >= 1s);
  }
  SECTION("another task was started") {
    Report(kFirst, 0, result_code::kCancelledAfterStart, true);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].code == result_code::kStoppedAfterStart);
  }
  SECTION("the controller does not report") {
    Advance(140ms);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].code == result_code::kOutcomeUnknown);
  }
}

TEST_CASE_METHOD(origin_fixture,
                 "a controller that fails after a return fails the job") {
  free[kSecond] = 100;
  HearAll();
  Return(kFirst, 0, 2, 2);
  REQUIRE(offers.size() == 2);
  SECTION("it becomes silent") {
    down = {kFirst};
    Advance(1'000ms);
  }
  SECTION("its stream is reset") { Hear(kFirst, {}, 2); }
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kOutcomeUnknown);
  Advance(40ms);
  CHECK(std::count(cancelled_at.begin(), cancelled_at.end(), kSecond) > 0);
}

TEST_CASE_METHOD(origin_fixture,
                 "a controller that fails before a return fails the job") {
  free[kSecond] = 100;
  HearAll();
  // The return was lost with the old stream; a late copy of it is ignored.
  Hear(kFirst, {}, 2);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kOutcomeUnknown);
  Return(kFirst, 0, 2, 2);
  CHECK(offers.size() == 1);
}

}  // namespace
}  // namespace tarragondrift::fleet
