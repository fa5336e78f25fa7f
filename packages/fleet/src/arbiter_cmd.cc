#include "tarragondrift/fleet/arbiter_cmd.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/seat_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"
#include "tarragondrift/fleet/worker_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Whether workers of this entry have runs of a job for other submissions. A
/// submission that was started without its arbiter may have some itself.
bool HasOtherRuns(const engine& state, const std::string& job,
                  const job_attempt& attempt) {
  const auto is_other = [&](const auto& run) {
    if (run.first.task.job != job) {
      return false;
    }
    const part* const owner = state.parts.Find(run.second.owner);
    return owner == nullptr ||
           !IsOfAttempt({.origin = owner->origin, .request = owner->request},
                        attempt);
  };
  return std::any_of(state.workers.begin(), state.workers.end(),
                     [&is_other](const auto& entry) {
                       return std::any_of(entry.second.runs.begin(),
                                          entry.second.runs.end(), is_other);
                     });
}

/// Whether this entry has another submission of a job, as its origin or its
/// relay.
bool KnowsOtherSubmission(const engine& state, const job_claim& claim) {
  const job_attempt attempt = AttemptOf(claim);
  const bool is_own = attempt.origin == state.self.incarnation;
  const auto running = state.job_by_id.find(claim.job);
  const bool runs_here =
      running != state.job_by_id.end() &&
      !(is_own &&
        state.jobs.at(running->second).claim_number == attempt.request);
  return runs_here ||
         std::any_of(state.claiming_jobs.begin(), state.claiming_jobs.end(),
                     [&](const auto& entry) {
                       return entry.second.inquiry.claim.job == claim.job &&
                              !(is_own && entry.first == attempt.request);
                     }) ||
         std::any_of(state.relayed_claims.begin(), state.relayed_claims.end(),
                     [&](const auto& entry) {
                       return entry.second.inquiry.claim.job == claim.job &&
                              entry.first != attempt;
                     });
}

/// Whether a worker of this entry is known to obey it.
bool IsHeld(const worker& one) {
  return one.phase == control_phase::kHeld ||
         one.phase == control_phase::kReleasing;
}

/// Returns the workers that obey this entry or a peer that can be reached. They
/// obey nobody else, as their fence is that of their controller.
std::unordered_set<std::string_view> ListHeldWorkers(const engine& state) {
  std::unordered_set<std::string_view> held;
  for (const auto& [id, one] : state.workers) {
    if (IsHeld(one)) {
      held.insert(id);
    }
  }
  for (const auto& [incarnation, one] : state.peers) {
    if (one.silent) {
      continue;
    }
    for (const auto& [id, fence] : one.claims) {
      if (!one.acquiring.contains(id)) {
        held.insert(id);
      }
    }
  }
  return held;
}

/// Whether an entry that cannot be told of a claim may control a worker.
bool MayRunElsewhere(const engine& state, instant now) {
  const auto is_unreachable = [&state, now](const peer& one) {
    return one.silent && !one.superseded &&
           (!one.ever_heard ||
            now - one.last_heard < LongestJob(state.options));
  };
  const bool any_silent =
      now < state.lost_runs_end ||
      std::any_of(state.peers.begin(), state.peers.end(),
                  [&is_unreachable](const auto& entry) {
                    const peer& one = entry.second;
                    return one.contact && one.candidate && is_unreachable(one);
                  });
  const bool any_fenced = std::any_of(
      state.workers.begin(), state.workers.end(), [](const auto& entry) {
        return entry.second.fence_conflicts > 0 && !IsHeld(entry.second);
      });
  if (!any_silent && !any_fenced) {
    return false;
  }
  const std::unordered_set<std::string_view> held = ListHeldWorkers(state);
  const bool all_listed_held =
      KnowsWorkers(state) &&
      std::all_of(state.workers.begin(), state.workers.end(),
                  [&held](const auto& entry) {
                    return !entry.second.listed || held.contains(entry.first);
                  });
  return !all_listed_held ||
         std::any_of(state.peers.begin(), state.peers.end(),
                     [&held, &is_unreachable](const auto& entry) {
                       const peer& one = entry.second;
                       return is_unreachable(one) &&
                              std::any_of(one.claims.begin(), one.claims.end(),
                                          [&held](const auto& claim) {
                                            return !held.contains(claim.first);
                                          });
                     });
}

