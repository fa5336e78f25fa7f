#include "tarragondrift/fleet/seat_cmd.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/ownership_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// A handover is told again, as an envelope may be lost.
constexpr uint32_t kHandoverTells = 3;
constexpr milliseconds kTellInterval{300};

using seat_map = std::map<std::string, witness>;

seat_map MapSeats(const witness_list& list) {
  seat_map seats;
  for (const auto* part : {&list.witnesses, &list.former}) {
    for (const witness& one : *part) {
      seats.emplace(SeatOf(one), one);
    }
  }
  return seats;
}

/// Whether this entry knows all claims of a seat that it holds.
bool KnowsSeat(const engine& state, const std::string& seat, instant now) {
  const auto taken = state.witnesses.taken.find(seat);
  return taken == state.witnesses.taken.end() || taken->second.told ||
         now - taken->second.since >=
             state.options.seat_lapse + state.options.claim_memory;
}

bool IsSeatOf(const engine& state, const std::string& seat,
              const std::string& job) {
  for (const auto* list :
       {&state.witnesses.list.witnesses, &state.witnesses.list.former}) {
    for (const witness* const one : ChooseSeats(*list, job)) {
      if (SeatOf(*one) == seat) {
        return true;
      }
    }
  }
  return false;
}

/// Tells one claim that this entry has granted, and its end if it has ended.
void TellClaim(engine& state, uint64_t to, const std::string& job,
               const claim_record& record, instant now) {
  SendTo(state, to,
         job_claim{
             .job = job,
             .origin = record.attempt.origin,
             .request = record.attempt.request,
             .timeout = record.timeout,
             .valid_for = std::chrono::ceil<milliseconds>(record.until - now),
             .running = true});
  if (record.released) {
    SendTo(state, to,
           claim_release{.job = job,
                         .origin = record.attempt.origin,
                         .request = record.attempt.request,
                         .settles_in = std::max(milliseconds{0},
                                                std::chrono::ceil<milliseconds>(
                                                    record.settled - now))});
  }
}

void LogHandover(engine& state, const char* event, const witness& seat,
                 const char* cause, int64_t claims) {
  log_line line(event);
  line.With("seat", SeatOf(seat))
      .With("number", static_cast<int64_t>(seat.handovers))
      .With("to", seat.name)
      .With("version", static_cast<int64_t>(state.witnesses.list.version))
      .With("cause", cause)
      .With("claims", claims);
  AddLogLine(state, line);
}

void TakeSeat(engine& state, const witness& seat, instant now) {
  const auto told = state.witnesses.told.find(SeatOf(seat));
  const bool is_told =
      told != state.witnesses.told.end() && told->second == seat.handovers;
  state.witnesses.taken[SeatOf(seat)] = {
      .number = seat.handovers, .since = now, .told = is_told};
  ++state.counts.seats_taken;
  state.counts.seats_told += is_told ? 1 : 0;
  LogHandover(state, "seat_taken", seat, is_told ? "told" : "untold", 0);
}

/// Only a holder that knows all claims of a seat can tell them.
void GiveSeat(engine& state, const witness& seat, instant now) {
  const bool knows =
      DecidesClaims(state, now) && KnowsSeat(state, SeatOf(seat), now);
  if (knows) {
    state.witnesses.given.push_back(
        {.handover = {.seat = SeatOf(seat), .number = seat.handovers},
         .to = seat.name,
         .next = now,
         .tells_left = kHandoverTells});
  }
  ++state.counts.seats_given;
  LogHandover(state, "seat_given", seat, knows ? "known" : "unknown",
              static_cast<int64_t>(state.job_claims.size()));
}

/// Has the claims of this entry told to an instance that got a seat.
void NoteSeated(engine& state, const std::string& name, instant now) {
  for (auto& [incarnation, one] : state.peers) {
    if (one.identity.name == name) {
      one.seated = now;
      one.records_told = false;
    }
  }
  // Running claims are told to the witnesses that are new.
  state.told_witnesses.clear();
}

/// Entries of this one's data centre that are in touch, by name.
std::map<std::string, uint32_t> ListNear(const engine& state) {
  std::map<std::string, uint32_t> near;
  if (!state.leaving) {
    near[state.self.name] = state.self.cpu_milli;
  }
  for (const auto& [incarnation, one] : state.peers) {
    if (one.identity.data_centre == state.self.data_centre && one.contact &&
        !one.silent && !one.leaving && !one.withdrawn && !one.superseded &&
        one.decides_claims) {
      near[one.identity.name] = one.identity.cpu_milli;
    }
  }
  return near;
}

