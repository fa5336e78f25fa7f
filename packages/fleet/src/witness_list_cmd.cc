#include "tarragondrift/fleet/witness_list_cmd.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "tarragondrift/fleet/arbiter_list_cmd.h"
#include "tarragondrift/fleet/contact_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/ownership_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/seat_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// How long a request that the store did not answer tells that it cannot be
/// reached. Requests time out after a second.
constexpr milliseconds kMaxEvidenceAge{1'500};

witness MakeWitness(const entry_identity& entry) {
  return {.name = entry.name,
          .data_centre = entry.data_centre,
          .cpu_milli = entry.cpu_milli};
}

bool Lists(const std::vector<witness>& list, const std::string& name) {
  return std::any_of(list.begin(), list.end(),
                     [&name](const witness& one) { return one.name == name; });
}

bool HasSameSeats(const std::vector<witness>& a,
                  const std::vector<witness>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const witness& one, const witness& other) {
                      return SeatOf(one) == SeatOf(other);
                    });
}

/// Returns the entries that could be witnesses: this one and its listed peers
/// that are not known to be gone.
std::vector<witness> ListPresent(const engine& state) {
  std::vector<witness> present;
  if (!state.leaving) {
    present.push_back(MakeWitness(state.self));
  }
  for (const auto& [incarnation, one] : state.peers) {
    const bool gone = one.superseded || one.withdrawn || one.leaving ||
                      !one.listed || (one.contact && one.silent);
    if (!gone && !Lists(present, one.identity.name)) {
      present.push_back(MakeWitness(one.identity));
    }
  }
  return present;
}

/// Whether half of the other witnesses have been heard since this entry
/// started.
bool HeardMostWitnesses(const engine& state) {
  size_t others = 0;
  size_t heard = 0;
  for (const witness& one : state.witnesses.list.witnesses) {
    if (one.name == state.self.name) {
      continue;
    }
    ++others;
    heard += std::any_of(state.peers.begin(), state.peers.end(),
                         [&one](const auto& entry) {
                           return entry.second.identity.name == one.name &&
                                  entry.second.ever_heard;
                         })
                 ? 1
                 : 0;
  }
  return heard * 2 >= others;
}

/// Whether the whole fleet has told its claims to this entry since its start,
/// and the tasks of entries that had failed by then have ended.
bool KnowsAllClaims(const engine& state, instant now) {
  return state.peers_listed && IsFullMesh(state) &&
         now >= std::max(state.started + state.options.orphan_limit,
                         state.lost_runs_end) &&
         std::all_of(
             state.peers.begin(), state.peers.end(), [](const auto& entry) {
               const peer& one = entry.second;
               return one.superseded || one.withdrawn || one.claims_told;
             });
}

/// Whether a witness has been missing for so long that it is replaced.
bool IsGone(const engine& state, const witness& one, instant now) {
  const auto since = state.witnesses.missing_since.find(one.name);
  return since != state.witnesses.missing_since.end() &&
         now - since->second >= state.options.witness_absence;
}

/// Returns a name for the seat of a first holder; empty if that of the holder
/// is free.
std::string MakeSeatName(const engine& state, const std::string& holder) {
  const witness_list& known = state.witnesses.list;
  const auto is_taken = [&holder](const witness& one) {
    return SeatOf(one) == holder;
  };
  return std::any_of(known.witnesses.begin(), known.witnesses.end(),
                     is_taken) ||
                 std::any_of(known.former.begin(), known.former.end(), is_taken)
             ? holder + '/' + std::to_string(known.version)
             : std::string();
}

/// Adds the entries with the most processor time until each data centre has
/// enough witnesses.
void AddWitnesses(const engine& state, std::vector<witness> present,
                  std::vector<witness>& list) {
  std::map<std::string, size_t> counts;
  for (const witness& one : list) {
    ++counts[one.data_centre];
  }
  std::sort(
      present.begin(), present.end(), [](const witness& a, const witness& b) {
        return std::pair(b.cpu_milli, a.name) < std::pair(a.cpu_milli, b.name);
      });
  for (const witness& one : present) {
    size_t& count = counts[one.data_centre];
    if (count < state.options.witnesses_per_data_centre &&
        !Lists(list, one.name)) {
      list.push_back(one);
      list.back().seat = MakeSeatName(state, one.name);
      ++count;
    }
  }
}

/// Whether the store has answered a recent request for the list.
bool HasReadWitnesses(const engine& state, instant now) {
  return state.witnesses.read &&
         now - *state.witnesses.read < state.options.witness_read_interval * 2;
}

