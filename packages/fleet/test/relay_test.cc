// Claims of entries that do not hear all witnesses.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "return_fixture.h"
#include "tarragondrift/fleet/arbiter_list_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kSelf = 1;
constexpr uint64_t kOrigin = 2;
/// A candidate of this entry's data centre, and one of another.
constexpr uint64_t kNear = 3;
constexpr uint64_t kFar = 4;
constexpr uint64_t kRequest = 7;
constexpr milliseconds kTimeout{1'500};

/// An entry, and three peers whose messages a test plays. All but the origin
/// are witnesses.
struct relay_fixture {
  relay_fixture() {
    state = MakeEngine({}, IdentityOf(kSelf), now);
    SetWitnesses(state,
                 {IdentityOf(kSelf), IdentityOf(kNear), IdentityOf(kFar)}, now);
    ApplyConfig(state, MakeConfig(), "");
    for (const uint64_t peer : {kOrigin, kNear, kFar}) {
      AddPeer(state, IdentityOf(peer), now);
    }
    state.peers_listed = true;
    now += 100ms;
    Tick(state, now);
    for (const uint64_t peer : {kOrigin, kNear, kFar}) {
      OnEnvelope(state,
                 {.from = peer,
                  .to = kSelf,
                  .stream = 1,
                  .heard_stream = 1,
                  .messages = {heartbeat{.from = IdentityOf(peer),
                                         .interval = 300ms,
                                         .is_candidate = peer != kOrigin,
                                         .decides_claims = true}}},
                 now);
      state.peers.at(peer).candidate = peer != kOrigin;
    }
    Sent(kFar);
  }

  static entry_identity IdentityOf(uint64_t incarnation) {
    return {.incarnation = incarnation,
            .name = "entry" + std::to_string(incarnation),
            .address = std::to_string(incarnation),
            .data_centre = incarnation == kFar ? "far" : "near",
            .cpu_milli = 500};
  }

  /// Returns an id whose witnesses are an entry of this data centre and kFar.
  std::string JobOf(uint64_t near) const {
    for (int number = 0;; ++number) {
      std::string job = "job" + std::to_string(number);
      const std::vector<std::string> names =
          ChooseWitnesses(state.witnesses.list.witnesses, job);
      if (std::find(names.begin(), names.end(), IdentityOf(near).name) !=
          names.end()) {
        return job;
      }
    }
  }

  /// Returns and clears what is queued to a peer.
  std::vector<peer_message> Sent(uint64_t peer) {
    return std::exchange(state.peers.at(peer).outbox, {});
  }

  /// Returns the last queued message of one kind to a peer.
  template <class Message>
  std::optional<Message> LastSent(uint64_t peer) {
    std::optional<Message> found;
    for (const peer_message& message : Sent(peer)) {
      if (const auto* one = std::get_if<Message>(&message)) {
        found = *one;
      }
    }
    return found;
  }

  /// The origin has this entry claim a job.
  void Claim(const std::string& job) {
    OnJobClaim(state, kOrigin,
               {.job = job,
                .request = kRequest,
                .timeout = kTimeout,
                .valid_for = 2'700ms,
                .relay = true},
               now);
  }

  void Decide(uint64_t from, const std::string& job, claim_outcome outcome) {
    OnClaimVerdict(state, from,
                   {.job = job, .attempt = kAttempt, .outcome = outcome}, now);
  }

  void Grant(const std::string& job) {
    Decide(kNear, job, claim_outcome::kGranted);
    Decide(kFar, job, claim_outcome::kGranted);
  }

  /// Returns the row that was requested, and clears what is to be carried out.
  std::optional<claim_row_write> RequestedRow() {
    std::optional<claim_row_write> found;
    for (const action& one : TakeActions(state)) {
      if (const auto* row = std::get_if<claim_row_write>(&one)) {
        found = *row;
      }
    }
    return found;
  }

  void Wait(milliseconds span) {
    for (const instant end = now + span; now < end;) {
      now += 20ms;
      TickClaims(state, now);
    }
  }

  static constexpr job_attempt kAttempt{.origin = kOrigin, .request = kRequest};
  engine state;
  instant now{10s};
};

TEST_CASE_METHOD(relay_fixture,
                 "submissions at two data centres had different arbiters") {
  const std::string job = JobOf(kNear);
  Claim(job);
  for (const uint64_t witness : {kNear, kFar}) {
    const auto asked = LastSent<job_claim>(witness);
    REQUIRE(asked);
    CHECK(AttemptOf(*asked) == kAttempt);
    CHECK_FALSE(asked->relay);
    CHECK_FALSE(LastSent<claim_verdict>(kOrigin));
    Decide(witness, job, claim_outcome::kGranted);
  }
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->attempt == kAttempt);
  CHECK(verdict->outcome == claim_outcome::kGranted);
}

