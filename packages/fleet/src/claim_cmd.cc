#include "tarragondrift/fleet/claim_cmd.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "tarragondrift/core/fnv_hash.h"
#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/arbiter_list_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Incarnation of a relayed claim's origin, and its request.
using relay_key = std::pair<uint64_t, uint64_t>;

relay_key KeyOf(const job_attempt& attempt) {
  return {attempt.origin, attempt.request};
}

/// How long tasks of a submission may run: until its deadline, and until the
/// leases of an origin that fails before it have ended.
instant EndOfTasks(const engine& state, instant deadline) {
  return deadline + state.options.orphan_limit;
}

/// Returns the entries that can be asked: the arbiters, or those that relay.
/// @param excluded one that did not answer; 0 for none.
std::vector<controller_candidate> ListAsked(const engine& state, bool by_relay,
                                            uint64_t excluded, instant now) {
  return by_relay ? ListRelays(state, excluded) : ListArbiters(state, now);
}

std::vector<uint64_t> ChooseAsked(const engine& state, const job_claim& claim,
                                  instant now) {
  if (!claim.relay) {
    return ChooseArbiters(state, claim.job, now);
  }
  const uint64_t chosen = ChooseArbiter(ListRelays(state, 0), claim.job, 0);
  return chosen == 0 ? std::vector<uint64_t>{} : std::vector{chosen};
}

/// Returns a digest of a list of entries, to compare the lists of two entries.
uint64_t DigestOf(const std::vector<controller_candidate>& entries) {
  uint64_t digest = kFnvOffset;
  for (const controller_candidate& one : entries) {
    digest = AddToFnv(digest, std::to_string(one.incarnation));
  }
  return digest;
}

bool Contains(const std::vector<uint64_t>& arbiters, uint64_t arbiter) {
  return std::find(arbiters.begin(), arbiters.end(), arbiter) != arbiters.end();
}

job_claim MakeClaim(const claim_inquiry& inquiry, instant now) {
  job_claim claim = inquiry.claim;
  claim.valid_for = std::chrono::ceil<milliseconds>(inquiry.until - now);
  return claim;
}

/// Asks the arbiters of a claim, one after the other.
/// @return kGranted once none is left, kPending while one was asked.
claim_outcome AskArbiters(engine& state, claim_inquiry& inquiry, instant now) {
  while (!inquiry.awaited.empty()) {
    const uint64_t arbiter = inquiry.awaited.front();
    const job_claim claim = MakeClaim(inquiry, now);
    inquiry.asked = now;
    if (!Contains(inquiry.told, arbiter)) {
      inquiry.told.push_back(arbiter);
    }
    if (arbiter != state.self.incarnation) {
      ++inquiry.asks;
      SendTo(state, arbiter, claim);
      return claim_outcome::kPending;
    }
    const claim_outcome outcome = DecideClaim(state, arbiter, claim, now);
    if (outcome != claim_outcome::kGranted) {
      inquiry.pending = outcome == claim_outcome::kPending;
      return outcome;
    }
    inquiry.granted_by.push_back(arbiter);
    inquiry.awaited.erase(inquiry.awaited.begin());
  }
  return claim_outcome::kGranted;
}

/// Handles an arbiter that did not answer in time: the next one is asked. An
/// entry that no arbiter answers serves what it can.
claim_outcome AskNextArbiter(engine& state, claim_inquiry& inquiry,
                             instant now) {
  job_claim& claim = inquiry.claim;
  uint64_t unanswered = 0;
  if (inquiry.awaited.empty()) {
    if (claim.origin == state.self.incarnation) {
      claim.relay = ClaimsByRelay(state, now);
    }
    inquiry.awaited = ChooseAsked(state, claim, now);
    inquiry.list_digest = DigestOf(ListAsked(state, claim.relay, 0, now));
    if (inquiry.awaited.empty() && IsListening(state, now)) {
      inquiry.asked = now;
      return claim_outcome::kPending;
    }
  } else {
    unanswered = inquiry.awaited.front();
    ++state.counts.claims_unanswered;
    LogClaim(state, "claim_unanswered", claim.job,
             {.origin = unanswered, .request = claim.request},
             claim.repeated ? "repeated" : "first", claim.timeout,
             std::chrono::floor<milliseconds>(now - inquiry.asked));
    inquiry.awaited.erase(inquiry.awaited.begin());
  }
  if (inquiry.awaited.empty() && inquiry.granted_by.empty() &&
      inquiry.asks < state.options.max_claim_asks) {
    const uint64_t next = ChooseArbiter(
        ListAsked(state, claim.relay, unanswered, now), claim.job, unanswered);
    if (next != 0) {
      inquiry.awaited.push_back(next);
    }
  }
  const bool unproven = inquiry.awaited.empty() && inquiry.granted_by.empty();
  if (inquiry.pending || (claim.repeated && unproven)) {
    return claim_outcome::kRefused;
  }
  return AskArbiters(state, inquiry, now);
}

