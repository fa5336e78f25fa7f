#include "tarragondrift/fleet/claim_inquiry_cmd.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/arbiter_list_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Grants that a claim needs of a panel's witnesses and the row.
constexpr size_t kNeededGrants = 2;

bool Contains(const std::vector<uint64_t>& list, uint64_t incarnation) {
  return std::find(list.begin(), list.end(), incarnation) != list.end();
}

void AddOnce(std::vector<uint64_t>& list, uint64_t incarnation) {
  if (!Contains(list, incarnation)) {
    list.push_back(incarnation);
  }
}

size_t CountGrants(const claim_inquiry& inquiry, const claim_panel& panel) {
  return static_cast<size_t>(std::count_if(
      panel.begin(), panel.end(),
      [&inquiry](uint64_t one) { return Contains(inquiry.granted_by, one); }));
}

/// Returns the number of witnesses that may still grant a claim.
size_t CountAwaited(const claim_inquiry& inquiry, const claim_panel& panel) {
  return static_cast<size_t>(
      std::count_if(panel.begin(), panel.end(), [&inquiry](uint64_t one) {
        return one != 0 && !Contains(inquiry.granted_by, one) &&
               !Contains(inquiry.unavailable, one);
      }));
}

/// In a data centre that is cut off all of its witnesses have to grant a claim.
size_t NeededGrants(const claim_inquiry& inquiry, const claim_panel& panel) {
  return inquiry.claim.local ? panel.size()
                             : std::min(kNeededGrants, panel.size());
}

/// Whether the row counts beside the witnesses of a panel. The only witness of
/// a list of one decides alone.
bool RowCounts(const claim_inquiry& inquiry, const claim_panel& panel) {
  return !inquiry.claim.local && panel.size() >= kNeededGrants;
}

bool IsProven(const claim_inquiry& inquiry) {
  const auto row_grants = [&inquiry](const claim_panel& panel) -> size_t {
    return inquiry.row == claim_row_state::kHeld && RowCounts(inquiry, panel)
               ? 1
               : 0;
  };
  return !inquiry.panels.empty() &&
         std::all_of(inquiry.panels.begin(), inquiry.panels.end(),
                     [&](const claim_panel& panel) {
                       return !panel.empty() &&
                              CountGrants(inquiry, panel) + row_grants(panel) >=
                                  NeededGrants(inquiry, panel);
                     });
}

bool MayBeProven(const claim_inquiry& inquiry) {
  const auto row_grants = [&inquiry](const claim_panel& panel) -> size_t {
    return inquiry.row != claim_row_state::kFailed && RowCounts(inquiry, panel)
               ? 1
               : 0;
  };
  return !inquiry.panels.empty() &&
         std::all_of(inquiry.panels.begin(), inquiry.panels.end(),
                     [&](const claim_panel& panel) {
                       return !panel.empty() &&
                              CountGrants(inquiry, panel) +
                                      CountAwaited(inquiry, panel) +
                                      row_grants(panel) >=
                                  NeededGrants(inquiry, panel);
                     });
}

/// Whether the witnesses alone do not grant a claim, or not in time.
bool NeedsRow(const claim_inquiry& inquiry, bool overdue) {
  return std::any_of(
      inquiry.panels.begin(), inquiry.panels.end(),
      [&inquiry, overdue](const claim_panel& panel) {
        return RowCounts(inquiry, panel) &&
               CountGrants(inquiry, panel) +
                       (overdue ? 0 : CountAwaited(inquiry, panel)) <
                   NeededGrants(inquiry, panel);
      });
}

std::vector<claim_panel> FindPanels(const engine& state,
                                    const job_claim& claim) {
  std::vector<claim_panel> panels;
  std::vector<std::vector<std::string>> lists;
  if (claim.local) {
    lists.push_back(ListLocalWitnesses(state));
  } else {
    lists = ChoosePanels(state, claim.job);
  }
  for (const std::vector<std::string>& names : lists) {
    claim_panel& panel = panels.emplace_back();
    for (const std::string& name : names) {
      panel.push_back(FindWitness(state, name));
    }
  }
  return panels;
}

std::vector<uint64_t> WitnessesOf(const std::vector<claim_panel>& panels) {
  std::vector<uint64_t> found;
  for (const claim_panel& panel : panels) {
    for (const uint64_t one : panel) {
      if (one != 0) {
        AddOnce(found, one);
      }
    }
  }
  return found;
}

claim_outcome AskRelay(engine& state, claim_inquiry& inquiry, instant now) {
  const uint64_t relay =
      inquiry.told.size() < state.options.max_relays
          ? ChooseRelay(state, inquiry.claim.job, inquiry.told)
          : 0;
  if (relay == 0) {
    return inquiry.told.empty() && IsListening(state, now)
               ? claim_outcome::kPending
               : claim_outcome::kUnproven;
  }
  inquiry.told.push_back(relay);
  inquiry.asked = now;
  SendTo(state, relay, MakeClaim(inquiry, now));
  return claim_outcome::kPending;
}

