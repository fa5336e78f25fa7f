#include "tarragondrift/fleet/claim_cmd.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/arbiter_list_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/claim_inquiry_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/seat_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// How long tasks of a submission may run: until its deadline, and until the
/// leases of an origin that fails before it have ended.
instant EndOfTasks(const engine& state, instant deadline) {
  return deadline + state.options.orphan_limit;
}

bool Contains(const std::vector<uint64_t>& list, uint64_t incarnation) {
  return std::find(list.begin(), list.end(), incarnation) != list.end();
}

/// Refuses a job that waits for its claim. As nothing was started, a submission
/// that is not known to be repeated is answered "not run" where its claim could
/// not be proven.
void RefuseClaiming(engine& state, uint64_t number, claim_outcome outcome,
                    const char* cause, instant now) {
  const claiming_job waiting = std::move(state.claiming_jobs.at(number));
  state.claiming_jobs.erase(number);
  ReleaseClaims(state, waiting.inquiry.told,
                {.job = waiting.arrival.spec.id, .request = number},
                release_sending::kAtOnce, now);
  if (outcome == claim_outcome::kUnproven) {
    ++state.counts.claims_unproven;
    if (!waiting.inquiry.claim.repeated) {
      RefuseUnproven(state, waiting, now);
      return;
    }
  }
  ++state.counts.claims_refused;
  AnswerSuperseded(state, waiting.arrival, waiting.arrived,
                   outcome == claim_outcome::kUnproven ? "unproven" : cause,
                   now);
}

/// Goes on with a job after an answer, or without one.
void ContinueClaiming(engine& state, uint64_t number, claim_outcome outcome,
                      const char* cause, instant now) {
  if (outcome == claim_outcome::kGranted) {
    const auto at = state.claiming_jobs.find(number);
    claiming_job granted = std::move(at->second);
    state.claiming_jobs.erase(at);
    TellRunning(state, granted.inquiry, now);
    StartClaimedJob(state, std::move(granted), now);
  } else if (outcome != claim_outcome::kPending) {
    RefuseClaiming(state, number, outcome, cause, now);
  }
}

/// Goes on with a relayed claim. Only its origin ends it, as another relay may
/// have had it granted.
void ContinueRelayed(engine& state, const job_attempt& key,
                     claim_outcome outcome, instant now) {
  const auto at = state.relayed_claims.find(key);
  claim_inquiry& inquiry = at->second.inquiry;
  const std::string job = inquiry.claim.job;
  if (outcome == claim_outcome::kPending) {
    if (inquiry.pending) {
      SendVerdict(state, key.origin, job, key, outcome);
    }
    return;
  }
  SendVerdict(state, key.origin, job, key, outcome);
  at->second.answered = true;
  at->second.verdict = outcome;
  if (outcome == claim_outcome::kGranted) {
    TellRunning(state, inquiry, now);
    log_line line("claim_relayed");
    line.With("job", job)
        .With("origin", static_cast<int64_t>(key.origin))
        .With("request", static_cast<int64_t>(key.request));
    DescribeGrant(line, inquiry);
    AddLogLine(state, line);
  }
}

/// Asks the witnesses of a claim for its origin, which does not hear them.
void RelayClaim(engine& state, job_claim claim, instant now) {
  const job_attempt key = AttemptOf(claim);
  const auto [at, added] = state.relayed_claims.try_emplace(key);
  relayed_claim& relayed = at->second;
  claim.relay = false;
  if (added) {
    relayed.inquiry = {.claim = claim,
                       // One that runs may have begun long ago.
                       .begun = claim.running ? instant{} : now,
                       .until = now + claim.valid_for,
                       .asked = now};
  }
  if (claim.running) {
    relayed.answered = true;
    relayed.verdict = claim_outcome::kGranted;
    TellRunning(state, relayed.inquiry, now);
    return;
  }
  if (!added) {
    // It was sent again, as its envelope may have been lost.
    if (relayed.answered) {
      SendVerdict(state, key.origin, claim.job, key, relayed.verdict);
    }
    return;
  }
  ContinueRelayed(state, key, BeginInquiry(state, relayed.inquiry, now), now);
}

