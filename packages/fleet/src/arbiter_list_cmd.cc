#include "tarragondrift/fleet/arbiter_list_cmd.h"

#include <algorithm>

#include "tarragondrift/fleet/contact_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

bool IsSettled(const engine& state, instant since, instant now) {
  return now - since >= state.options.arbiter_settling;
}

/// Whether this entry has been in touch with other candidates for a while.
bool IsSettledCandidate(const engine& state, instant now) {
  return state.candidate &&
         IsSettled(
             state,
             std::max({state.started, state.candidate_since, state.rejoined}),
             now);
}

}  // namespace

bool MayArbitrate(const peer& one) {
  return !one.silent && one.contact && one.announced_candidate &&
         one.decides_claims;
}

bool IsListening(const engine& state, instant now) {
  const bool was_paused = state.listening_since > state.started;
  const instant since = std::max(was_paused ? state.listening_since : instant{},
                                 state.reconnected.value_or(instant{}));
  return now - since < state.options.claim_listening &&
         std::none_of(state.peers.begin(), state.peers.end(),
                      [](const auto& entry) {
                        return MayArbitrate(entry.second) &&
                               !entry.second.leaving;
                      }) &&
         std::any_of(state.peers.begin(), state.peers.end(),
                     [](const auto& entry) { return entry.second.ever_heard; });
}

std::vector<controller_candidate> ListRelays(
    const engine& state, const std::vector<uint64_t>& excluded) {
  std::vector<controller_candidate> witnesses;
  std::vector<controller_candidate> leaving;
  std::vector<controller_candidate> near;
  std::vector<controller_candidate> far;
  for (const auto& [incarnation, one] : state.peers) {
    const bool is_excluded = std::find(excluded.begin(), excluded.end(),
                                       incarnation) != excluded.end();
    if (!MayArbitrate(one) || is_excluded) {
      continue;
    }
    const controller_candidate candidate = MakeCandidate(state, one.identity);
    const bool is_near = one.identity.data_centre == state.self.data_centre;
    if (is_near && IsListedWitness(state, one.identity.name)) {
      (one.leaving ? leaving : witnesses).push_back(candidate);
    }
    if (!one.leaving) {
      (is_near ? near : far).push_back(candidate);
    }
  }
  if (witnesses.size() == 1) {
    // One alone cannot relay the claims of all entries of its data centre.
    witnesses.insert(witnesses.end(), leaving.begin(), leaving.end());
  }
  if (!witnesses.empty()) {
    return witnesses;
  }
  return near.empty() ? far : near;
}

bool ClaimsByRelay(const engine& state, instant now) {
  // The witnesses of a data centre that is cut off have to know its claims.
  return !state.candidate || ((!IsSettledCandidate(state, now) ||
                               !IsListedWitness(state, state.self.name)) &&
                              !ListRelays(state, {}).empty());
}

uint64_t ChooseRelay(const engine& state, const std::string& job,
                     const std::vector<uint64_t>& excluded) {
  const std::vector<controller_candidate> relays = ListRelays(state, excluded);
  const controller_candidate* const chosen = ChooseController(relays, job);
  return chosen == nullptr ? 0 : chosen->incarnation;
}

}  // namespace tarragondrift::fleet