/// Takes the verdict of an arbiter, and asks the next one.
claim_outcome TakeVerdict(engine& state, claim_inquiry& inquiry, uint64_t from,
                          claim_outcome verdict, instant now) {
  if (verdict == claim_outcome::kRefused) {
    return verdict;
  }
  if (verdict == claim_outcome::kPending) {
    inquiry.pending = true;
    inquiry.asked = now;
    return verdict;
  }
  const auto awaited =
      std::find(inquiry.awaited.begin(), inquiry.awaited.end(), from);
  if (awaited == inquiry.awaited.end()) {
    return claim_outcome::kPending;
  }
  inquiry.pending = false;
  inquiry.granted_by.push_back(from);
  inquiry.awaited.erase(awaited);
  return AskArbiters(state, inquiry, now);
}

/// Tells the arbiters of a submission whose tasks have been started: the first
/// one, and the one that is asked if the first does not answer.
/// @param asked the entries among which they are chosen.
void TellRunning(engine& state, const std::vector<controller_candidate>& asked,
                 job_claim claim, std::vector<uint64_t>& told) {
  claim.running = true;
  const uint64_t first = ChooseArbiter(asked, claim.job, 0);
  if (first != 0 && !Contains(told, first)) {
    told.push_back(first);
    SendTo(state, first, claim);
  }
  // An entry that relays has its own second choice.
  const uint64_t second =
      claim.relay ? 0 : ChooseArbiter(asked, claim.job, first);
  if (second != 0 && !Contains(told, second)) {
    told.push_back(second);
    SendLater(state, second, std::move(claim));
  }
}

/// Refuses a job that waits for its claim.
void RefuseClaiming(engine& state, uint64_t request, const char* cause,
                    instant now) {
  const claiming_job waiting = std::move(state.claiming_jobs.at(request));
  state.claiming_jobs.erase(request);
  ++state.counts.claims_refused;
  ReleaseClaims(state, waiting.inquiry.told,
                {.job = waiting.arrival.spec.id, .request = request},
                release_sending::kAtOnce, now);
  AnswerSuperseded(state, waiting.arrival, waiting.arrived, cause, now);
}

/// Goes on with a job after an arbiter has decided, or did not.
void ContinueClaiming(engine& state, uint64_t request, claim_outcome outcome,
                      const char* cause, instant now) {
  if (outcome == claim_outcome::kRefused) {
    RefuseClaiming(state, request, cause, now);
  } else if (outcome == claim_outcome::kGranted) {
    const auto at = state.claiming_jobs.find(request);
    claiming_job granted = std::move(at->second);
    state.claiming_jobs.erase(at);
    TellRunning(state, ListAsked(state, granted.inquiry.claim.relay, 0, now),
                MakeClaim(granted.inquiry, now), granted.inquiry.told);
    StartClaimedJob(state, std::move(granted), now);
  }
}

/// Goes on with a relayed claim. After a refusal its other arbiters are told
/// that it has ended.
void ContinueRelayed(engine& state, const relay_key& key, claim_outcome outcome,
                     instant now) {
  const auto at = state.relayed_claims.find(key);
  const job_claim claim = MakeClaim(at->second.inquiry, now);
  if (outcome == claim_outcome::kPending) {
    if (at->second.inquiry.pending) {
      SendVerdict(state, claim.origin, claim.job, AttemptOf(claim), outcome);
    }
    return;
  }
  SendVerdict(state, claim.origin, claim.job, AttemptOf(claim), outcome);
  if (outcome == claim_outcome::kGranted) {
    at->second.answered = true;
    log_line line("claim_relayed");
    line.With("job", claim.job)
        .With("origin", static_cast<int64_t>(claim.origin))
        .With("request", static_cast<int64_t>(claim.request));
    DescribeGrant(line, at->second.inquiry);
    AddLogLine(state, line);
    TellRunning(state, ListArbiters(state, now), claim,
                at->second.inquiry.told);
    return;
  }
  const std::vector<uint64_t> told = std::move(at->second.inquiry.told);
  state.relayed_claims.erase(at);
  ReleaseClaims(
      state, told,
      {.job = claim.job, .origin = claim.origin, .request = claim.request},
      release_sending::kAtOnce, now);
}

