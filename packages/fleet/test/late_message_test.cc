// Messages between entries that are handled long after they were sent.
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "return_fixture.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kSelf = 1;
constexpr uint64_t kOrigin = 2;
/// The worker's clock in each of its replies.
constexpr int64_t kWorkerClock = 1'000;

/// A controller with one worker, in a fleet whose heartbeats are far apart.
struct late_fixture {
  late_fixture() {
    // Of entries with 43 candidates.
    const fleet_options options{.silence_limit = 2'200ms};
    state = MakeEngine(
        options, {.incarnation = kSelf, .name = "self", .cpu_milli = 250}, now);
    ApplyConfig(state, MakeConfig(), "");
    UpdateWorkerListing(state, MakeWorker("w", ""), now);
    Advance(1'500ms);
    Receive(now, {heartbeat{.from = identity}});
  }

  void Advance(milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      Tick(state, now);
      DispatchAndFlush(state, now);
      for (const action& one : TakeActions(state)) {
        if (const auto* poll = std::get_if<poll_order>(&one)) {
          polled = *poll;
        } else if (const auto* start = std::get_if<start_order>(&one)) {
          starts.push_back(*start);
          OnStartReply(state, "w", start->name, start_outcome::kAccepted,
                       kWorkerClock, now);
        } else if (const auto* send = std::get_if<peer_send>(&one)) {
          sends.push_back(send->content);
          OnDelivery(state, send->content.to, delivery::kDelivered, now);
        }
      }
      if (polled) {
        const poll_order poll = *std::exchange(polled, std::nullopt);
        last_lease = poll.lease_until_ms;
        poll_reply reply{.outcome = poll_outcome::kAnswered};
        for (const start_order& start : starts) {
          reply.running.push_back({.name = start.name});
        }
        OnPollReply(state, "w", poll.number, reply, kWorkerClock, now);
      }
    }
  }

  /// Handles an envelope of the origin that was sent at `sent`.
  void Receive(instant sent, std::vector<peer_message> messages,
               uint64_t stream = 1) {
    OnEnvelope(state,
               {.from = kOrigin,
                .to = kSelf,
                .stream = stream,
                .heard_stream = state.peers.contains(kOrigin)
                                    ? state.peers.at(kOrigin).stream_out
                                    : 0,
                .sent = sent + kClockOffset,
                .echo = envelope_echo{.sent = sent - 300ms, .age = 300ms},
                .messages = std::move(messages)},
               now);
  }

  static part_offer MakeOffer() {
    return {.ref = {.job = 7},
            .queue = "q",
            .upstream = "plata",
            .job = MakeJob("job", 1, 900ms),
            .count = 1,
            .objective_left = 2s,
            .deadline_left = 4s};
  }

  /// The origin's clock against this entry's.
  static constexpr std::chrono::hours kClockOffset{3};

  entry_identity identity{
      .incarnation = kOrigin, .name = "origin", .address = "10.0.0.2:1"};
  engine state;
  instant now{100s};
  std::vector<start_order> starts;
  std::vector<envelope> sends;
  std::optional<poll_order> polled;
  std::optional<int64_t> last_lease;
};

TEST_CASE_METHOD(
    late_fixture,
    "an offer was accepted after its job had been submitted again") {
  const instant sent = now;
  Advance(2s);
  Receive(sent, {MakeOffer()});
  sends.clear();
  Advance(200ms);
  CHECK(starts.empty());
  CHECK(state.counts.offers_too_old == 1);
  REQUIRE_FALSE(sends.empty());
  const auto* const result =
      std::get_if<part_result>(&sends.front().messages.back());
  REQUIRE(result != nullptr);
  CHECK(result->code == result_code::kRefusedForNow);
  CHECK_FALSE(result->started);
}

TEST_CASE_METHOD(late_fixture, "an offer that was just sent is accepted") {
  Receive(now - 5ms, {MakeOffer()});
  Advance(40ms);
  CHECK(starts.size() == 1);
}

TEST_CASE_METHOD(late_fixture,
                 "a message that was handled late renewed the leases of an "
                 "origin that was gone") {
  const instant last_sent = now;
  Receive(now, {MakeOffer()});
  Advance(20ms);
  REQUIRE(starts.size() == 1);
  Advance(500ms);
  // Sent before the origin's death and held up since.
  Receive(last_sent, {heartbeat{.from = identity}});
  while (now < last_sent + state.options.orphan_limit) {
    Advance(20ms);
    if (last_lease) {
      const instant lease_end = now + milliseconds(*last_lease - kWorkerClock);
      CHECK(lease_end <= last_sent + state.options.orphan_limit);
    }
  }
}

TEST_CASE_METHOD(late_fixture,
                 "an offer of an earlier stream that arrived after its "
                 "cancellation was started") {
  const instant offered = now;
  Advance(100ms);
  // The origin took the offer's envelope for lost and ended the job.
  Receive(now, {heartbeat{.from = identity}, part_cancel{.ref = {.job = 7}}},
          2);
  Advance(500ms);
  Receive(now, {heartbeat{.from = identity}}, 2);
  Advance(60ms);
  Receive(offered, {MakeOffer()});
  Advance(40ms);
  CHECK(starts.empty());
}

TEST_CASE_METHOD(late_fixture,
                 "a late envelope of an earlier stream cancelled the parts of "
                 "the later one") {
  const instant early = now;
  Advance(100ms);
  Receive(now, {heartbeat{.from = identity}}, 2);
  Receive(now, {MakeOffer()}, 2);
  Advance(40ms);
  REQUIRE(state.parts.size() == 1);
  Receive(early, {heartbeat{.from = identity}});
  CHECK(state.parts.size() == 1);
}

TEST_CASE_METHOD(
    late_fixture,
    "the envelope that was the shortest time on its way is echoed") {
  const auto last_echo = [this] {
    sends.clear();
    Advance(300ms);
    return sends.back().echo;
  };
  const instant quick = now;
  Receive(quick, {heartbeat{.from = identity}});
  Advance(400ms);
  Receive(now - 200ms, {heartbeat{.from = identity}});
  const auto echo = last_echo();
  REQUIRE(echo);
  CHECK(echo->sent == quick + kClockOffset);
  CHECK(echo->age >= 400ms);
  // Clocks drift: an echo is not kept for long.
  Advance(state.options.echo_retention);
  Receive(now - 200ms, {heartbeat{.from = identity}});
  CHECK(last_echo()->sent > quick + kClockOffset);
}

}  // namespace
}  // namespace tarragondrift::fleet