void RequestRow(engine& state, claim_inquiry& inquiry, instant now) {
  inquiry.row = claim_row_state::kAsked;
  inquiry.row_asked = now;
  ++state.counts.claim_rows;
  const job_claim claim = MakeClaim(inquiry, now);
  state.claim_rows[AttemptOf(claim)] = {.job = claim.job};
  state.out.emplace_back(claim_row_write{.job = claim.job,
                                         .attempt = AttemptOf(claim),
                                         .valid_for = claim.valid_for});
}

/// While the store counts as out of reach, requests a row now and then to see
/// whether it answers again.
void ProbeStore(engine& state, claim_inquiry& inquiry, instant now) {
  if (now >= state.next_store_probe && inquiry.row == claim_row_state::kNone) {
    state.next_store_probe = now + state.options.row_wait;
    RequestRow(state, inquiry, now);
  }
}

/// Takes note of a row that the store does not answer.
void NoteRowWait(engine& state, const claim_inquiry& inquiry, instant now) {
  if (inquiry.row == claim_row_state::kAsked &&
      now - inquiry.row_asked >= state.options.row_wait) {
    NoteRowUnanswered(state, inquiry.row_asked, now);
  }
}

/// Notes the answer of one witness.
/// @return kRefused if the claim is refused with it.
claim_outcome NoteAnswer(claim_inquiry& inquiry, uint64_t from,
                         claim_outcome answer, instant now) {
  switch (answer) {
    case claim_outcome::kRefused:
      return claim_outcome::kRefused;
    case claim_outcome::kPending:
      inquiry.pending = true;
      inquiry.asked = now;
      break;
    case claim_outcome::kGranted:
      AddOnce(inquiry.granted_by, from);
      break;
    case claim_outcome::kAbstained:
      AddOnce(inquiry.unavailable, from);
      // It is told once the submission has started.
      std::erase(inquiry.told, from);
      break;
    case claim_outcome::kUnproven:
      AddOnce(inquiry.unavailable, from);
      break;
  }
  return claim_outcome::kPending;
}

bool IsOver(const claim_inquiry& inquiry, milliseconds limit, instant now) {
  return now - inquiry.asked > limit;
}

/// Whether an earlier submission is being ended, which takes longer.
bool AwaitsRound(const claim_inquiry& inquiry) {
  return inquiry.claim.repeated || inquiry.pending;
}

claim_outcome EvaluateRelayed(engine& state, claim_inquiry& inquiry,
                              instant now) {
  if (!inquiry.granted_by.empty()) {
    return claim_outcome::kGranted;
  }
  if (!inquiry.unavailable.empty()) {
    return claim_outcome::kUnproven;
  }
  const milliseconds wait =
      (AwaitsRound(inquiry) ? state.options.claim_round_wait
                            : milliseconds{0}) +
      state.options.relay_wait;
  if (inquiry.told.empty() || IsOver(inquiry, wait, now)) {
    state.counts.claims_unanswered += inquiry.told.empty() ? 0 : 1;
    return AskRelay(state, inquiry, now);
  }
  return claim_outcome::kPending;
}

claim_outcome Evaluate(engine& state, claim_inquiry& inquiry, instant now) {
  if (inquiry.claim.relay) {
    return EvaluateRelayed(state, inquiry, now);
  }
  if (IsProven(inquiry)) {
    return claim_outcome::kGranted;
  }
  NoteRowWait(state, inquiry, now);
  if (!inquiry.claim.local && IsCutOff(state, now)) {
    return BeginInquiry(state, inquiry, now);
  }
  if (!MayBeProven(inquiry)) {
    // Seats that were given to others meanwhile are asked there.
    return inquiry.list_version != state.witnesses.list.version
               ? BeginInquiry(state, inquiry, now)
               : claim_outcome::kUnproven;
  }
  const milliseconds round =
      AwaitsRound(inquiry) ? state.options.claim_round_wait : milliseconds{0};
  const bool overdue = IsOver(inquiry, state.options.claim_wait + round, now);
  if (inquiry.row == claim_row_state::kNone && NeedsRow(inquiry, overdue)) {
    if (overdue) {
      ++state.counts.claims_unanswered;
      LogClaim(state, "claim_unanswered", inquiry.claim.job,
               AttemptOf(inquiry.claim),
               inquiry.claim.repeated ? "repeated" : "first",
               inquiry.claim.timeout,
               std::chrono::floor<milliseconds>(now - inquiry.asked));
    }
    RequestRow(state, inquiry, now);
  }
  return IsOver(inquiry, state.options.claim_limit + round, now)
             ? claim_outcome::kUnproven
             : claim_outcome::kPending;
}

}  // namespace

job_claim MakeClaim(const claim_inquiry& inquiry, instant now) {
  job_claim claim = inquiry.claim;
  claim.valid_for = std::chrono::ceil<milliseconds>(inquiry.until - now);
  return claim;
}