TEST_CASE_METHOD(
    relay_fixture,
    "a restarted witness abstained for claims that were made after "
    "its start") {
  const auto told = [this] {
    return ClaimsEndIn(state, state.peers.at(kFar), now);
  };
  Claim(JobOf(kNear));
  CHECK(told() == 0ms);
  Grant(JobOf(kNear));
  CHECK(told() == 0ms);
  // The claim may have been granted by the process before this one.
  state.peers.at(kFar).met = now;
  CHECK(told() == 2'700ms);
}

TEST_CASE_METHOD(relay_fixture,
                 "a restarted witness abstained for claims that were never "
                 "granted") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Decide(kNear, job, claim_outcome::kAbstained);
  Decide(kFar, job, claim_outcome::kAbstained);
  state.peers.at(kFar).met = now;
  CHECK(ClaimsEndIn(state, state.peers.at(kFar), now) == 0ms);
}

/// Another process of a peer.
entry_identity Restarted(uint64_t peer) {
  entry_identity next = relay_fixture::IdentityOf(peer);
  next.incarnation += 10;
  return next;
}

TEST_CASE_METHOD(relay_fixture,
                 "a restarted witness did not know what the other one had "
                 "granted") {
  const std::string job = JobOf(kSelf);
  Wait(state.options.claim_memory);
  OnJobClaim(state, kOrigin,
             {.job = job,
              .request = kRequest,
              .timeout = kTimeout,
              .valid_for = 30'000ms},
             now);
  const entry_identity restarted = Restarted(kFar);
  OnEnvelope(state,
             {.from = restarted.incarnation,
              .to = kSelf,
              .stream = 1,
              .messages = {heartbeat{.from = restarted,
                                     .interval = 300ms,
                                     .is_candidate = true,
                                     .decides_claims = true}}},
             now);
  now += 100ms;
  Tick(state, now);
  Wait(200ms);
  const auto told = LastSent<job_claim>(restarted.incarnation);
  REQUIRE(told);
  CHECK(told->job == job);
  CHECK(AttemptOf(*told) == kAttempt);
  CHECK(told->running);
}

TEST_CASE_METHOD(relay_fixture,
                 "a restarted witness waited for the end of claims that it had "
                 "been told") {
  state.witnesses.was_absent = false;
  const auto hear = [this](bool claims_told) {
    OnEnvelope(state,
               {.from = kFar,
                .to = kSelf,
                .stream = 1,
                .heard_stream = 1,
                .claims_told = claims_told,
                .messages = {heartbeat{.from = IdentityOf(kFar),
                                       .interval = 300ms,
                                       .is_candidate = true,
                                       .decides_claims = true,
                                       .claims_end_in = 30'000ms}}},
               now);
  };
  hear(false);
  now = state.started + state.options.claim_memory + 100ms;
  CHECK_FALSE(DecidesClaims(state, now));
  hear(true);
  CHECK(DecidesClaims(state, now));
}

TEST_CASE_METHOD(relay_fixture, "a relayed claim stayed after its job's end") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Grant(job);
  Sent(kFar);
  OnClaimRelease(state, kOrigin,
                 {.job = job, .request = kRequest, .settles_in = 1'200ms}, now);
  const auto release = LastSent<claim_release>(kFar);
  REQUIRE(release);
  CHECK(release->origin == kOrigin);
  CHECK(release->request == kRequest);
  CHECK(release->settles_in == 1'200ms);
  CHECK(state.relayed_claims.empty());
}

TEST_CASE_METHOD(relay_fixture,
                 "a refusal that came late did not reach the origin") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Grant(job);
  Sent(kOrigin);
  Decide(kFar, job, claim_outcome::kRefused);
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kRefused);
}

TEST_CASE_METHOD(relay_fixture,
                 "relayed claims of an origin that was restarted stayed") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Grant(job);
  Sent(kFar);
  entry_identity restarted = IdentityOf(kOrigin);
  restarted.incarnation = kFar + 1;
  AddPeer(state, restarted, now);
  const auto release = LastSent<claim_release>(kFar);
  REQUIRE(release);
  CHECK(release->origin == kOrigin);
  // Its tasks may run until their leases have ended.
  CHECK(release->settles_in == state.options.orphan_limit);
  CHECK(state.relayed_claims.empty());
}

TEST_CASE_METHOD(relay_fixture,
                 "a submission started as none of its witnesses answered") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Sent(kOrigin);
  Wait(state.options.claim_wait + 20ms);
  const auto row = RequestedRow();
  REQUIRE(row);
  OnClaimRow(state, row->job, row->attempt, claim_row_outcome::kHeld, now);
  CHECK_FALSE(LastSent<claim_verdict>(kOrigin));
  Wait(state.options.claim_limit);
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kUnproven);
  Sent(kFar);
  OnClaimRelease(state, kOrigin, {.job = job, .request = kRequest}, now);
  CHECK(LastSent<claim_release>(kFar));
  Wait(20ms);
  CHECK(state.claim_rows.empty());
}

TEST_CASE_METHOD(relay_fixture,
                 "a relay that gave up ended the claim that another relay had "
                 "been granted") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Decide(kNear, job, claim_outcome::kGranted);
  Wait(state.options.claim_limit + 40ms);
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kUnproven);
  CHECK_FALSE(LastSent<claim_release>(kNear));
  CHECK(state.relayed_claims.contains(kAttempt));
}