/// What this entry can tell of a claim by its seats. While it may not know
/// claims that were granted by the holders before it, it can tell if no entry
/// that it cannot ask may run tasks.
seat_knowledge JudgeSeats(const engine& state, uint64_t asker,
                          const std::string& job, bool local, instant now) {
  if (local) {
    return HearsOnlyOwnDataCentre(state, now) ? seat_knowledge::kFull
                                              : seat_knowledge::kNone;
  }
  // A claim of its own needs another witness, or a row, as well.
  const bool may_be_outdated =
      asker != state.self.incarnation &&
      WitnessAge(state, now) > state.options.lone_witness_list_age &&
      !HearsMostWitnesses(state);
  if (may_be_outdated) {
    return seat_knowledge::kNone;
  }
  const seat_knowledge known = KnowledgeOf(state, job, now);
  return known == seat_knowledge::kPartial && MayRunElsewhere(state, now)
             ? seat_knowledge::kNone
             : known;
}

/// Returns the names of entries; the number of those left out comes last.
std::string NameEntries(const engine& state,
                        const std::set<uint64_t>& incarnations) {
  constexpr size_t kMaxNames = 40;
  std::vector<std::string> names;
  for (const uint64_t one : incarnations) {
    if (names.size() == kMaxNames) {
      names.push_back("+" + std::to_string(incarnations.size() - kMaxNames));
      break;
    }
    const auto at = state.peers.find(one);
    names.push_back(one == state.self.incarnation ? state.self.name
                    : at == state.peers.end()     ? std::to_string(one)
                                                  : at->second.identity.name);
  }
  return names.empty() ? "none" : JoinNames(names);
}

/// Logs the end of a round, who was asked and who counts as silent.
void LogRound(engine& state, const std::string& job, const claim_round& round,
              bool granted, const char* cause, instant now) {
  std::set<uint64_t> silent;
  for (const auto& [incarnation, one] : state.peers) {
    if (one.contact && one.candidate && one.silent && !one.superseded) {
      silent.insert(incarnation);
    }
  }
  log_line line(granted ? "claim_granted" : "claim_refused");
  line.With("job", job)
      .With("origin", static_cast<int64_t>(round.attempt.origin))
      .With("request", static_cast<int64_t>(round.attempt.request))
      .With("cause", cause)
      .With("age_ms",
            std::chrono::floor<milliseconds>(now - round.began).count())
      .With("told", NameEntries(state, round.told))
      .With("unconfirmed", NameEntries(state, round.awaited))
      .With("silent", NameEntries(state, silent));
  AddLogLine(state, line);
}

/// Ends a round; its submission no longer counts if it is refused.
void EndRound(engine& state, const std::string& job, bool granted,
              const char* cause, instant now) {
  const auto at = state.claim_rounds.find(job);
  const claim_round round = at->second;
  state.claim_rounds.erase(at);
  if (granted && JudgeSeats(state, round.asker, job, round.local, now) ==
                     seat_knowledge::kNone) {
    // The seat was given to another entry meanwhile.
    granted = false;
    cause = "seat_given";
  }
  LogRound(state, job, round, granted, cause, now);
  const auto failed =
      round.is_inquiry ? claim_outcome::kAbstained : claim_outcome::kRefused;
  const auto outcome = granted ? claim_outcome::kGranted : failed;
  const auto record = state.job_claims.find(job);
  if (record != state.job_claims.end() &&
      record->second.attempt == round.attempt) {
    record->second.outcome = outcome;
    if (!granted) {
      record->second.released = true;
      record->second.settled = now + state.options.orphan_limit;
    }
  }
  SendVerdict(state, round.asker, job, round.attempt, outcome, round.local);
}

/// Tells all controllers that can be reached of a submission.
/// @return those that were told.
std::set<uint64_t> SendNotices(engine& state, const std::string& job,
                               instant now) {
  std::set<uint64_t> told{state.self.incarnation};
  const claim_notice notice = MakeNotice(job, state.job_claims.at(job), now);
  for (const auto& [incarnation, one] : state.peers) {
    if (one.contact && one.candidate && !one.silent && one.decides_claims) {
      told.insert(incarnation);
    }
  }
  for (const uint64_t incarnation : told) {
    SendTo(state, incarnation, notice);
  }
  return told;
}

/// Tells all controllers of a repeated submission, and waits for them.
void BeginRound(engine& state, uint64_t asker, const job_claim& claim,
                bool is_inquiry, instant now) {
  const std::string& job = claim.job;
  ++state.counts.claim_rounds;
  const auto earlier = state.claim_rounds.find(job);
  if (earlier != state.claim_rounds.end()) {
    EndRound(state, job, false, "superseded", now);
  }
  const std::set<uint64_t> told = SendNotices(state, job, now);
  state.claim_rounds[job] = {.asker = asker,
                             .attempt = state.job_claims.at(job).attempt,
                             .local = claim.local,
                             .is_inquiry = is_inquiry,
                             .told = told,
                             .awaited = told,
                             .began = now};
}

/// Whether a known submission may still have tasks.
bool IsActive(const claim_record& known, instant now) {
  return now < (known.released ? known.settled : known.until);
}