/// Goes on with claims whose answers are late.
void RetryClaims(engine& state, instant now) {
  std::vector<uint64_t> own;
  for (const auto& [number, waiting] : state.claiming_jobs) {
    own.push_back(number);
  }
  for (const uint64_t number : own) {
    const auto at = state.claiming_jobs.find(number);
    if (at != state.claiming_jobs.end()) {
      ContinueClaiming(state, number,
                       ContinueInquiry(state, at->second.inquiry, now),
                       "unanswered", now);
    }
  }
  std::vector<job_attempt> relayed;
  for (const auto& [key, one] : state.relayed_claims) {
    if (!one.answered) {
      relayed.push_back(key);
    }
  }
  for (const job_attempt& key : relayed) {
    const claim_outcome outcome =
        ContinueInquiry(state, state.relayed_claims.at(key).inquiry, now);
    if (outcome != claim_outcome::kPending) {
      ContinueRelayed(state, key, outcome, now);
    }
  }
}

/// Returns the entries to which claims were lost and that can be told again.
std::vector<uint64_t> TakeEntriesOfLostClaims(engine& state) {
  std::vector<uint64_t> found;
  for (auto& [incarnation, one] : state.peers) {
    if (one.job_claims_lost && MayArbitrate(one)) {
      one.job_claims_lost = false;
      one.records_told = false;
      found.push_back(incarnation);
    }
  }
  return found;
}

/// Returns the witnesses that can be heard, and the relays.
std::vector<uint64_t> ListWitnessesAndRelays(const engine& state,
                                             bool by_relay) {
  std::vector<uint64_t> found;
  if (by_relay) {
    for (const controller_candidate& one : ListRelays(state, {})) {
      found.push_back(one.incarnation);
    }
  }
  for (const auto* list :
       {&state.witnesses.list.witnesses, &state.witnesses.list.former}) {
    for (const witness& one : *list) {
      found.push_back(FindWitness(state, one.name));
    }
  }
  return found;
}

/// Sends a claim again to those of the entries told to which claims were lost.
void TellAgain(engine& state, const std::vector<uint64_t>& lost,
               const job_claim& claim, const std::vector<uint64_t>& told) {
  for (const uint64_t one : lost) {
    if (Contains(told, one)) {
      SendTo(state, one, claim);
    }
  }
}

/// Whether an instance is a witness of a job.
bool IsWitnessOf(const engine& state, const std::string& name,
                 const std::string& job) {
  const std::vector<std::vector<std::string>> panels = ChoosePanels(state, job);
  return std::any_of(panels.begin(), panels.end(), [&name](const auto& panel) {
    return std::find(panel.begin(), panel.end(), name) != panel.end();
  });
}

/// Tells a witness the claims that its process before may have granted: those
/// that this entry has granted as the other witness, and those of its own jobs,
/// whose relay may have failed as well.
void TellRecords(engine& state, peer& to, instant now) {
  to.records_told = true;
  const uint64_t incarnation = to.identity.incarnation;
  // Later claims asked the process itself.
  const instant asked_since = std::max(to.met, to.seated);
  for (const auto& [job, record] : state.job_claims) {
    if (record.outcome == claim_outcome::kGranted && !record.released &&
        now < record.until && record.made <= asked_since &&
        IsWitnessOf(state, to.identity.name, job)) {
      SendTo(state, incarnation,
             job_claim{.job = job,
                       .origin = record.attempt.origin,
                       .request = record.attempt.request,
                       .timeout = record.timeout,
                       .valid_for =
                           std::chrono::ceil<milliseconds>(record.until - now),
                       .running = true});
    }
  }
  for (auto& [number, job] : state.jobs) {
    if (job.arrived <= asked_since && !Contains(job.witnesses, incarnation) &&
        IsWitnessOf(state, to.identity.name, job.spec.id)) {
      job.witnesses.push_back(incarnation);
      SendTo(state, incarnation,
             job_claim{.job = job.spec.id,
                       .origin = state.self.incarnation,
                       .request = job.claim_number,
                       .timeout = job.caller_timeout,
                       .valid_for = std::chrono::ceil<milliseconds>(
                           EndOfTasks(state, job.deadline) - now),
                       .running = true});
    }
  }
}