TEST_CASE_METHOD(relay_fixture,
                 "a grant from before the data centre was cut off counted as "
                 "one of its own witnesses") {
  const std::string job = JobOf(kNear);
  Claim(job);
  claim_inquiry& inquiry = state.relayed_claims.at(kAttempt).inquiry;
  inquiry.claim.local = true;
  inquiry.panels = {{kNear}};
  Decide(kNear, job, claim_outcome::kGranted);
  CHECK_FALSE(LastSent<claim_verdict>(kOrigin));
  // A data centre without witnesses proves nothing.
  inquiry.panels = {{}};
  Wait(20ms);
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kUnproven);
}

TEST_CASE_METHOD(relay_fixture,
                 "a witness that does not answer delayed a first submission") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Decide(kFar, job, claim_outcome::kGranted);
  CHECK_FALSE(RequestedRow());
  Wait(state.options.claim_wait + 20ms);
  const auto row = RequestedRow();
  REQUIRE(row);
  CHECK(row->attempt == kAttempt);
  OnClaimRow(state, row->job, row->attempt, claim_row_outcome::kHeld, now);
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kGranted);
}

TEST_CASE_METHOD(relay_fixture,
                 "a submission started beside the one that has the row") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Decide(kFar, job, claim_outcome::kAbstained);
  const auto row = RequestedRow();
  REQUIRE(row);
  Decide(kNear, job, claim_outcome::kGranted);
  OnClaimRow(state, row->job, row->attempt, claim_row_outcome::kTaken, now);
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kRefused);
}

