#include "tarragondrift/fleet/worker_list_cmd.h"

#include <string>
#include <vector>

#include "tarragondrift/fleet/contact_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Removes the workers that the complete list does not have.
void RemoveToldWorkers(engine& state, instant now) {
  std::vector<std::string> missing;
  for (const auto& [id, one] : state.workers) {
    if (one.told_by_peer) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    RemoveWorkerListing(state, id, now);
  }
}

}  // namespace

void UpdateWorkersRequest(engine& state, instant now) {
  if (!NeedsWorkerList(state) || state.workers_listed ||
      IsOff(state.options.without, mechanism::kWorkersFromPeers)) {
    if (state.workers_listed && state.workers_told) {
      RemoveToldWorkers(state, now);
      state.workers_told = false;
    }
    state.workers_missing_since.reset();
    state.requests_workers = false;
    return;
  }
  if (!state.workers_missing_since) {
    state.workers_missing_since = now;
  }
  const bool due =
      now - *state.workers_missing_since >= state.options.workers_request_delay;
  if (due && !state.requests_workers) {
    state.requests_workers = true;
    AnnounceChange(state, announcement::kToCandidates);
    log_line line("workers_requested");
    line.With("missing_ms", std::chrono::floor<milliseconds>(
                                now - *state.workers_missing_since)
                                .count())
        .With("known", static_cast<int64_t>(state.workers.size()));
    AddLogLine(state, line, true);
  }
}

void TellControlledWorkers(engine& state, peer& one, instant now) {
  if (now - one.told_workers < state.options.workers_request_interval) {
    return;
  }
  controlled_workers told;
  for (const auto& [id, known] : state.workers) {
    if (IsControlled(known) && known.listed &&
        known.listing.data_centre == one.identity.data_centre) {
      told.workers.push_back(known.listing);
      told.workers.back().boot_time_ms = known.described_boot_time_ms;
    }
  }
  if (told.workers.empty()) {
    return;
  }
  one.told_workers = now;
  log_line line("workers_told");
  line.With("peer", one.identity.name)
      .With("workers", static_cast<int64_t>(told.workers.size()));
  AddLogLine(state, line);
  SendTo(state, one.identity.incarnation, std::move(told));
}

void OnControlledWorkers(engine& state, const controlled_workers& told,
                         instant now) {
  if (state.workers_listed) {
    return;
  }
  for (const worker_listing& listing : told.workers) {
    const auto known = state.workers.find(listing.id);
    if (listing.id.empty() ||
        (known != state.workers.end() && IsControlled(known->second))) {
      continue;
    }
    UpdateWorkerListing(state, listing, now);
    state.workers.at(listing.id).told_by_peer = true;
  }
  state.workers_told = true;
  state.next_control = now;
}

bool KnowsWorkers(const engine& state) {
  return state.workers_listed || state.workers_told;
}

}  // namespace tarragondrift::fleet