/// Tells witnesses that have been restarted or are heard again of running jobs,
/// and sends claims again that were lost.
void FollowWitnesses(engine& state, instant now) {
  const bool by_relay = ClaimsByRelay(state, now);
  std::vector<uint64_t> known = ListWitnessesAndRelays(state, by_relay);
  const std::vector<uint64_t> lost = TakeEntriesOfLostClaims(state);
  if (known == state.told_witnesses && lost.empty()) {
    return;
  }
  state.told_witnesses = std::move(known);
  for (auto& [number, job] : state.jobs) {
    claim_inquiry inquiry{.claim = {.job = job.spec.id,
                                    .origin = state.self.incarnation,
                                    .request = job.claim_number,
                                    .timeout = job.caller_timeout,
                                    .running = true,
                                    .relay = by_relay},
                          .until = EndOfTasks(state, job.deadline),
                          .told = std::move(job.witnesses)};
    TellAgain(state, lost, MakeClaim(inquiry, now), inquiry.told);
    TellRunning(state, inquiry, now);
    job.witnesses = std::move(inquiry.told);
  }
  for (auto& [key, relayed] : state.relayed_claims) {
    job_claim claim = MakeClaim(relayed.inquiry, now);
    claim.running = relayed.answered;
    if (!relayed.answered || relayed.verdict == claim_outcome::kGranted) {
      TellAgain(state, lost, claim, relayed.inquiry.told);
    }
    if (relayed.verdict == claim_outcome::kGranted) {
      TellRunning(state, relayed.inquiry, now);
    }
  }
  for (const auto& [number, waiting] : state.claiming_jobs) {
    TellAgain(state, lost, MakeClaim(waiting.inquiry, now),
              waiting.inquiry.told);
  }
  for (const uint64_t one : state.told_witnesses) {
    const auto at = state.peers.find(one);
    if (at != state.peers.end() && !at->second.records_told &&
        IsListedWitness(state, at->second.identity.name)) {
      TellRecords(state, at->second, now);
    }
  }
}

/// Handles a verdict on a claim that is relayed.
void OnRelayedVerdict(engine& state, uint64_t from,
                      const claim_verdict& verdict, instant now) {
  const auto at = state.relayed_claims.find(verdict.attempt);
  if (at == state.relayed_claims.end()) {
    return;
  }
  if (!at->second.answered) {
    ContinueRelayed(state, verdict.attempt,
                    TakeVerdict(state, at->second.inquiry, from, verdict, now),
                    now);
  } else if (verdict.outcome == claim_outcome::kRefused) {
    // The origin ends the job, and releases the claim.
    SendVerdict(state, verdict.attempt.origin, verdict.job, verdict.attempt,
                verdict.outcome);
  }
}

/// Removes rows that are due, once their requests have been answered.
void RemoveRows(engine& state, instant now) {
  std::erase_if(state.claim_rows, [&state, now](const auto& entry) {
    const claim_row& row = entry.second;
    const bool due = row.settled && row.remove_at && now >= *row.remove_at;
    if (due) {
      state.out.emplace_back(
          claim_row_removal{.job = row.job, .attempt = entry.first});
    }
    return due;
  });
}

}  // namespace