/// Whether the store has not answered requests for rows lately.
bool LacksStore(const engine& state, instant now) {
  return state.rows_unanswered_since &&
         now - *state.rows_unanswered_since >= state.options.row_wait &&
         now - state.rows_unanswered_last < kMaxEvidenceAge;
}

/// Whether this entry has jobs or parts that it had at a time.
bool HasJobsSince(const engine& state, instant since) {
  bool found = std::any_of(
      state.jobs.begin(), state.jobs.end(),
      [since](const auto& entry) { return entry.second.accepted <= since; });
  state.parts.ForEach([&found, since](part_id, const part& one) {
    found = found || one.arrived <= since;
  });
  return found;
}

void UpdateMissing(engine& state, instant now) {
  auto& missing = state.witnesses.missing_since;
  std::erase_if(missing, [&state](const auto& entry) {
    return !IsListedWitness(state, entry.first);
  });
  for (const auto* list :
       {&state.witnesses.list.witnesses, &state.witnesses.list.former}) {
    for (const witness& one : *list) {
      if (FindWitness(state, one.name) != 0) {
        missing.erase(one.name);
      } else {
        missing.try_emplace(one.name, now);
      }
    }
  }
}

/// Returns the place of this entry among the candidates that it hears.
size_t RankAmongCandidates(const engine& state) {
  return static_cast<size_t>(std::count_if(
      state.peers.begin(), state.peers.end(), [&state](const auto& entry) {
        return MayArbitrate(entry.second) && !entry.second.leaving &&
               entry.first < state.self.incarnation;
      }));
}

void AdoptList(engine& state, const witness_list& list, instant now) {
  const witness_list before = std::exchange(state.witnesses.list, list);
  if (!HasSameSeats(before.former, list.former)) {
    state.witnesses.former_since = now;
  }
  state.witnesses.change_due.reset();
  state.next_contact_choice = now;
  state.next_claim_check = now;
  log_line line("witnesses_changed");
  std::vector<std::string> names;
  for (const witness& one : list.witnesses) {
    names.push_back(one.name);
  }
  line.With("version", static_cast<int64_t>(list.version))
      .With("witnesses", JoinNames(names))
      .With("former", static_cast<int64_t>(list.former.size()));
  AddLogLine(state, line);
  FollowHandovers(state, before, now);
  AnnounceChange(state, announcement::kToAllContacts);
}

}  // namespace

void ApplyWitnessList(engine& state, const witness_list& list, instant now) {
  if (!state.witnesses.read && list.version != 0) {
    // A peer's list may be an older one.
    state.witnesses.was_unlisted = !Lists(list.witnesses, state.self.name) &&
                                   !Lists(list.former, state.self.name);
  }
  state.witnesses.read = now;
  state.rows_unanswered_since.reset();
  if (list.version == 0) {
    state.witnesses.was_absent =
        state.witnesses.was_absent || state.witnesses.list.version == 0;
    return;
  }
  if (list.version > state.witnesses.list.version) {
    AdoptList(state, list, now);
  }
  if (list.version == state.witnesses.list.version) {
    ConfirmWitnessList(state, now);
  }
}

void OnWitnessUpdate(engine& state, const witness_update& update, instant sent,
                     instant now) {
  if (update.list.version > state.witnesses.list.version) {
    AdoptList(state, update.list, now);
    state.witnesses.confirmed = sent - update.age;
  }
}

void ConfirmWitnessList(engine& state, instant confirmed) {
  state.witnesses.confirmed =
      std::max(state.witnesses.confirmed.value_or(confirmed), confirmed);
}

milliseconds WitnessAge(const engine& state, instant now) {
  return std::chrono::ceil<milliseconds>(
      now - state.witnesses.confirmed.value_or(instant{}));
}

bool KnowsWitnesses(const engine& state, instant now) {
  return state.witnesses.list.version != 0 && state.witnesses.confirmed &&
         now - *state.witnesses.confirmed < state.options.witness_list_max_age;
}

bool IsListedWitness(const engine& state, const std::string& name) {
  return Lists(state.witnesses.list.witnesses, name) ||
         Lists(state.witnesses.list.former, name);
}

bool DecidesClaims(const engine& state, instant now) {
  if (state.witnesses.was_absent || state.witnesses.was_unlisted ||
      KnowsAllClaims(state, now)) {
    return true;
  }
  const milliseconds memory = HeardMostWitnesses(state)
                                  ? state.options.claim_memory
                                  : LongestJob(state.options);
  if (now < std::max(state.started + memory, state.untold_claims_end)) {
    return false;
  }
  // Peers tell claims that last longer.
  return now >= state.known_claims_end ||
         std::none_of(state.peers.begin(), state.peers.end(),
                      [now](const auto& entry) {
                        return !entry.second.claims_told &&
                               now < entry.second.claims_end;
                      });
}