/// Asks the arbiters of a claim for its origin, which does not hear them.
void RelayClaim(engine& state, job_claim claim, instant now) {
  const relay_key key = KeyOf(AttemptOf(claim));
  relayed_claim& relayed = state.relayed_claims[key];
  claim.relay = false;
  std::vector<uint64_t> told = std::move(relayed.inquiry.told);
  relayed.inquiry = {.claim = claim,
                     .until = now + claim.valid_for,
                     .told = std::move(told),
                     .asked = now};
  if (claim.running) {
    relayed.answered = true;
    TellRunning(state, ListArbiters(state, now), claim, relayed.inquiry.told);
    return;
  }
  relayed.answered = false;
  relayed.inquiry.awaited = ChooseArbiters(state, claim.job, now);
  relayed.inquiry.list_digest = DigestOf(ListArbiters(state, now));
  if (relayed.inquiry.awaited.empty() && IsListening(state, now)) {
    return;
  }
  const bool unknown = relayed.inquiry.awaited.empty() && claim.repeated;
  ContinueRelayed(state, key,
                  unknown ? claim_outcome::kRefused
                          : AskArbiters(state, relayed.inquiry, now),
                  now);
}

bool IsUnanswered(const engine& state, const claim_inquiry& inquiry,
                  instant now) {
  const milliseconds wait =
      inquiry.claim.relay ? state.options.relay_wait : state.options.claim_wait;
  const milliseconds round = inquiry.claim.repeated || inquiry.pending
                                 ? state.options.claim_round_wait
                                 : milliseconds{0};
  return now - inquiry.asked > wait + round;
}

/// Handles claims whose arbiter did not answer in time.
void RetryClaims(engine& state, instant now) {
  std::vector<uint64_t> own;
  for (const auto& [request, waiting] : state.claiming_jobs) {
    if (IsUnanswered(state, waiting.inquiry, now)) {
      own.push_back(request);
    }
  }
  for (const uint64_t request : own) {
    const claim_outcome outcome =
        AskNextArbiter(state, state.claiming_jobs.at(request).inquiry, now);
    ContinueClaiming(state, request, outcome, "unanswered", now);
  }
  std::vector<relay_key> relayed;
  for (const auto& [key, one] : state.relayed_claims) {
    if (!one.answered && IsUnanswered(state, one.inquiry, now)) {
      relayed.push_back(key);
    }
  }
  for (const relay_key& key : relayed) {
    const claim_outcome outcome =
        AskNextArbiter(state, state.relayed_claims.at(key).inquiry, now);
    ContinueRelayed(state, key, outcome, now);
  }
}

/// Returns the arbiters to which claims were lost and that can be told again.
std::vector<uint64_t> TakeArbitersOfLostClaims(engine& state) {
  std::vector<uint64_t> found;
  for (auto& [incarnation, one] : state.peers) {
    if (one.job_claims_lost && MayArbitrate(one)) {
      one.job_claims_lost = false;
      found.push_back(incarnation);
    }
  }
  return found;
}

/// Sends a claim again to those of its arbiters to which claims were lost.
void TellAgain(engine& state, const std::vector<uint64_t>& lost,
               const job_claim& claim, const std::vector<uint64_t>& told) {
  for (const uint64_t arbiter : lost) {
    if (Contains(told, arbiter)) {
      SendTo(state, arbiter, claim);
    }
  }
}

