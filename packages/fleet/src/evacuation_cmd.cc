#include "tarragondrift/fleet/evacuation_cmd.h"

#include <algorithm>
#include <cctype>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/return_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Limits of what is kept: more data centres or longer names than any
/// deployment has are an operator's mistake.
constexpr size_t kMaxEvacuated = 64;
constexpr size_t kMaxNameBytes = 200;

/// Names appear in log lines and metric labels, which blanks, quotes and
/// control characters would break.
bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char one) {
           return std::isgraph(one) != 0 && one != '"' && one != '\\';
         });
}

std::set<std::string> EvacuatedNames(const engine& state) {
  std::set<std::string> names;
  for (const auto& [name, since] : state.evacuations.since) {
    names.insert(name);
  }
  return names;
}

/// Whether an entry or a listed worker is known in a data centre.
bool IsKnown(const engine& state, const std::string& data_centre) {
  return state.self.data_centre == data_centre ||
         std::any_of(state.workers.begin(), state.workers.end(),
                     [&](const auto& entry) {
                       return entry.second.listing.data_centre == data_centre;
                     }) ||
         std::any_of(state.peers.begin(), state.peers.end(),
                     [&](const auto& entry) {
                       return entry.second.identity.data_centre == data_centre;
                     });
}

void LogChange(engine& state, const char* event, const std::string& data_centre,
               evacuation_source source) {
  size_t workers = 0;
  size_t runs = 0;
  for (const auto& [id, one] : state.workers) {
    if (one.listing.data_centre == data_centre) {
      ++workers;
      runs += one.runs.size();
    }
  }
  log_line line(event);
  line.With("data_centre", data_centre)
      .With("version", static_cast<int64_t>(state.evacuations.version))
      .With("source", source == evacuation_source::kStore ? "store" : "peer")
      .With("known", IsKnown(state, data_centre) ? "yes" : "no")
      .With("workers", static_cast<int64_t>(workers))
      .With("runs", static_cast<int64_t>(runs))
      .With("queued", static_cast<int64_t>(state.queue.size()));
  AddLogLine(state, line, true);
}

/// Workers that come back into service may have become slow: each gets one run
/// at a time until one has succeeded.
void PutOnProbation(engine& state, const std::string& data_centre) {
  for (auto& [id, one] : state.workers) {
    if (one.listing.data_centre == data_centre) {
      one.on_probation = true;
    }
  }
}

/// Drops names that cannot be used.
std::set<std::string> UsableNames(engine& state,
                                  const evacuation_snapshot& snapshot) {
  std::set<std::string> usable;
  for (const std::string& name : snapshot.data_centres) {
    if (IsValidName(name) && usable.size() < kMaxEvacuated) {
      usable.insert(name);
      continue;
    }
    log_line line("evacuation_ignored");
    line.With("name_bytes", static_cast<int64_t>(name.size()))
        .With("cause", IsValidName(name) ? "too_many" : "invalid_name");
    AddLogLine(state, line, true);
  }
  return usable;
}

}  // namespace

bool ApplyEvacuations(engine& state, const evacuation_snapshot& snapshot,
                      evacuation_source source, instant now) {
  evacuation_table& table = state.evacuations;
  const std::set<std::string> wanted = UsableNames(state, snapshot);
  if (snapshot.version <= table.version) {
    if (snapshot.version > table.announced_version) {
      // A sender with another set does not know of a later change.
      table.announced_version =
          wanted == EvacuatedNames(state) ? snapshot.version : table.version;
    }
    return false;
  }
  table.version = snapshot.version;
  bool changed = false;
  for (auto at = table.since.begin(); at != table.since.end();) {
    if (wanted.contains(at->first)) {
      ++at;
      continue;
    }
    const std::string name = at->first;
    at = table.since.erase(at);
    PutOnProbation(state, name);
    LogChange(state, "data_centre_restored", name, source);
    changed = true;
  }
  for (const std::string& name : wanted) {
    if (table.since.try_emplace(name, now).second) {
      LogChange(state, "data_centre_evacuated", name, source);
      changed = true;
    }
  }
  if (changed || table.announced_version > 0) {
    table.announced_version = table.version;
  }
  if (changed) {
    AnnounceChange(state, announcement::kToAllContacts);
    ReturnQueuedTasks(state, now);
    state.dispatch_due = true;
  }
  return changed;
}

void ConfirmEvacuations(engine& state, const evacuation_snapshot& snapshot,
                        instant now) {
  if (snapshot.version <= state.evacuations.version) {
    return;
  }
  if (snapshot.data_centres == EvacuatedNames(state)) {
    state.evacuations.version = snapshot.version;
  } else {
    ApplyEvacuations(state, snapshot, evacuation_source::kStore, now);
  }
}

evacuation_snapshot CurrentEvacuations(const engine& state) {
  return {.version = state.evacuations.announced_version,
          .data_centres = EvacuatedNames(state)};
}

bool IsEvacuated(const engine& state, const std::string& data_centre) {
  return state.evacuations.since.contains(data_centre);
}

bool IsLoadOutdated(const engine& state, const peer& one) {
  const auto at = state.evacuations.since.find(one.identity.data_centre);
  return at != state.evacuations.since.end() && one.load_received <= at->second;
}

}  // namespace tarragondrift::fleet