TEST_CASE_METHOD(relay_fixture,
                 "an entry started a job unclaimed when the only relay of its "
                 "data centre did not answer") {
  // It has just become a candidate.
  state.candidate_since = now;
  const job_spec job = MakeJob("job", 1, 50ms);
  ClaimJob(state, {.request = kRequest, .queue = "q", .spec = job},
           {.arrived = now, .deadline = now + kTimeout}, now);
  REQUIRE(LastSent<job_claim>(kNear));
  now += state.options.relay_wait + 20ms;
  TickClaims(state, now);
  const auto claim = LastSent<job_claim>(kFar);
  REQUIRE(claim);
  CHECK(claim->relay);
}

TEST_CASE_METHOD(relay_fixture,
                 "a grant of another arbiter hid that one waits for an earlier "
                 "submission") {
  const std::string job = JobOf(kNear);
  Claim(job);
  Decide(kFar, job, claim_outcome::kPending);
  Decide(kNear, job, claim_outcome::kGranted);
  Sent(kOrigin);
  Wait(state.options.claim_limit + state.options.claim_round_wait + 40ms);
  const auto verdict = LastSent<claim_verdict>(kOrigin);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kUnproven);
}

TEST_CASE_METHOD(relay_fixture, "a claim that was sent again refused itself") {
  const job_claim claim{.job = JobOf(kSelf),
                        .request = kRequest,
                        .timeout = kTimeout,
                        .valid_for = 2'700ms,
                        .repeated = true};
  OnJobClaim(state, kNear, claim, now);
  OnJobClaim(state, kNear, claim, now);
  for (const peer_message& message : Sent(kNear)) {
    if (const auto* verdict = std::get_if<claim_verdict>(&message)) {
      CHECK(verdict->outcome == claim_outcome::kPending);
    }
  }
  CHECK(state.claim_rounds.size() == 1);
}

TEST_CASE_METHOD(relay_fixture,
                 "a claim that was asked for again was granted before an "
                 "earlier submission had ended") {
  const std::string job = JobOf(kSelf);
  OnJobClaim(
      state, kFar,
      {.job = job, .request = 1, .timeout = 2 * kTimeout, .valid_for = 4'200ms},
      now);
  // Its timeout does not tell that it is repeated, the arbiter's record does.
  const job_claim claim{.job = job,
                        .origin = kOrigin,
                        .request = kRequest,
                        .timeout = kTimeout,
                        .valid_for = 2'700ms};
  OnJobClaim(state, kNear, claim, now);
  OnJobClaim(state, kNear, claim, now);
  auto verdict = LastSent<claim_verdict>(kNear);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kPending);
  // No controller confirms, and the submission stays refused.
  for (int tick = 0; tick < 15; ++tick) {
    now += 20ms;
    TickClaims(state, now);
  }
  OnJobClaim(state, kNear, claim, now);
  verdict = LastSent<claim_verdict>(kNear);
  REQUIRE(verdict);
  CHECK(verdict->outcome == claim_outcome::kRefused);
}

TEST_CASE_METHOD(relay_fixture, "an end of a claim was lost for good") {
  ReleaseClaims(state, {kFar}, {.job = "j", .request = kRequest},
                release_sending::kAtOnce, now);
  DispatchAndFlush(state, now);
  CHECK_FALSE(LastSent<claim_release>(kFar));
  OnDelivery(state, kFar, delivery::kLost, now);
  CHECK(LastSent<claim_release>(kFar));
}

TEST_CASE_METHOD(relay_fixture,
                 "an entry that hears few witnesses asked one of those") {
  state.candidate = false;
  job_plan plan;
  plan.arrived = now;
  plan.deadline = now + kTimeout;
  const std::string job = JobOf(kNear);
  CHECK_FALSE(ClaimJob(state,
                       {.request = kRequest,
                        .queue = "q",
                        .spec = MakeJob(job, 2, 60ms),
                        .caller_timeout = kTimeout},
                       plan, now));
  CHECK_FALSE(LastSent<job_claim>(kFar));
  const auto claim = LastSent<job_claim>(kNear);
  REQUIRE(claim);
  CHECK(claim->relay);
  CHECK(claim->origin == kSelf);
}

}  // namespace
}  // namespace tarragondrift::fleet
