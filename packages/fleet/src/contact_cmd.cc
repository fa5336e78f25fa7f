#include "tarragondrift/fleet/contact_cmd.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Whether a peer may be alive. A peer that is not a contact is taken to be
/// alive until it has been given the time to answer.
bool MayBeAlive(const engine& state, const peer& one, instant now) {
  if (one.leaving || one.withdrawn || one.superseded) {
    return false;
  }
  if (!one.silent || !one.contact) {
    return true;
  }
  const instant asked = std::max(one.contact_since, state.listening_since);
  return now - asked < state.options.first_message_timeout &&
         (!one.ever_heard || asked > one.last_heard);
}

using candidates_by_data_centre =
    std::map<std::string, std::vector<controller_candidate>>;

/// Lists the entries that may be alive by data centre.
candidates_by_data_centre ListEntries(const engine& state, instant now) {
  candidates_by_data_centre found;
  if (!state.leaving) {
    found[state.self.data_centre].push_back(MakeCandidate(state, state.self));
  }
  for (const auto& [incarnation, one] : state.peers) {
    if (MayBeAlive(state, one, now)) {
      found[one.identity.data_centre].push_back(
          MakeCandidate(state, one.identity));
    }
  }
  return found;
}

std::map<std::string, size_t> CountWorkers(const engine& state) {
  std::map<std::string, size_t> counts;
  for (const auto& [id, one] : state.workers) {
    counts[one.listing.data_centre] += one.listed ? 1 : 0;
  }
  return counts;
}

/// Returns the controllers of other data centres that this entry keeps in touch
/// with. Each entry draws its own, so that they are spread over its peers.
std::set<uint64_t> ChooseRemoteContacts(
    const engine& state, const candidates_by_data_centre& controllers) {
  std::vector<controller_candidate> remote;
  for (const auto& [data_centre, entries] : controllers) {
    if (data_centre != state.self.data_centre) {
      remote.insert(remote.end(), entries.begin(), entries.end());
    }
  }
  std::set<uint64_t> chosen;
  while (chosen.size() < state.options.remote_contacts && !remote.empty()) {
    const controller_candidate* const best =
        ChooseController(remote, state.self.name);
    chosen.insert(best->incarnation);
    // The next ones are of other data centres, as long as there are any.
    const std::string taken = best->data_centre;
    std::vector<controller_candidate> others;
    std::copy_if(remote.begin(), remote.end(), std::back_inserter(others),
                 [&taken](const controller_candidate& one) {
                   return one.data_centre != taken;
                 });
    remote = std::move(others);
  }
  return chosen;
}

void MakeContact(peer& one, instant now) {
  one.contact = true;
  one.contact_since = now;
  one.heartbeat_due = true;
}

/// Logs that this entry becomes a candidate or is none any more, and what it
/// controls then.
void LogCandidate(engine& state, bool candidate) {
  size_t controlled = 0;
  size_t runs = 0;
  for (const auto& [id, one] : state.ticked_workers) {
    controlled += IsControlled(*one) ? 1 : 0;
    runs += one->runs.size();
  }
  log_line line("candidate_changed");
  line.With("candidate", candidate ? "yes" : "no")
      .With("leaving", state.leaving ? "yes" : "no")
      .With("workers", static_cast<int64_t>(controlled))
      .With("runs", static_cast<int64_t>(runs));
  AddLogLine(state, line);
}

/// Whether this entry controls workers, or may still have runs on workers that
/// it controlled.
bool MayRunTasks(const engine& state) {
  return std::any_of(state.ticked_workers.begin(), state.ticked_workers.end(),
                     [](const auto& entry) {
                       return IsControlled(*entry.second) ||
                              !entry.second->runs.empty();
                     });
}

void SetCandidate(engine& state, bool candidate, instant now) {
  if (candidate != state.candidate) {
    LogCandidate(state, candidate);
    // Until others know, they do not relay claims through this entry.
    AnnounceChange(state, announcement::kToAllContacts);
  }
  if (candidate && !state.candidate) {
    state.candidate_since = now;
  }
  state.candidate = candidate;
}

void UseFullMesh(engine& state, instant now) {
  SetCandidate(state, true, now);
  state.candidates = state.peers.size() + 1;
  state.contacts = state.peers.size();
  for (auto& [incarnation, one] : state.peers) {
    one.candidate = true;
    one.wanted = true;
    if (!one.contact) {
      MakeContact(one, now);
    }
  }
}

/// Returns the incarnations of the entries in a list of candidates.
std::set<uint64_t> IncarnationsOf(const candidates_by_data_centre& lists) {
  std::set<uint64_t> found;
  for (const auto& [data_centre, entries] : lists) {
    for (const controller_candidate& one : entries) {
      found.insert(one.incarnation);
    }
  }
  return found;
}