std::optional<claim_inquiry> ClaimJob(engine& state, const job_arrival& arrival,
                                      const job_plan& plan, instant now) {
  const uint64_t number = ++state.last_claim;
  claiming_job waiting{
      .arrival = arrival,
      .arrived = plan.arrived,
      .inquiry = {.claim = {.job = arrival.spec.id,
                            .origin = state.self.incarnation,
                            .request = number,
                            .timeout = arrival.caller_timeout,
                            .repeated = plan.repeated,
                            .relay = ClaimsByRelay(state, now)},
                  .begun = now,
                  .until = EndOfTasks(state, plan.deadline),
                  .asked = now}};
  if (IsOff(state.options.without, mechanism::kJobClaims)) {
    return std::move(waiting.inquiry);
  }
  const claim_outcome outcome = BeginInquiry(state, waiting.inquiry, now);
  if (outcome == claim_outcome::kGranted) {
    return std::move(waiting.inquiry);
  }
  state.claiming_jobs[number] = std::move(waiting);
  if (outcome != claim_outcome::kPending) {
    RefuseClaiming(state, number, outcome, "refused", now);
  }
  return std::nullopt;
}

void ReleaseClaims(engine& state, const std::vector<uint64_t>& witnesses,
                   const claim_release& release, release_sending sending,
                   instant now) {
  const uint64_t origin =
      release.origin == 0 ? state.self.incarnation : release.origin;
  const auto row =
      state.claim_rows.find({.origin = origin, .request = release.request});
  if (row != state.claim_rows.end()) {
    row->second.remove_at = now + release.settles_in;
  }
  for (const uint64_t one : witnesses) {
    if (one == state.self.incarnation) {
      EndClaimRecord(state, release.job,
                     {.origin = origin, .request = release.request},
                     now + release.settles_in, now);
    } else if (sending == release_sending::kAtOnce) {
      SendTo(state, one, release);
    } else {
      SendLater(state, one, release);
    }
  }
}

void EndClaimsOf(engine& state, uint64_t origin, instant now) {
  // It may have lived until a moment ago, in touch with its controllers only.
  const instant settled = now + state.options.orphan_limit;
  for (auto& [job, record] : state.job_claims) {
    if (record.attempt.origin == origin) {
      record.until = std::min(record.until, settled);
    }
  }
  const auto [first, last] =
      std::pair{state.relayed_claims.lower_bound({.origin = origin}),
                state.relayed_claims.lower_bound({.origin = origin + 1})};
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
                   .settles_in = state.options.orphan_limit},
                  release_sending::kAtOnce, now);
  }
}

milliseconds ClaimsEndIn(const engine& state, const peer& to, instant now) {
  instant end = now;
  for (const auto& [job, record] : state.job_claims) {
    if (!record.released && record.made <= to.met) {
      end = std::max(end, record.until);
    }
  }
  for (const auto& [number, job] : state.jobs) {
    if (job.arrived <= to.met) {
      end = std::max(end, EndOfTasks(state, job.deadline));
    }
  }
  for (const auto& [key, relayed] : state.relayed_claims) {
    const bool may_run =
        !relayed.answered || relayed.verdict == claim_outcome::kGranted;
    if (may_run && relayed.inquiry.begun <= to.met) {
      end = std::max(end, relayed.inquiry.until);
    }
  }
  return std::chrono::ceil<milliseconds>(end - now);
}

void OnJobClaim(engine& state, uint64_t from, job_claim claim, instant now) {
  claim.origin = claim.origin == 0 ? from : claim.origin;
  if (claim.relay) {
    RelayClaim(state, std::move(claim), now);
    return;
  }
  const claim_outcome outcome = DecideClaim(state, from, claim, now);
  if (outcome == claim_outcome::kAbstained && !claim.local &&
      KnowledgeOf(state, claim.job, now) == seat_knowledge::kNone) {
    // The asker goes by a list from before the seat was given away.
    SendTo(state, from,
           witness_update{.list = state.witnesses.list,
                          .age = WitnessAge(state, now)});
  }
  if (!claim.running || outcome == claim_outcome::kRefused) {
    SendVerdict(state, from, claim.job, AttemptOf(claim), outcome, claim.local);
  }
}