/// Why a claim is refused, by the submission that this witness knows; nullptr
/// if it is not.
const char* RefusalOf(const claim_record& known, const job_attempt& attempt,
                      const job_claim& claim, instant now) {
  if (now >= known.until || known.attempt == attempt) {
    return nullptr;
  }
  if (IsEarlierSubmission(claim.timeout, known.timeout)) {
    return "superseded";
  }
  if (!IsActive(known, now) || (claim.running && known.released) ||
      IsEarlierSubmission(known.timeout, claim.timeout)) {
    return nullptr;
  }
  return known.released ? "ending" : "held";
}

void ConfirmEndedRuns(engine& state, instant now) {
  std::erase_if(state.unconfirmed_claims, [&](const unconfirmed_claim& one) {
    if (HasOtherRuns(state, one.job, one.attempt)) {
      return now - one.received > state.options.claim_round_wait;
    }
    SendTo(state, one.arbiter,
           claim_confirmation{
               .job = one.job, .attempt = one.attempt, .confirmed = true});
    return true;
  });
}

/// Returns what was decided on a claim that is asked for again, through another
/// relay or after a message was lost. While it waits for the controllers, the
/// new asker gets the verdict.
std::optional<claim_outcome> FindDecision(engine& state, uint64_t asker,
                                          const job_claim& claim, instant now) {
  const job_attempt attempt = AttemptOf(claim);
  const auto round = state.claim_rounds.find(claim.job);
  if (round != state.claim_rounds.end() && round->second.attempt == attempt) {
    round->second.asker = asker;
    round->second.local = claim.local;
    return claim_outcome::kPending;
  }
  const auto at = state.job_claims.find(claim.job);
  if (at == state.job_claims.end() || now >= at->second.until ||
      at->second.attempt != attempt) {
    return std::nullopt;
  }
  claim_record& record = at->second;
  if (record.outcome == claim_outcome::kGranted && !record.released) {
    record.until = std::max(record.until, now + claim.valid_for);
    return claim_outcome::kGranted;
  }
  return record.outcome == claim_outcome::kRefused && !claim.running
             ? std::optional{claim_outcome::kRefused}
             : std::nullopt;
}

}  // namespace

bool IsEarlierSubmission(milliseconds timeout, milliseconds other) {
  // A second submission comes more than a second after the first.
  constexpr milliseconds kMinDifference{100};
  return other.count() > 0 && timeout > other + kMinDifference;
}

bool IsSuperseded(const engine& state, const std::string& job,
                  const job_attempt& attempt, instant now) {
  const auto at = state.job_claims.find(job);
  return at != state.job_claims.end() && at->second.noticed &&
         now < at->second.until && !IsOfAttempt(attempt, at->second.attempt);
}

claim_outcome DecideClaim(engine& state, uint64_t asker, const job_claim& claim,
                          instant now) {
  const seat_knowledge known_seats =
      claim.running ? seat_knowledge::kFull
                    : JudgeSeats(state, asker, claim.job, claim.local, now);
  const bool cannot_tell =
      !DecidesClaims(state, now) || known_seats == seat_knowledge::kNone;
  if (!claim.running && cannot_tell) {
    ++state.counts.claims_abstained;
    return claim_outcome::kAbstained;
  }
  if (claim.local && !claim.running && KnowsOtherSubmission(state, claim)) {
    LogClaim(state, "claim_refused", claim.job, AttemptOf(claim), "known",
             claim.timeout, milliseconds{0});
    return claim_outcome::kRefused;
  }
  if (const auto decided = FindDecision(state, asker, claim, now)) {
    return *decided;
  }
  const job_attempt attempt = AttemptOf(claim);
  const auto at = state.job_claims.find(claim.job);
  const claim_record* const known =
      at == state.job_claims.end() || now >= at->second.until ? nullptr
                                                              : &at->second;
  // Once controllers know of one submission, they have to be told of the next.
  const bool replaces = known != nullptr && known->attempt != attempt &&
                        (IsActive(*known, now) || known->noticed);
  // What the holder before granted shows in its controllers' runs.
  const bool is_inquiry = known_seats == seat_knowledge::kPartial;
  const bool needs_round =
      !claim.running && (claim.repeated || replaces || is_inquiry);
  const char* refusal =
      known == nullptr ? nullptr : RefusalOf(*known, attempt, claim, now);
  if (refusal == nullptr && needs_round && MayRunElsewhere(state, now)) {
    refusal = "controller_unreachable";
    ++state.counts.claims_unprovable;
  }
  if (refusal != nullptr) {
    LogClaim(state, "claim_refused", claim.job, attempt, refusal, claim.timeout,
             known == nullptr
                 ? milliseconds{0}
                 : std::chrono::floor<milliseconds>(now - known->made));
    return claim_outcome::kRefused;
  }
  const bool noticed =
      known != nullptr && known->attempt == attempt && known->noticed;
  // A job of which no other submission is known leaves no line here.
  if (!needs_round && known != nullptr && known->attempt != attempt) {
    LogClaim(state, "claim_granted", claim.job, attempt,
             claim.running ? "running" : "ended", claim.timeout,
             std::chrono::floor<milliseconds>(now - known->made));
  }
  state.job_claims[claim.job] = {.attempt = attempt,
                                 .timeout = claim.timeout,
                                 .made = now,
                                 .until = now + claim.valid_for,
                                 .noticed = noticed};
  if (needs_round) {
    BeginRound(state, asker, claim, is_inquiry && !claim.repeated && !replaces,
               now);
    return claim_outcome::kPending;
  }
  if (replaces) {
    SendNotices(state, claim.job, now);
  }
  state.job_claims.at(claim.job).outcome = claim_outcome::kGranted;
  return claim_outcome::kGranted;
}

