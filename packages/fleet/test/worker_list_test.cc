// Entries next in line for workers while the store does not list them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "tarragondrift/fleet/worker_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kPeer = 2;

worker_listing Listing(const std::string& id, const std::string& data_centre) {
  return {.id = id,
          .address = "10.1.0.1:80",
          .upstream = "plata",
          .data_centre = data_centre,
          .capacity = {.cpu_milli = 16'000},
          .boot_time_ms = 1};
}

/// An entry and a peer of its data centre.
struct list_fixture {
  list_fixture() {
    state = MakeEngine({},
                       {.incarnation = 1,
                        .name = "self",
                        .data_centre = "east",
                        .cpu_milli = 120},
                       now);
    state.peers_listed = true;
    AddPeer(state,
            {.incarnation = kPeer,
             .name = "peer",
             .address = "10.0.0.2:1",
             .data_centre = "east",
             .cpu_milli = 500},
            now);
  }

  /// Receives a heartbeat of the peer and the message, if any.
  void Hear(heartbeat beat, std::vector<peer_message> messages = {}) {
    beat.from = state.peers.at(kPeer).identity;
    beat.interval = 250ms;
    beat.is_candidate = true;
    messages.insert(messages.begin(), beat);
    OnEnvelope(state,
               {.from = kPeer,
                .to = 1,
                .stream = 1,
                .heard_stream = state.peers.at(kPeer).stream_out,
                .messages = std::move(messages)},
               now);
  }

  void Advance(std::chrono::milliseconds span, const heartbeat& beat) {
    for (const instant end = now + span; now < end; now += 20ms) {
      Hear(beat);
      Tick(state, now);
      DispatchAndFlush(state, now);
      for (const action& one : TakeActions(state)) {
        if (const auto* send = std::get_if<peer_send>(&one)) {
          OnDelivery(state, kPeer, delivery::kDelivered, now);
          for (const peer_message& message : send->content.messages) {
            Record(message);
          }
        } else if (const auto* poll = std::get_if<poll_order>(&one)) {
          polled.push_back(poll->target.id);
          OnPollReply(state, poll->target.id, poll->number,
                      {.outcome = poll_outcome::kAnswered}, 1'000, now);
        }
      }
    }
  }

  void Record(const peer_message& message) {
    if (const auto* told = std::get_if<controlled_workers>(&message)) {
      tellings.push_back(*told);
    } else if (const auto* beat = std::get_if<heartbeat>(&message)) {
      asked = asked || beat->requests_workers;
    }
  }

  engine state;
  instant now{10s};
  std::vector<std::string> polled;
  std::vector<controlled_workers> tellings;
  bool asked = false;
};

// Guards against workers that nobody controls: in a data centre that was cut
// off from the store both controllers were stopped, and the entries next in
// line waited 4 s for the list of workers, while 1,200 callers were refused.
TEST_CASE_METHOD(list_fixture,
                 "without the store workers are taken over by a peer's word") {
  state.workers_listed = false;
  Advance(280ms, {.claims = {{.worker = "w", .fence = 9}}});
  CHECK_FALSE(asked);
  Advance(100ms, {.claims = {{.worker = "w", .fence = 9}}});
  CHECK(asked);
  Hear({.claims = {{.worker = "w", .fence = 9}}},
       {controlled_workers{.workers = {Listing("w", "east")}}});
  Advance(1s, {.claims = {{.worker = "w", .fence = 9}}});
  CHECK(polled.empty());
  Advance(1s, {.leaving = true});
  REQUIRE_FALSE(polled.empty());
  CHECK(polled.front() == "w");
  CHECK(state.workers.at("w").phase == control_phase::kHeld);
  CHECK(state.workers.at("w").fence > 9);
}

TEST_CASE_METHOD(list_fixture,
                 "a peer that asks is told of the workers of its data centre") {
  state.peers.at(kPeer).identity.cpu_milli = 1;
  UpdateWorkerListing(state, Listing("w", "east"), now);
  UpdateWorkerListing(state, Listing("far", "west"), now);
  for (auto& [id, one] : state.workers) {
    one.phase = control_phase::kHeld;
    one.last_heard = now;
  }
  Advance(1'100ms, {.requests_workers = true});
  // At once, and again after a second.
  REQUIRE(tellings.size() == 2);
  REQUIRE(tellings[0].workers.size() == 1);
  CHECK(tellings[0].workers[0].id == "w");
}

TEST_CASE_METHOD(list_fixture, "a list that is there is not overruled") {
  Hear({}, {controlled_workers{.workers = {Listing("w", "east")}}});
  CHECK(state.workers.empty());
}

// Guards against polls without end to workers that left while the store was
// away.
TEST_CASE_METHOD(list_fixture,
                 "workers that the list does not have are given up") {
  state.workers_listed = false;
  Hear({}, {controlled_workers{
               .workers = {Listing("gone", "east"), Listing("w", "east")}}});
  REQUIRE(state.workers.size() == 2);
  state.workers_listed = true;
  UpdateWorkerListing(state, Listing("w", "east"), now);
  UpdateWorkersRequest(state, now);
  CHECK_FALSE(state.workers.at("gone").listed);
  CHECK(state.workers.at("w").listed);
}

TEST_CASE_METHOD(list_fixture, "ticks looked at all listed workers") {
  constexpr int kWorkers = 1'000;
  state.workers_listed = true;
  for (int at = 0; at < kWorkers; ++at) {
    UpdateWorkerListing(state, Listing("w" + std::to_string(at), "east"), now);
  }
  Advance(3s, {});
  const auto held = state.held_workers.size();
  CHECK(held < kWorkers / 2);
  CHECK(state.ticked_workers.size() == held);
}

TEST_CASE_METHOD(list_fixture,
                 "a removed worker that nobody controls was not forgotten") {
  UpdateWorkerListing(state, Listing("far", "west"), now);
  Advance(100ms, {.claims = {{.worker = "far", .fence = 9}}});
  RemoveWorkerListing(state, "far", now);
  Advance(5s, {});
  CHECK_FALSE(state.workers.contains("far"));
  CHECK(state.ticked_workers.empty());
}

TEST_CASE_METHOD(list_fixture,
                 "a lost worker was not looked at until its runs had ended") {
  UpdateWorkerListing(state, Listing("w", "east"), now);
  Advance(3s, {.leaving = true});
  REQUIRE(state.held_workers.size() == 1);
  worker& one = state.workers.at("w");
  one.runs[{.task = {.job = "j"}, .run = 1}] = {};
  // The peer takes it over with a higher fence.
  OnPollReply(state, "w", one.poll_number, {.outcome = poll_outcome::kFenced},
              1'000, now);
  Hear({.claims = {{.worker = "w", .fence = 1'000'000}}});
  REQUIRE(one.phase == control_phase::kNotControlled);
  REQUIRE(now < one.lease_expiry);
  Tick(state, now);
  CHECK(one.runs.size() == 1);
  now = one.lease_expiry;
  Tick(state, now);
  CHECK(one.runs.empty());
}

}  // namespace
}  // namespace tarragondrift::fleet