void OnClaimVerdict(engine& state, uint64_t from, const claim_verdict& verdict,
                    instant now) {
  if (verdict.attempt.origin != state.self.incarnation) {
    OnRelayedVerdict(state, from, verdict, now);
    return;
  }
  const uint64_t number = verdict.attempt.request;
  const auto at = state.claiming_jobs.find(number);
  if (at != state.claiming_jobs.end() &&
      at->second.inquiry.claim.job == verdict.job) {
    ContinueClaiming(state, number,
                     TakeVerdict(state, at->second.inquiry, from, verdict, now),
                     "refused", now);
  } else if (verdict.outcome == claim_outcome::kRefused) {
    // It comes late, or a witness was told of the running job.
    EndClaimedJob(state, verdict.job, number, now);
  }
}

void OnClaimRelease(engine& state, uint64_t from, const claim_release& release,
                    instant now) {
  const job_attempt attempt{
      .origin = release.origin == 0 ? from : release.origin,
      .request = release.request};
  const auto relayed = state.relayed_claims.find(attempt);
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

void OnClaimRow(engine& state, const std::string& job,
                const job_attempt& attempt, claim_row_outcome outcome,
                instant now) {
  const auto row = state.claim_rows.find(attempt);
  bool started_without_row = false;
  if (row != state.claim_rows.end()) {
    row->second.settled = true;
    started_without_row = row->second.local && !row->second.remove_at;
  }
  if (outcome != claim_row_outcome::kFailed) {
    state.rows_unanswered_since.reset();
  } else {
    NoteRowUnanswered(state, now, now);
  }
  if (outcome != claim_row_outcome::kHeld) {
    LogClaim(state, "claim_row_missed", job, attempt,
             outcome == claim_row_outcome::kTaken ? "taken" : "failed",
             milliseconds{0}, milliseconds{0});
  }
  if (attempt.origin == state.self.incarnation) {
    const auto own = state.claiming_jobs.find(attempt.request);
    if (own != state.claiming_jobs.end()) {
      ContinueClaiming(state, attempt.request,
                       TakeRow(state, own->second.inquiry, outcome, now), "row",
                       now);
    } else if (started_without_row && outcome == claim_row_outcome::kTaken) {
      EndClaimedJob(state, job, attempt.request, now);
    }
    return;
  }
  const auto relayed = state.relayed_claims.find(attempt);
  if (relayed != state.relayed_claims.end() && !relayed->second.answered) {
    ContinueRelayed(state, attempt,
                    TakeRow(state, relayed->second.inquiry, outcome, now), now);
  } else if (started_without_row && outcome == claim_row_outcome::kTaken) {
    SendVerdict(state, attempt.origin, job, attempt, claim_outcome::kRefused);
  }
}

void TickClaims(engine& state, instant now) {
  TickArbiter(state, now);
  RetryClaims(state, now);
  RemoveRows(state, now);
  if (now < state.next_claim_check) {
    return;
  }
  constexpr milliseconds kCheckInterval{100};
  state.next_claim_check = now + kCheckInterval;
  std::erase_if(state.job_claims,
                [now](const auto& entry) { return now >= entry.second.until; });
  // A relayed claim whose end was not told, as its origin is gone.
  std::vector<job_attempt> over;
  for (const auto& [key, one] : state.relayed_claims) {
    if (now >= one.inquiry.until) {
      over.push_back(key);
    }
  }
  for (const job_attempt& key : over) {
    const auto row = state.claim_rows.find(key);
    if (row != state.claim_rows.end()) {
      row->second.remove_at = now;
    }
    state.relayed_claims.erase(key);
  }
  TickWitnessList(state, now);
  FollowWitnesses(state, now);
}

}  // namespace tarragondrift::fleet
