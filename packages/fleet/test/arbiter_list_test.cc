// Which entries relay claims, and whom an entry asks that is heard again.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/arbiter_list_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kSelf = 1;
constexpr uint64_t kPeer = 2;
constexpr milliseconds kTick{20};

entry_identity IdentityOf(uint64_t incarnation) {
  return {.incarnation = incarnation,
          .name = "entry" + std::to_string(incarnation),
          .address = std::to_string(incarnation),
          .data_centre = "dc",
          .cpu_milli = 500};
}

/// An entry with one peer, whose messages a test plays.
struct arbiter_list_fixture {
  arbiter_list_fixture() {
    state = MakeEngine({}, IdentityOf(kSelf), now);
    SetWitnesses(state, {IdentityOf(kSelf), IdentityOf(kPeer)}, now);
    AddPeer(state, IdentityOf(kPeer), now);
    state.peers_listed = true;
    Advance(100ms);
  }

  /// Runs ticks. What is sent to peers is kept and stays in flight.
  void Advance(milliseconds span) {
    for (const instant end = now + span; now < end; now += kTick) {
      Tick(state, now);
      DispatchAndFlush(state, now);
      for (action& one : TakeActions(state)) {
        if (auto* send = std::get_if<peer_send>(&one)) {
          sent.push_back(std::move(send->content));
        }
      }
    }
  }

  /// A heartbeat of the peer arrives.
  void Hear(bool is_candidate = true) {
    OnEnvelope(state,
               {.from = kPeer,
                .to = kSelf,
                .stream = 1,
                .heard_stream = 1,
                .messages = {heartbeat{.from = IdentityOf(kPeer),
                                       .interval = 300ms,
                                       .is_candidate = is_candidate,
                                       .decides_claims = true}}},
               now);
  }

  /// The peer is heard, and then no more.
  void FallSilent() {
    Deliver(delivery::kDelivered);
    Hear();
    Advance(2s);
    REQUIRE(state.peers.at(kPeer).silent);
  }

  void Deliver(delivery outcome) { OnDelivery(state, kPeer, outcome, now); }

  bool IsRelay(uint64_t incarnation) const {
    const auto relays = ListRelays(state, {});
    return std::any_of(relays.begin(), relays.end(),
                       [incarnation](const controller_candidate& one) {
                         return one.incarnation == incarnation;
                       });
  }

  /// Whether the last envelope has a message of one kind.
  template <class Message>
  bool LastHas() const {
    const std::vector<peer_message>& messages = sent.back().messages;
    return std::any_of(messages.begin(), messages.end(),
                       [](const peer_message& one) {
                         return std::holds_alternative<Message>(one);
                       });
  }

  engine state;
  instant now{10s};
  std::vector<envelope> sent;
};

TEST_CASE_METHOD(arbiter_list_fixture,
                 "a new entry heard peers without learning that they decide "
                 "claims") {
  constexpr uint64_t kNew = 3;
  AddPeer(state, IdentityOf(kNew), now);
  OnEnvelope(state,
             {.from = kNew,
              .to = kSelf,
              .stream = 1,
              .messages = {heartbeat{.from = IdentityOf(kNew)}}},
             now);
  sent.clear();
  DispatchAndFlush(state, now);
  Advance(kTick);
  REQUIRE_FALSE(sent.empty());
  CHECK(sent.back().to == kNew);
  CHECK(LastHas<heartbeat>());
}

TEST_CASE_METHOD(arbiter_list_fixture,
                 "an entry decided alone when its peers were about to be "
                 "heard again") {
  FallSilent();
  REQUIRE_FALSE(IsListening(state, now));
  Deliver(delivery::kLost);
  CHECK_FALSE(IsListening(state, now));
  Deliver(delivery::kDelivered);
  CHECK(IsListening(state, now));
  now += state.options.claim_listening;
  // A peer that only acknowledges is not waited for again.
  Deliver(delivery::kLost);
  Deliver(delivery::kDelivered);
  CHECK_FALSE(IsListening(state, now));
}

TEST_CASE_METHOD(arbiter_list_fixture,
                 "an entry that is no candidate by its own account was asked "
                 "to relay") {
  Hear(false);
  state.peers.at(kPeer).candidate = true;
  CHECK_FALSE(IsRelay(kPeer));
  Hear(true);
  CHECK(IsRelay(kPeer));
}

TEST_CASE_METHOD(arbiter_list_fixture,
                 "all entries claimed through the last witness of their data "
                 "centre while the others were being restarted") {
  constexpr uint64_t kOther = 3;
  const auto add = [this](uint64_t incarnation) {
    const entry_identity other = IdentityOf(incarnation);
    state.witnesses.list.witnesses.push_back({.name = other.name,
                                              .data_centre = other.data_centre,
                                              .cpu_milli = other.cpu_milli});
    peer& one = state.peers[incarnation];
    one.identity = other;
    one.silent = false;
    one.contact = true;
    one.announced_candidate = true;
    one.decides_claims = true;
  };
  Hear();
  add(kOther);
  state.peers.at(kOther).leaving = true;
  CHECK(IsRelay(kPeer));
  CHECK(IsRelay(kOther));
  add(kOther + 1);
  CHECK_FALSE(IsRelay(kOther));
}

TEST_CASE_METHOD(arbiter_list_fixture,
                 "claims came late to a witness that was heard again") {
  Deliver(delivery::kDelivered);
  Hear();
  const job_claim claim{.job = "job",
                        .origin = 3,
                        .request = 7,
                        .timeout = 1'500ms,
                        .valid_for = 10s,
                        .running = true};
  state.relayed_claims[{claim.origin, claim.request}] = {
      .inquiry = {.claim = claim, .until = now + 10s, .told = {kPeer}},
      .answered = true,
      .verdict = claim_outcome::kGranted};
  Advance(2s);
  Deliver(delivery::kDelivered);
  REQUIRE(state.peers.at(kPeer).silent);
  // Claims have just been looked through.
  state.next_claim_check = now + 100ms;
  sent.clear();
  Hear();
  Advance(kTick);
  REQUIRE_FALSE(sent.empty());
  CHECK(LastHas<job_claim>());
}

TEST_CASE_METHOD(arbiter_list_fixture,
                 "an entry that was heard again asked witnesses that it had "
                 "not heard yet") {
  FallSilent();
  Deliver(delivery::kDelivered);
  Hear();
  ClaimJob(state, {.request = 7, .spec = {.id = "job"}},
           {.arrived = now, .deadline = now + 1'500ms}, now);
  const std::vector<peer_message>& queued = state.peers.at(kPeer).outbox;
  REQUIRE_FALSE(queued.empty());
  const auto* const claim = std::get_if<job_claim>(&queued.back());
  REQUIRE(claim != nullptr);
  CHECK(claim->relay);
}

}  // namespace
}  // namespace tarragondrift::fleet