/// Whether an instance has left as planned: it says so or has removed its row.
bool HasLeftFleet(const engine& state, const std::string& name) {
  if (name == state.self.name) {
    return state.leaving;
  }
  return state.peers_listed &&
         std::none_of(state.peers.begin(), state.peers.end(),
                      [&name](const auto& entry) {
                        const peer& one = entry.second;
                        return one.identity.name == name && !one.withdrawn &&
                               !one.leaving && (one.listed || !one.silent);
                      });
}

milliseconds MissingFor(const engine& state, const std::string& name,
                        instant now) {
  const auto since = state.witnesses.missing_since.find(name);
  return since == state.witnesses.missing_since.end()
             ? milliseconds{0}
             : std::chrono::floor<milliseconds>(now - since->second);
}

/// Number of seats by holder.
std::map<std::string, size_t> CountSeats(const seat_map& seats) {
  std::map<std::string, size_t> counts;
  for (const auto& [seat, one] : seats) {
    ++counts[one.name];
  }
  return counts;
}

/// Removes and returns the entry without a seat that has the most processor
/// time; empty if there is none.
std::string TakeFree(std::map<std::string, uint32_t>& unseated) {
  const auto best = std::max_element(
      unseated.begin(), unseated.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second, b.first) < std::pair(b.second, a.first);
      });
  if (best == unseated.end()) {
    return {};
  }
  std::string name = best->first;
  unseated.erase(best);
  return name;
}

/// Returns the near entry with the fewest seats; empty if there is none.
std::string FindLeastSeated(const std::map<std::string, uint32_t>& near,
                            const std::map<std::string, size_t>& counts) {
  std::string found;
  size_t fewest = 0;
  for (const auto& [name, cpu] : near) {
    const auto at = counts.find(name);
    const size_t count = at == counts.end() ? 0 : at->second;
    if (found.empty() || count < fewest) {
      found = name;
      fewest = count;
    }
  }
  return found;
}

void AssignSeat(witness_list& list, const std::string& seat,
                const std::string& name) {
  for (auto* part : {&list.witnesses, &list.former}) {
    for (witness& one : *part) {
      if (SeatOf(one) == seat) {
        one.seat = seat;
        one.name = name;
        ++one.handovers;
      }
    }
  }
}

/// Seats of this entry's data centre, and the entries there.
struct near_seats {
  seat_map seats;
  std::map<std::string, size_t> counts;
  std::map<std::string, uint32_t> near;
  /// Those without a seat.
  std::map<std::string, uint32_t> unseated;
};

near_seats ListNearSeats(const engine& state) {
  near_seats found{.seats = MapSeats(state.witnesses.list),
                   .near = ListNear(state)};
  found.counts = CountSeats(found.seats);
  std::erase_if(found.seats, [&state](const auto& entry) {
    return entry.second.data_centre != state.self.data_centre;
  });
  found.unseated = found.near;
  std::erase_if(found.unseated, [&found](const auto& entry) {
    return found.counts.contains(entry.first);
  });
  return found;
}

}  // namespace

std::vector<const witness*> ChooseSeats(const std::vector<witness>& list,
                                        const std::string& job) {
  std::vector<controller_candidate> candidates;
  candidates.reserve(list.size());
  for (const witness& one : list) {
    candidates.push_back({.incarnation = candidates.size(),
                          .name = SeatOf(one),
                          .data_centre = one.data_centre,
                          .worker_capacity = std::max(1U, one.cpu_milli)});
  }
  std::vector<const witness*> chosen;
  const controller_candidate* const first = ChooseController(candidates, job);
  if (first == nullptr) {
    return chosen;
  }
  chosen.push_back(&list[first->incarnation]);
  const witness& taken = *chosen.front();
  std::erase_if(candidates, [&list, &taken](const controller_candidate& one) {
    return &list[one.incarnation] == &taken;
  });
  const auto is_near = [&taken](const controller_candidate& one) {
    return one.data_centre == taken.data_centre;
  };
  if (!std::all_of(candidates.begin(), candidates.end(), is_near)) {
    std::erase_if(candidates, is_near);
  }
  const controller_candidate* const second = ChooseController(candidates, job);
  if (second != nullptr) {
    chosen.push_back(&list[second->incarnation]);
  }
  return chosen;
}

void FollowHandovers(engine& state, const witness_list& before, instant now) {
  const seat_map earlier = MapSeats(before);
  const seat_map seats = MapSeats(state.witnesses.list);
  const std::string& self = state.self.name;
  std::erase_if(state.witnesses.taken, [&](const auto& entry) {
    const auto at = seats.find(entry.first);
    return at == seats.end() || at->second.name != self;
  });
  if (before.version == 0) {
    for (const auto& [name, seat] : seats) {
      // It may have been given to this process, or to one before it.
      if (seat.name == self && seat.handovers > 0) {
        TakeSeat(state, seat, now);
      }
    }
    return;
  }
  for (const auto& [name, seat] : seats) {
    const auto at = earlier.find(name);
    if (at == earlier.end() || at->second.handovers == seat.handovers) {
      continue;
    }
    if (seat.name == self) {
      TakeSeat(state, seat, now);
    } else if (at->second.name == self) {
      GiveSeat(state, seat, now);
    }
    NoteSeated(state, seat.name, now);
  }
}

