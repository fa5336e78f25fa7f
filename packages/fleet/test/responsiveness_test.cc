// Offers to peers while a link or a process is failing, in the load of a data
// centre that has just been cut off.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kNear = 2;
constexpr uint64_t kFar = 3;

/// An origin without workers and two controllers, of which the far one has more
/// free capacity.
struct origin_fixture {
  origin_fixture() {
    state = MakeEngine({}, {.incarnation = 1, .name = "self"}, now);
    SetWitnesses(state, {state.self}, now);
    ApplyConfig(state,
                std::make_shared<const fleet_config>(
                    fleet_config{.version = 1,
                                 .queues = {{.name = "q",
                                             .host = "h",
                                             .path_prefix = "/q/",
                                             .upstream = "plata",
                                             .stretch = 1.6,
                                             .objective = 100ms}}}),
                "");
    state.peers_listed = true;
    for (const uint64_t peer : {kNear, kFar}) {
      AddPeer(state,
              {.incarnation = peer,
               .name = "peer" + std::to_string(peer),
               .address = "10.0.0." + std::to_string(peer) + ":1"},
              now);
    }
    Advance(1s);
  }

  /// Runs ticks; peers that are up acknowledge envelopes and answer heartbeats.
  void Advance(std::chrono::milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      Tick(state, now);
      DispatchAndFlush(state, now);
      for (const action& one : TakeActions(state)) {
        if (const auto* send = std::get_if<peer_send>(&one)) {
          Deliver(send->content);
        } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
          answers.push_back(*answer);
        }
      }
    }
  }

  void Deliver(const envelope& sent) {
    if (sent.to == kFar && !far_up) {
      return;
    }
    OnDelivery(state, sent.to, delivery::kDelivered, now);
    for (const peer_message& message : sent.messages) {
      if (const auto* offer = std::get_if<part_offer>(&message)) {
        (sent.to == kFar ? far_offers : near_offers) += offer->count;
      }
    }
    Answer(sent.to, sent.stream);
  }

  void Answer(uint64_t from, uint64_t stream) {
    OnEnvelope(state,
               {.from = from,
                .to = 1,
                .stream = 1,
                .heard_stream = stream,
                .load = {{"plata",
                          {.free_tasks = from == kFar ? 1'000U : near_free,
                           .workers = 1}}},
                .messages = {heartbeat{.from = state.peers.at(from).identity,
                                       .config_version = 1,
                                       .interval = 250ms,
                                       .is_candidate = true}}},
               now);
  }

  void Submit(uint64_t request) {
    SubmitJob(state,
              {.request = request,
               .queue = "q",
               .spec = {.id = "job" + std::to_string(request),
                        .steps = {{.count = 1,
                                   .need = {.cpu_milli = 8'000},
                                   .estimate = 200ms}}},
               .caller_timeout = 4s},
              now);
  }

  engine state;
  instant now{10s};
  bool far_up = true;
  uint32_t near_free = 0;
  uint32_t near_offers = 0;
  uint32_t far_offers = 0;
  std::vector<caller_answer> answers;
};

// Guards against the loss of all jobs that are offered to the other data
// centres in the 900 ms until a controller there counts as silent.
TEST_CASE_METHOD(origin_fixture,
                 "a peer that does not acknowledge gets no more offers") {
  Submit(1);
  Advance(20ms);
  REQUIRE(far_offers == 1);
  far_up = false;
  near_free = 100;
  Advance(440ms);
  REQUIRE_FALSE(state.peers.at(kFar).silent);
  const uint32_t before = near_offers;
  for (uint64_t request = 10; request < 20; ++request) {
    Submit(request);
    Advance(20ms);
  }
  CHECK(near_offers - before == 10);
  CHECK(std::none_of(state.peers.at(kFar).outbox.begin(),
                     state.peers.at(kFar).outbox.end(),
                     [](const peer_message& message) {
                       return std::holds_alternative<part_offer>(message);
                     }));
}

TEST_CASE_METHOD(origin_fixture,
                 "offers that were not sent yet go to another controller") {
  far_up = false;
  // A heartbeat in flight holds back the offers behind it.
  while (!state.peers.at(kFar).in_flight) {
    Advance(20ms);
  }
  Submit(7);
  DispatchAndFlush(state, now);
  REQUIRE(near_offers == 0);
  near_free = 100;
  Answer(kNear, state.peers.at(kNear).stream_out);
  Advance(300ms);
  CHECK(near_offers == 1);
  CHECK(state.counts.offers_withdrawn == 1);
  CHECK(answers.empty());
}

// Guards against a caller that waits for a controller which never got its job,
// or is told that the job may have run.
TEST_CASE_METHOD(
    origin_fixture,
    "a withdrawn offer that nobody can take is refused as not run") {
  far_up = false;
  while (!state.peers.at(kFar).in_flight) {
    Advance(20ms);
  }
  Submit(7);
  Advance(300ms);
  REQUIRE(answers.size() == 1);
  CHECK(PromisesNotRun(answers[0].code));
  CHECK(answers[0].retry_after >= 1s);
}

TEST_CASE_METHOD(origin_fixture,
                 "a peer that acknowledges again is offered work again") {
  far_up = false;
  Advance(400ms);
  far_up = true;
  OnDelivery(state, kFar, delivery::kDelivered, now);
  Answer(kFar, state.peers.at(kFar).stream_out);
  Submit(7);
  Advance(40ms);
  CHECK(far_offers == 1);
}

}  // namespace
}  // namespace tarragondrift::fleet
