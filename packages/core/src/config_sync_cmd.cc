#include "tarragondrift/core/config_sync_cmd.h"

#include <algorithm>
#include <string>

#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift {
namespace {

/// Returns the addresses of live peers that have at least a version: those of
/// this data centre or, when there are none, those of the others.
std::vector<std::string> FindSources(const membership& members,
                                     uint64_t version, instant now) {
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const auto& [who, other] : members.peers) {
    if (other.last.config_version < version || !IsLive(members, other, now)) {
      continue;
    }
    const bool is_local = other.last.data_centre == members.options.data_centre;
    (is_local ? local : remote).push_back(other.last.address);
  }
  return local.empty() ? remote : local;
}

/// Chooses the source of the next fetch. The table comes first, since it
/// spreads the load evenly. After that, peers and the table alternate; the own
/// incarnation selects the first peer, so that entries start at different ones.
config_request ChooseSource(const config_sync& state, const membership& members,
                            instant now) {
  const std::vector<std::string> sources =
      FindSources(members, state.wanted, now);
  const bool use_platform = state.fetches % 2 == 0;
  if (use_platform || sources.empty()) {
    return config_request{.kind = config_request_kind::kFetchFromPlatform,
                          .version = state.wanted};
  }
  const uint64_t position = state.fetches / 2 + members.options.self.value;
  return config_request{.kind = config_request_kind::kFetchFromPeer,
                        .version = state.wanted,
                        .address = sources[position % sources.size()]};
}

/// Whether every known entry of this data centre has been heard.
bool HasHeardAllLocalPeers(const membership& members) {
  return std::all_of(
      members.peers.begin(), members.peers.end(), [&](const auto& item) {
        const peer& other = item.second;
        return other.last.data_centre != members.options.data_centre ||
               other.ever_heard;
      });
}

/// Whether a new entry has confirmed that its configuration is current enough
/// to serve.
bool HasSettled(const config_sync& state, const membership& members,
                instant now) {
  if (state.in_force == 0 || state.in_force < state.wanted) {
    return false;
  }
  const auto age = now - state.started;
  if (age < state.options.min_settle_time) {
    return false;
  }
  const bool confirmed =
      state.platform_answered && HasHeardAllLocalPeers(members);
  return confirmed || age >= state.options.max_settle_time;
}

/// Returns the time until the next read of the head row.
std::chrono::milliseconds PollInterval(const config_sync& state,
                                       const membership& members, instant now) {
  const bool polls_often = !state.may_serve || IsSpeaker(members, now);
  return polls_often ? state.options.poll_interval
                     : state.options.backup_poll_interval;
}

/// Returns the status of another entry.
entry_config_status DescribePeer(const membership& members, const peer& other,
                                 instant now) {
  const auto silent =
      other.ever_heard ? now - other.last_heard : instant::duration{};
  return entry_config_status{
      .who = other.last.from,
      .address = other.last.address,
      .version = other.last.config_version,
      .reachable = IsLive(members, other, now),
      .silent_for =
          std::chrono::duration_cast<std::chrono::milliseconds>(silent)};
}

/// Derives the status of a data centre from that of its entries.
void SummariseDataCentre(data_centre_config_status& centre, uint64_t accepted) {
  uint64_t last_reported = 0;
  for (const entry_config_status& entry : centre.entries) {
    last_reported = std::max(last_reported, entry.version);
    if (!entry.reachable) {
      continue;
    }
    centre.version = centre.reachable ? std::min(centre.version, entry.version)
                                      : entry.version;
    centre.reachable = true;
  }
  if (!centre.reachable) {
    centre.version = last_reported;
  }
  centre.up_to_date = centre.reachable && centre.version >= accepted;
}

}  // namespace

config_sync MakeConfigSync(const config_sync_options& options, instant now) {
  return config_sync{.options = options, .started = now};
}

std::vector<config_request> TickConfigSync(config_sync& state,
                                           const membership& members,
                                           instant now) {
  std::vector<config_request> out;
  state.wanted = std::max(state.wanted, HighestPeerConfig(members));
  if (now >= state.next_poll) {
    out.push_back(config_request{.kind = config_request_kind::kPollHead,
                                 .version = state.wanted});
    state.next_poll = now + PollInterval(state, members, now);
  }
  if (state.in_force < state.wanted && now >= state.next_fetch) {
    out.push_back(ChooseSource(state, members, now));
    ++state.fetches;
    state.next_fetch = now + state.options.fetch_interval;
  }
  state.may_serve = state.may_serve || HasSettled(state, members, now);
  return out;
}

void OnConfigPollResult(config_sync& state, std::optional<uint64_t> version) {
  if (version.has_value()) {
    state.platform_answered = true;
    state.wanted = std::max(state.wanted, *version);
  }
}

bool OnConfigFetchResult(config_sync& state, uint64_t version) {
  if (version <= state.in_force) {
    return false;
  }
  state.in_force = version;
  state.wanted = std::max(state.wanted, version);
  if (state.in_force == state.wanted) {
    state.fetches = 0;
    state.next_fetch = instant{};
  }
  return true;
}

config_status DescribeConfigStatus(const config_sync& state,
                                   const membership& members,
                                   std::span<const uint16_t> data_centres,
                                   instant now) {
  config_status status{.accepted = state.wanted};
  for (const uint16_t data_centre : data_centres) {
    data_centre_config_status centre{.data_centre = data_centre};
    if (data_centre == members.options.data_centre) {
      centre.entries.push_back(
          entry_config_status{.who = members.options.self,
                              .address = members.options.address,
                              .version = state.in_force,
                              .reachable = true});
    }
    for (const auto& [who, other] : members.peers) {
      if (other.last.data_centre == data_centre) {
        centre.entries.push_back(DescribePeer(members, other, now));
      }
    }
    SummariseDataCentre(centre, status.accepted);
    status.data_centres.push_back(std::move(centre));
  }
  return status;
}

}  // namespace tarragondrift