void NoteRowUnanswered(engine& state, instant asked, instant now) {
  const bool is_recent = state.rows_unanswered_since &&
                         now - state.rows_unanswered_last < kMaxEvidenceAge;
  state.rows_unanswered_since =
      is_recent ? std::min(*state.rows_unanswered_since, asked) : asked;
  state.rows_unanswered_last = now;
}

bool IsCutOff(const engine& state, instant now) {
  const std::vector<witness>& list = state.witnesses.list.witnesses;
  return LacksStore(state, now) && HearsOnlyOwnDataCentre(state, now) &&
         std::any_of(list.begin(), list.end(), [&state](const witness& one) {
           return one.data_centre != state.self.data_centre;
         });
}

bool HearsOnlyOwnDataCentre(const engine& state, instant now) {
  const std::vector<witness>& list = state.witnesses.list.witnesses;
  // After a pause all peers count as silent until they are heard again.
  const bool was_paused =
      now - state.listening_since <
      state.options.silence_limit + state.options.silence_limit;
  return !was_paused &&
         std::none_of(list.begin(), list.end(), [&state](const witness& one) {
           return one.data_centre != state.self.data_centre &&
                  FindWitness(state, one.name) != 0;
         });
}

std::vector<std::string> ListLocalWitnesses(const engine& state) {
  std::vector<std::string> names;
  for (const witness& one : state.witnesses.list.witnesses) {
    if (one.data_centre == state.self.data_centre) {
      names.push_back(one.name);
    }
  }
  return names;
}

uint64_t FindWitness(const engine& state, const std::string& name) {
  if (name == state.self.name) {
    return state.self.incarnation;
  }
  // The latest process of an instance has the highest incarnation.
  const auto at = std::find_if(state.peers.rbegin(), state.peers.rend(),
                               [&name](const auto& entry) {
                                 return entry.second.identity.name == name;
                               });
  return at != state.peers.rend() && !at->second.silent && at->second.contact &&
                 at->second.decides_claims
             ? at->first
             : 0;
}

std::vector<std::string> ChooseWitnesses(const std::vector<witness>& list,
                                         const std::string& job) {
  std::vector<std::string> names;
  for (const witness* const one : ChooseSeats(list, job)) {
    names.push_back(one->name);
  }
  return names;
}

std::vector<std::vector<std::string>> ChoosePanels(const engine& state,
                                                   const std::string& job) {
  std::vector<std::vector<std::string>> panels{
      ChooseWitnesses(state.witnesses.list.witnesses, job)};
  if (!state.witnesses.list.former.empty()) {
    std::vector<std::string> former =
        ChooseWitnesses(state.witnesses.list.former, job);
    if (former != panels.front()) {
      panels.push_back(std::move(former));
    }
  }
  return panels;
}

bool ReachesWitnesses(const engine& state, instant now) {
  if (!KnowsWitnesses(state, now)) {
    return false;
  }
  if (!state.candidate && !ListRelays(state, {}).empty()) {
    return true;
  }
  const std::vector<witness>& list = state.witnesses.list.witnesses;
  std::set<std::string> data_centres;
  size_t reached = 0;
  for (const witness& one : list) {
    if (FindWitness(state, one.name) != 0) {
      data_centres.insert(one.data_centre);
      ++reached;
    }
  }
  const bool is_spread =
      std::any_of(list.begin(), list.end(), [&list](const witness& one) {
        return one.data_centre != list.front().data_centre;
      });
  const bool has_pair = is_spread ? data_centres.size() > 1 : reached > 1;
  return has_pair || list.size() == reached ||
         (reached > 0 && HasReadWitnesses(state, now));
}

bool IsFirstWitness(const engine& state) {
  const std::vector<witness>& list = state.witnesses.list.witnesses;
  const auto first =
      std::find_if(list.begin(), list.end(), [&state](const witness& one) {
        return FindWitness(state, one.name) != 0;
      });
  return first != list.end() && first->name == state.self.name;
}

bool HearsMostWitnesses(const engine& state) {
  const std::vector<witness>& list = state.witnesses.list.witnesses;
  const auto missing =
      std::count_if(list.begin(), list.end(), [&state](const witness& one) {
        return state.witnesses.missing_since.contains(one.name);
      });
  return static_cast<size_t>(missing) * 2 <= list.size();
}