void EndClaimRecord(engine& state, const std::string& job,
                    const job_attempt& attempt, instant settled, instant now) {
  const auto at = state.job_claims.find(job);
  if (at == state.job_claims.end() || at->second.attempt != attempt) {
    return;
  }
  claim_record& record = at->second;
  record.released = true;
  record.settled = settled;
  record.until = std::max(record.until, now + state.options.cancel_retention);
}

claim_notice MakeNotice(const std::string& job, const claim_record& record,
                        instant now) {
  return {.job = job,
          .attempt = record.attempt,
          .timeout = record.timeout,
          .valid_for = std::chrono::ceil<milliseconds>(record.until - now)};
}

void OnClaimNotice(engine& state, uint64_t from, const claim_notice& notice,
                   instant now) {
  const auto known = state.job_claims.find(notice.job);
  if (known != state.job_claims.end() && now < known->second.until &&
      known->second.attempt != notice.attempt &&
      IsEarlierSubmission(notice.timeout, known->second.timeout)) {
    SendTo(state, from,
           claim_confirmation{.job = notice.job, .attempt = notice.attempt});
    return;
  }
  claim_record& record = state.job_claims[notice.job];
  if (record.attempt != notice.attempt) {
    record = {.attempt = notice.attempt,
              .timeout = notice.timeout,
              .made = now,
              .until = now + notice.valid_for};
  }
  record.noticed = true;
  const size_t ended =
      CancelOtherPartsOfJob(state, notice.job, notice.attempt, "notice", now);
  if (ended > 0) {
    state.counts.parts_superseded += ended;
    LogClaim(state, "parts_superseded", notice.job, notice.attempt, "notice",
             notice.timeout, milliseconds{0});
  }
  EndSupersededJob(state, notice.job, notice.attempt.origin, now);
  state.unconfirmed_claims.push_back({.job = notice.job,
                                      .attempt = notice.attempt,
                                      .arbiter = from,
                                      .received = now});
  ConfirmEndedRuns(state, now);
}

void OnClaimConfirmation(engine& state, uint64_t from,
                         const claim_confirmation& confirmation, instant now) {
  const auto at = state.claim_rounds.find(confirmation.job);
  if (at == state.claim_rounds.end() ||
      at->second.attempt != confirmation.attempt) {
    return;
  }
  if (!confirmation.confirmed) {
    EndRound(state, confirmation.job, false, "superseded", now);
    return;
  }
  at->second.awaited.erase(from);
  if (at->second.awaited.empty()) {
    EndRound(state, confirmation.job, true, "confirmed", now);
  }
}

void TickArbiter(engine& state, instant now) {
  ConfirmEndedRuns(state, now);
  std::vector<std::string> over;
  for (const auto& [job, round] : state.claim_rounds) {
    if (now - round.began > state.options.claim_round_wait) {
      over.push_back(job);
    }
  }
  for (const std::string& job : over) {
    EndRound(state, job, false, "unconfirmed", now);
  }
}

void SendVerdict(engine& state, uint64_t asker, const std::string& job,
                 const job_attempt& attempt, claim_outcome outcome,
                 bool local) {
  SendTo(
      state, asker,
      claim_verdict{
          .job = job, .attempt = attempt, .outcome = outcome, .local = local});
}

void LogClaim(engine& state, const char* event, const std::string& job,
              const job_attempt& attempt, const char* cause,
              milliseconds timeout, milliseconds age) {
  log_line line(event);
  line.With("job", job)
      .With("origin", static_cast<int64_t>(attempt.origin))
      .With("request", static_cast<int64_t>(attempt.request))
      .With("cause", cause)
      .With("timeout_ms", timeout.count())
      .With("age_ms", age.count());
  AddLogLine(state, line);
}

}  // namespace tarragondrift::fleet
