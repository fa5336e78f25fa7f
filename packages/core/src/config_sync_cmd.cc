#include "tarragondrift/core/config_sync_cmd.h"

#include <algorithm>
#include <string>

#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift {
namespace {

/// Lists live peers that have a version, those of this data centre first.
std::vector<std::string> FindSources(const membership& members,
                                     uint64_t version, instant now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [who, other] : members.peers) {
    if (other.last.config_version < version || !IsLive(members, other, now)) {
      continue;
    }
    const bool is_near = other.last.data_centre == members.options.data_centre;
    (is_near ? near : far).push_back(other.last.address);
  }
  return near.empty() ? far : near;
}

/// Chooses the source of the next fetch. The table comes first: it spreads the
/// load evenly. Then peers and table take turns, each entry beginning with
/// another peer.
config_request ChooseSource(const config_sync& state, const membership& members,
                            instant now) {
  const std::vector<std::string> sources =
      FindSources(members, state.wanted, now);
  const bool platform = state.fetches % 2 == 0;
  if (platform || sources.empty()) {
    return config_request{.kind = config_request_kind::kFetchFromPlatform,
                          .version = state.wanted};
  }
  const uint64_t turn = state.fetches / 2 + members.options.self.value;
  return config_request{.kind = config_request_kind::kFetchFromPeer,
                        .version = state.wanted,
                        .address = sources[turn % sources.size()]};
}

/// Tells whether every known entry of this data centre was heard.
bool HeardAllNear(const membership& members) {
  return std::all_of(
      members.peers.begin(), members.peers.end(), [&](const auto& item) {
        const peer& other = item.second;
        return other.last.data_centre != members.options.data_centre ||
               other.ever_heard;
      });
}

/// Tells whether a fresh entry knows enough to serve.
bool HasSettled(const config_sync& state, const membership& members,
                instant now) {
  if (state.in_force == 0 || state.in_force < state.wanted) {
    return false;
  }
  const auto age = now - state.started;
  if (age < state.options.settle_least) {
    return false;
  }
  const bool heard_all = state.platform_answered && HeardAllNear(members);
  return heard_all || age >= state.options.settle_most;
}

/// Gives the time to the next read of the head row.
std::chrono::milliseconds PollInterval(const config_sync& state,
                                       const membership& members, instant now) {
  const bool polls = !state.may_serve || IsSpeaker(members, now);
  return polls ? state.options.poll_interval
               : state.options.backup_poll_interval;
}

/// Describes one other entry.
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

/// Sums up a data centre from its entries.
void SumUp(data_centre_config_status& there, uint64_t accepted) {
  uint64_t last = 0;
  for (const entry_config_status& entry : there.entries) {
    last = std::max(last, entry.version);
    if (!entry.reachable) {
      continue;
    }
    there.version = there.reachable ? std::min(there.version, entry.version)
                                    : entry.version;
    there.reachable = true;
  }
  if (!there.reachable) {
    there.version = last;
  }
  there.up_to_date = there.reachable && there.version >= accepted;
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
    data_centre_config_status there{.data_centre = data_centre};
    if (data_centre == members.options.data_centre) {
      there.entries.push_back(
          entry_config_status{.who = members.options.self,
                              .address = members.options.address,
                              .version = state.in_force,
                              .reachable = true});
    }
    for (const auto& [who, other] : members.peers) {
      if (other.last.data_centre == data_centre) {
        there.entries.push_back(DescribePeer(members, other, now));
      }
    }
    SumUp(there, status.accepted);
    status.data_centres.push_back(std::move(there));
  }
  return status;
}

}  // namespace tarragondrift