/// Begins or ends the contact with a peer.
void ApplyContactChoice(peer& one, instant now) {
  if (one.wanted || one.requests_contact || one.origin_since) {
    if (!one.contact) {
      MakeContact(one, now);
    }
    return;
  }
  if (!one.contact) {
    return;
  }
  if (one.announced_wanted) {
    // The peer learns first that its heartbeats are no longer needed.
    one.heartbeat_due = true;
  } else if (!one.in_flight) {
    DropContact(one);
  }
}

}  // namespace

bool IsFullMesh(const engine& state) {
  return state.peers.size() <= state.options.max_full_mesh_peers ||
         IsOff(state.options.without, mechanism::kContactsByRole);
}

controller_candidate MakeCandidate(const engine& state,
                                   const entry_identity& entry) {
  constexpr uint32_t kMilliPerCore = 1'000;
  return {.incarnation = entry.incarnation,
          .name = entry.name,
          .data_centre = entry.data_centre,
          .worker_capacity =
              std::max(1U, entry.cpu_milli * state.options.workers_per_core /
                               kMilliPerCore)};
}

void UpdateContacts(engine& state, instant now) {
  constexpr milliseconds kChoiceInterval{500};
  if (now < state.next_contact_choice) {
    return;
  }
  state.next_contact_choice = now + kChoiceInterval;
  if (IsFullMesh(state)) {
    UseFullMesh(state, now);
    return;
  }
  const std::map<std::string, size_t> workers = CountWorkers(state);
  candidates_by_data_centre controllers;
  candidates_by_data_centre candidates;
  for (const auto& [data_centre, entries] : ListEntries(state, now)) {
    const auto count = workers.find(data_centre);
    const size_t own_workers = count == workers.end() ? 0 : count->second;
    controllers[data_centre] =
        ChooseControllers(entries, data_centre, own_workers);
    candidates[data_centre] = ChooseCandidates(
        entries, data_centre, own_workers, state.options.standby_controllers);
  }
  const std::set<uint64_t> all_candidates = IncarnationsOf(candidates);
  state.candidates = all_candidates.size();
  // Rounds of repeated submissions ask candidates only.
  SetCandidate(state,
               all_candidates.contains(state.self.incarnation) ||
                   IsListedWitness(state, state.self.name) ||
                   MayRunTasks(state),
               now);
  const std::set<uint64_t> remote =
      state.candidate ? std::set<uint64_t>{}
                      : ChooseRemoteContacts(state, controllers);
  state.contacts = 0;
  for (auto& [incarnation, one] : state.peers) {
    // A contact that failed is kept, so that it is found again when a network
    // partition heals.
    if (!(one.contact && one.silent && one.ever_heard)) {
      const bool local = one.identity.data_centre == state.self.data_centre;
      one.candidate =
          one.announced_candidate || all_candidates.contains(incarnation) ||
          (!one.superseded && IsListedWitness(state, one.identity.name));
      one.wanted = (one.candidate && (local || state.candidate)) ||
                   remote.contains(incarnation) || one.holds_parts_since;
      ApplyContactChoice(one, now);
    }
    state.contacts += one.contact ? 1 : 0;
  }
}

std::chrono::milliseconds HeartbeatInterval(const engine& state,
                                            const peer& to) {
  const milliseconds base = state.options.heartbeat_interval;
  if (IsFullMesh(state)) {
    return base;
  }
  const auto per_base = static_cast<int64_t>(state.options.max_full_mesh_peers);
  if (state.candidate && to.candidate) {
    return std::max(base,
                    base * static_cast<int64_t>(state.candidates) / per_base);
  }
  const auto factor =
      static_cast<int64_t>(state.options.origin_heartbeat_factor);
  return std::max(base * factor, base * static_cast<int64_t>(state.contacts) /
                                     (per_base * factor));
}

void DropContact(peer& one) {
  one.contact = false;
  one.requests_contact = false;
  one.announced_candidate = false;
  one.last_delivery_lost = false;
  one.silent = true;
  one.ever_heard = false;
  one.unacknowledged_since.reset();
  ++one.stream_out;
  one.outbox.clear();
  one.outbox_due = false;
  one.job_claims_lost = true;
  one.missed_cancels_queued = false;
  one.missed_cancels_since =
      one.missed_cancels_since.value_or(one.last_acknowledged);
}

bool NeedsWorkerList(const engine& state) {
  return state.candidate ||
         std::any_of(
             state.ticked_workers.begin(), state.ticked_workers.end(),
             [](const auto& entry) { return IsControlled(*entry.second); });
}

}  // namespace tarragondrift::fleet