/// Claims running jobs at their new arbiters when the entries have changed, and
/// all jobs again where claims were lost. A job whose arbiter did not answer
/// was started without it.
void FollowArbiters(engine& state, instant now) {
  const bool by_relay = ClaimsByRelay(state, now);
  const std::vector<controller_candidate> asked =
      ListAsked(state, by_relay, 0, now);
  std::vector<uint64_t> incarnations;
  incarnations.reserve(asked.size());
  for (const controller_candidate& one : asked) {
    incarnations.push_back(one.incarnation);
  }
  const std::vector<uint64_t> lost = TakeArbitersOfLostClaims(state);
  if (incarnations == state.claim_arbiters && lost.empty()) {
    return;
  }
  state.claim_arbiters = std::move(incarnations);
  for (auto& [number, job] : state.jobs) {
    const claim_inquiry inquiry{.claim = {.job = job.spec.id,
                                          .origin = state.self.incarnation,
                                          .request = job.claimed_request,
                                          .timeout = job.caller_timeout,
                                          .running = true,
                                          .relay = by_relay},
                                .until = EndOfTasks(state, job.deadline)};
    const job_claim claim = MakeClaim(inquiry, now);
    TellAgain(state, lost, claim, job.arbiters);
    TellRunning(state, asked, claim, job.arbiters);
  }
  const std::vector<controller_candidate> arbiters = ListArbiters(state, now);
  for (auto& [key, relayed] : state.relayed_claims) {
    job_claim claim = MakeClaim(relayed.inquiry, now);
    claim.running = relayed.answered;
    TellAgain(state, lost, claim, relayed.inquiry.told);
    if (relayed.answered) {
      TellRunning(state, arbiters, claim, relayed.inquiry.told);
    }
  }
  for (const auto& [request, waiting] : state.claiming_jobs) {
    TellAgain(state, lost, MakeClaim(waiting.inquiry, now),
              waiting.inquiry.told);
  }
}

/// Handles a verdict on a claim that is relayed.
void OnRelayedVerdict(engine& state, uint64_t from,
                      const claim_verdict& verdict, instant now) {
  const relay_key key = KeyOf(verdict.attempt);
  const auto at = state.relayed_claims.find(key);
  if (at == state.relayed_claims.end()) {
    return;
  }
  if (!at->second.answered) {
    ContinueRelayed(
        state, key,
        TakeVerdict(state, at->second.inquiry, from, verdict.outcome, now),
        now);
  } else if (verdict.outcome == claim_outcome::kRefused) {
    // The origin ends the job, and releases the claim.
    SendVerdict(state, verdict.attempt.origin, verdict.job, verdict.attempt,
                verdict.outcome);
  }
}

}  // namespace

std::optional<claim_inquiry> ClaimJob(engine& state, const job_arrival& arrival,
                                      const job_plan& plan, instant now) {
  if (IsOff(state.options.without, mechanism::kJobClaims)) {
    return claim_inquiry{};
  }
  claiming_job waiting{
      .arrival = arrival,
      .arrived = plan.arrived,
      .inquiry = {.claim = {.job = arrival.spec.id,
                            .origin = state.self.incarnation,
                            .request = arrival.request,
                            .timeout = arrival.caller_timeout,
                            .repeated = plan.repeated,
                            .relay = ClaimsByRelay(state, now)},
                  .until = EndOfTasks(state, plan.deadline),
                  .asked = now}};
  claim_inquiry& inquiry = waiting.inquiry;
  inquiry.awaited = ChooseAsked(state, inquiry.claim, now);
  inquiry.list_digest = DigestOf(ListAsked(state, inquiry.claim.relay, 0, now));
  const bool unknown = inquiry.awaited.empty() && plan.repeated;
  auto outcome = claim_outcome::kPending;
  if (!inquiry.awaited.empty() || !IsListening(state, now)) {
    outcome =
        unknown ? claim_outcome::kRefused : AskArbiters(state, inquiry, now);
  }
  if (outcome == claim_outcome::kGranted) {
    TellRunning(state, ListAsked(state, inquiry.claim.relay, 0, now),
                MakeClaim(inquiry, now), inquiry.told);
    return std::move(inquiry);
  }
  state.claiming_jobs[arrival.request] = std::move(waiting);
  if (outcome == claim_outcome::kRefused) {
    RefuseClaiming(state, arrival.request, unknown ? "no_arbiter" : "refused",
                   now);
  }
  return std::nullopt;
}

void DescribeGrant(log_line& line, const claim_inquiry& inquiry) {
  std::string granted_by;
  for (const uint64_t arbiter : inquiry.granted_by) {
    granted_by += (granted_by.empty() ? "" : ",") + std::to_string(arbiter);
  }
  // Two lists of the same entries have the same low digits.
  constexpr uint64_t kShownDigits = 1'000'000;
  line.With("granted_by", granted_by.empty() ? "none" : granted_by)
      .With("asks", static_cast<int64_t>(inquiry.asks))
      .With("list", static_cast<int64_t>(inquiry.list_digest % kShownDigits));
}