bool MayMissNotices(const engine& state, const std::string& job, instant now) {
  const auto is_lost = [&state](const std::vector<std::string>& panel) {
    const auto heard = std::count_if(panel.begin(), panel.end(),
                                     [&state](const std::string& name) {
                                       return FindWitness(state, name) != 0;
                                     });
    return static_cast<size_t>(heard) < std::min<size_t>(2, panel.size());
  };
  const auto panels = ChoosePanels(state, job);
  return HasReadWitnesses(state, now) && !LacksStore(state, now) &&
         std::any_of(panels.begin(), panels.end(), is_lost);
}

void UpdateIsolation(engine& state, instant now) {
  const std::vector<witness>& list = state.witnesses.list.witnesses;
  const auto heard =
      std::count_if(list.begin(), list.end(), [&state](const witness& one) {
        return FindWitness(state, one.name) != 0;
      });
  isolation_state& current = state.isolation;
  if (list.empty()) {
    current.since.reset();
  } else if (static_cast<size_t>(heard) * 2 > list.size()) {
    current.heard_most = true;
    current.since.reset();
  } else if (!current.since &&
             (current.heard_most || state.candidate_since != instant{})) {
    current.since = now;
  }
  const bool holds = current.since && HasReadWitnesses(state, now) &&
                     !LacksStore(state, now) &&
                     (now - *current.since < state.options.isolation_wait ||
                      HasJobsSince(state, *current.since));
  if (std::exchange(current.holds, holds) == holds) {
    return;
  }
  state.counts.isolations += holds ? 1 : 0;
  log_line line("isolation_changed");
  line.With("isolated", holds ? "yes" : "no")
      .With("witnesses", static_cast<int64_t>(list.size()))
      .With("heard", static_cast<int64_t>(heard))
      .With("held", static_cast<int64_t>(state.held_workers.size()))
      .With("jobs", static_cast<int64_t>(state.jobs.size()))
      .With("age_ms",
            current.since
                ? std::chrono::floor<milliseconds>(now - *current.since).count()
                : 0);
  AddLogLine(state, line, true);
}

std::optional<witness_list> PlanWitnessList(const engine& state, instant now) {
  const witness_list& known = state.witnesses.list;
  if (!known.former.empty()) {
    // Nobody goes by the former list any more.
    const milliseconds end =
        state.options.witness_list_max_age + state.options.witness_absence;
    return now - state.witnesses.former_since < end
               ? std::nullopt
               : std::optional(witness_list{.version = known.version,
                                            .witnesses = known.witnesses});
  }
  witness_list planned{.version = known.version};
  std::copy_if(
      known.witnesses.begin(), known.witnesses.end(),
      std::back_inserter(planned.witnesses),
      [&state, now](const witness& one) { return !IsGone(state, one, now); });
  // An entry that hears few of the others may be the one that is cut off.
  if (!HearsMostWitnesses(state)) {
    return std::nullopt;
  }
  AddWitnesses(state, ListPresent(state), planned.witnesses);
  if (planned.witnesses == known.witnesses || planned.witnesses.empty()) {
    return std::nullopt;
  }
  planned.former = known.witnesses;
  return planned;
}

void TickWitnessList(engine& state, instant now) {
  UpdateMissing(state, now);
  TickHandovers(state, now);
  TickSuccession(state, now);
  const bool settled = state.peers_listed && state.candidate &&
                       now - state.started >= state.options.startup_wait;
  if (!settled || !HasReadWitnesses(state, now)) {
    state.witnesses.change_due.reset();
    return;
  }
  // Handovers leave the jobs of each seat as they are, so that they need not
  // wait for the end of an earlier change.
  auto planned = PlanHandovers(state, now);
  milliseconds settling{0};
  if (!planned) {
    planned = PlanRebalance(state);
    if (!planned) {
      planned = PlanWitnessList(state, now);
    }
    if (state.witnesses.list.version != 0) {
      settling = state.options.witness_settling;
    }
  }
  if (!planned) {
    state.witnesses.change_due.reset();
    return;
  }
  if (!state.witnesses.change_due) {
    state.witnesses.change_due = now;
  }
  constexpr milliseconds kTurn{200};
  const auto turn = static_cast<int64_t>(RankAmongCandidates(state)) * kTurn;
  if (now - *state.witnesses.change_due >= settling + turn) {
    state.witnesses.change_due = now;
    state.out.emplace_back(witness_list_write{.list = std::move(*planned)});
  }
}

}  // namespace tarragondrift::fleet