void OnSeatHandover(engine& state, const seat_handover& handover) {
  state.witnesses.told[handover.seat] = handover.number;
  const auto taken = state.witnesses.taken.find(handover.seat);
  if (taken != state.witnesses.taken.end() && !taken->second.told &&
      taken->second.number == handover.number) {
    taken->second.told = true;
    ++state.counts.seats_told;
    log_line line("seat_told");
    line.With("seat", handover.seat)
        .With("number", static_cast<int64_t>(handover.number));
    AddLogLine(state, line);
  }
}

void TickHandovers(engine& state, instant now) {
  for (given_seat& one : state.witnesses.given) {
    const uint64_t to = FindWitness(state, one.to);
    if (now < one.next || to == 0) {
      continue;
    }
    one.next = now + kTellInterval;
    --one.tells_left;
    for (const auto& [job, record] : state.job_claims) {
      if (record.outcome == claim_outcome::kGranted && now < record.until &&
          IsSeatOf(state, one.handover.seat, job)) {
        TellClaim(state, to, job, record, now);
      }
    }
    SendTo(state, to, one.handover);
  }
  std::erase_if(state.witnesses.given, [&state, now](const given_seat& one) {
    return one.tells_left == 0 || now - one.next >= state.options.claim_memory;
  });
}

seat_knowledge KnowledgeOf(const engine& state, const std::string& job,
                           instant now) {
  seat_knowledge known = seat_knowledge::kNone;
  for (const auto* list :
       {&state.witnesses.list.witnesses, &state.witnesses.list.former}) {
    for (const witness* const one : ChooseSeats(*list, job)) {
      if (one->name != state.self.name) {
        continue;
      }
      if (!KnowsSeat(state, SeatOf(*one), now)) {
        return seat_knowledge::kPartial;
      }
      known = seat_knowledge::kFull;
    }
  }
  return known;
}

std::optional<witness_list> PlanHandovers(const engine& state, instant now) {
  near_seats found = ListNearSeats(state);
  size_t missing = 0;
  for (const auto& [seat, one] : found.seats) {
    missing += MissingFor(state, one.name, now).count() > 0 ? 1 : 0;
  }
  // An entry that hears few of the others may be the one that is cut off.
  const bool may_judge =
      HearsMostWitnesses(state) || found.unseated.size() >= missing;
  witness_list planned = state.witnesses.list;
  bool changed = false;
  for (const auto& [seat, one] : found.seats) {
    const milliseconds absence = MissingFor(state, one.name, now);
    const bool has_left = HasLeftFleet(state, one.name);
    const bool is_absent = may_judge && absence >= state.options.seat_absence;
    const bool is_gone = has_left
                             ? absence >= state.options.witness_settling
                             : may_judge && !planned.former.empty() &&
                                   absence >= state.options.witness_absence;
    std::string next;
    if (has_left || is_absent) {
      next = TakeFree(found.unseated);
    }
    if (next.empty() && is_gone) {
      next = FindLeastSeated(found.near, found.counts);
    }
    if (!next.empty()) {
      ++found.counts[next];
      AssignSeat(planned, seat, next);
      changed = true;
    }
  }
  return changed ? std::optional(std::move(planned)) : std::nullopt;
}

std::optional<witness_list> PlanRebalance(const engine& state) {
  near_seats found = ListNearSeats(state);
  for (const auto& [seat, one] : found.seats) {
    if (found.counts[one.name] > 1 && found.near.contains(one.name) &&
        !found.unseated.empty()) {
      witness_list planned = state.witnesses.list;
      AssignSeat(planned, seat, TakeFree(found.unseated));
      return planned;
    }
  }
  return std::nullopt;
}

void TickSuccession(engine& state, instant now) {
  witness_table& table = state.witnesses;
  if (!state.leaving) {
    return;
  }
  if (!table.leaving_since) {
    table.leaving_since = now;
  }
  const bool is_telling = std::any_of(
      table.given.begin(), table.given.end(),
      [](const given_seat& one) { return one.tells_left == kHandoverTells; });
  const bool has_successor = IsListedWitness(state, state.self.name) &&
                             !ListNearSeats(state).unseated.empty();
  table.awaits_successor =
      now - *table.leaving_since < state.options.seat_handover_wait &&
      (is_telling || has_successor);
}

}  // namespace tarragondrift::fleet