void ReleaseClaims(engine& state, const std::vector<uint64_t>& arbiters,
                   const claim_release& release, release_sending sending,
                   instant now) {
  for (const uint64_t arbiter : arbiters) {
    if (arbiter == state.self.incarnation) {
      OnClaimRelease(state, arbiter, release, now);
    } else if (sending == release_sending::kAtOnce) {
      SendTo(state, arbiter, release);
    } else {
      SendLater(state, arbiter, release);
    }
  }
}

void EndClaimsOf(engine& state, uint64_t origin, instant known_alive,
                 instant now) {
  const instant settled = known_alive + state.options.orphan_limit;
  for (auto& [job, record] : state.job_claims) {
    if (record.attempt.origin == origin) {
      record.until = std::min(record.until, settled);
    }
  }
  const milliseconds settles_in =
      std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(settled - now));
  const auto [first, last] =
      std::pair{state.relayed_claims.lower_bound({origin, 0}),
                state.relayed_claims.lower_bound({origin + 1, 0})};
  std::vector<relayed_claim> ended;
  for (auto at = first; at != last; ++at) {
    ended.push_back(std::move(at->second));
  }
  state.relayed_claims.erase(first, last);
  for (const relayed_claim& one : ended) {
    ReleaseClaims(state, one.inquiry.told,
                  {.job = one.inquiry.claim.job,
                   .origin = origin,
                   .request = one.inquiry.claim.request,
                   .settles_in = settles_in},
                  release_sending::kAtOnce, now);
  }
}

void OnJobClaim(engine& state, uint64_t from, job_claim claim, instant now) {
  claim.origin = claim.origin == 0 ? from : claim.origin;
  if (claim.relay) {
    RelayClaim(state, std::move(claim), now);
    return;
  }
  const claim_outcome outcome = DecideClaim(state, from, claim, now);
  if (!claim.running || outcome == claim_outcome::kRefused) {
    SendVerdict(state, from, claim.job, AttemptOf(claim), outcome);
  }
}

void OnClaimVerdict(engine& state, uint64_t from, const claim_verdict& verdict,
                    instant now) {
  if (verdict.attempt.origin != state.self.incarnation) {
    OnRelayedVerdict(state, from, verdict, now);
    return;
  }
  const uint64_t request = verdict.attempt.request;
  const auto at = state.claiming_jobs.find(request);
  if (at != state.claiming_jobs.end() &&
      at->second.inquiry.claim.job == verdict.job) {
    ContinueClaiming(
        state, request,
        TakeVerdict(state, at->second.inquiry, from, verdict.outcome, now),
        "refused", now);
  } else if (verdict.outcome == claim_outcome::kRefused) {
    // It comes late, or is for a job that was claimed again.
    EndClaimedJob(state, verdict.job, request, now);
  }
}

void OnClaimRelease(engine& state, uint64_t from, const claim_release& release,
                    instant now) {
  const job_attempt attempt{
      .origin = release.origin == 0 ? from : release.origin,
      .request = release.request};
  const auto relayed = state.relayed_claims.find(KeyOf(attempt));
  if (relayed == state.relayed_claims.end()) {
    EndClaimRecord(state, release.job, attempt, now + release.settles_in, now);
    return;
  }
  const std::vector<uint64_t> told = std::move(relayed->second.inquiry.told);
  state.relayed_claims.erase(relayed);
  claim_release forwarded = release;
  forwarded.origin = attempt.origin;
  ReleaseClaims(state, told, forwarded,
                release.settles_in.count() > 0
                    ? release_sending::kAtOnce
                    : release_sending::kWithNextEnvelope,
                now);
}

void TickClaims(engine& state, instant now) {
  TickArbiter(state, now);
  RetryClaims(state, now);
  if (now < state.next_claim_check) {
    return;
  }
  constexpr milliseconds kCheckInterval{100};
  state.next_claim_check = now + kCheckInterval;
  std::erase_if(state.job_claims,
                [now](const auto& entry) { return now >= entry.second.until; });
  std::erase_if(state.relayed_claims, [now](const auto& entry) {
    return now >= entry.second.inquiry.until;
  });
  FollowArbiters(state, now);
}

}  // namespace tarragondrift::fleet