claim_outcome BeginInquiry(engine& state, claim_inquiry& inquiry, instant now) {
  inquiry.list_version = state.witnesses.list.version;
  if (inquiry.claim.relay) {
    return Evaluate(state, inquiry, now);
  }
  if (!KnowsWitnesses(state, now)) {
    return claim_outcome::kUnproven;
  }
  inquiry.claim.local = IsCutOff(state, now);
  inquiry.granted_by.clear();
  inquiry.unavailable.clear();
  inquiry.panels = FindPanels(state, inquiry.claim);
  if (inquiry.claim.local) {
    ProbeStore(state, inquiry, now);
    const auto row = state.claim_rows.find(AttemptOf(inquiry.claim));
    if (row != state.claim_rows.end()) {
      row->second.local = true;
    }
  }
  if (!MayBeProven(inquiry)) {
    // A process that was paused hears its peers again in a moment.
    if (IsListening(state, now)) {
      inquiry.panels.clear();
      return claim_outcome::kPending;
    }
    return claim_outcome::kUnproven;
  }
  inquiry.asked = now;
  const job_claim claim = MakeClaim(inquiry, now);
  const std::vector<uint64_t> witnesses = WitnessesOf(inquiry.panels);
  const uint64_t self = state.self.incarnation;
  if (Contains(witnesses, self)) {
    AddOnce(inquiry.told, self);
    const claim_outcome own = DecideClaim(state, self, claim, now);
    if (NoteAnswer(inquiry, self, own, now) == claim_outcome::kRefused) {
      return claim_outcome::kRefused;
    }
  }
  for (const uint64_t one : witnesses) {
    if (one != self) {
      AddOnce(inquiry.told, one);
      SendTo(state, one, claim);
    }
  }
  return Evaluate(state, inquiry, now);
}

claim_outcome TakeVerdict(engine& state, claim_inquiry& inquiry, uint64_t from,
                          const claim_verdict& verdict, instant now) {
  // A grant from before the data centre was cut off is none of its witnesses.
  const bool is_earlier = verdict.outcome != claim_outcome::kRefused &&
                          verdict.local != inquiry.claim.local;
  if (!Contains(inquiry.told, from) || is_earlier) {
    return claim_outcome::kPending;
  }
  return NoteAnswer(inquiry, from, verdict.outcome, now) ==
                 claim_outcome::kRefused
             ? claim_outcome::kRefused
             : Evaluate(state, inquiry, now);
}

claim_outcome TakeRow(engine& state, claim_inquiry& inquiry,
                      claim_row_outcome outcome, instant now) {
  switch (outcome) {
    case claim_row_outcome::kTaken:
      return claim_outcome::kRefused;
    case claim_row_outcome::kHeld:
      inquiry.row = claim_row_state::kHeld;
      break;
    case claim_row_outcome::kFailed:
      inquiry.row = claim_row_state::kFailed;
      break;
  }
  return Evaluate(state, inquiry, now);
}

claim_outcome ContinueInquiry(engine& state, claim_inquiry& inquiry,
                              instant now) {
  return inquiry.panels.empty() && !inquiry.claim.relay
             ? BeginInquiry(state, inquiry, now)
             : Evaluate(state, inquiry, now);
}

void TellRunning(engine& state, claim_inquiry& inquiry, instant now) {
  job_claim claim = MakeClaim(inquiry, now);
  claim.running = true;
  // Once the data centre is reached again, the others have to know.
  claim.local = false;
  const std::vector<uint64_t> knowing =
      claim.relay ? std::vector{ChooseRelay(state, claim.job, {})}
                  : WitnessesOf(FindPanels(state, claim));
  for (const uint64_t one : knowing) {
    if (one != 0 && !Contains(inquiry.told, one)) {
      inquiry.told.push_back(one);
      SendTo(state, one, claim);
    }
  }
}

namespace {

const char* DescribeRowState(claim_row_state state) {
  switch (state) {
    case claim_row_state::kNone:
      return "none";
    case claim_row_state::kAsked:
      return "asked";
    case claim_row_state::kHeld:
      return "held";
    case claim_row_state::kFailed:
      return "failed";
  }
  return "none";
}

}  // namespace

void DescribeGrant(log_line& line, const claim_inquiry& inquiry) {
  std::vector<std::string> names;
  for (const uint64_t one : inquiry.granted_by) {
    names.push_back(std::to_string(one));
  }
  if (inquiry.row == claim_row_state::kHeld) {
    names.emplace_back("row");
  }
  line.With("granted_by", names.empty() ? "none" : JoinNames(names))
      .With("asked", static_cast<int64_t>(inquiry.told.size()))
      .With("unavailable", static_cast<int64_t>(inquiry.unavailable.size()))
      .With("row", DescribeRowState(inquiry.row))
      .With("list", static_cast<int64_t>(inquiry.list_version));
}

}  // namespace tarragondrift::fleet
