#include "tarragondrift/core/membership_cmd.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tarragondrift {
namespace {

/// Number of heartbeats that relay a new or changed remote entry ahead of the
/// others.
constexpr uint32_t kUrgentRelays = 3;
/// Heartbeat rounds between two removals of silent peers.
constexpr uint64_t kRemoveSilentPeersEveryRounds = 64;

bool IsLocal(const membership& state, const heartbeat& message) {
  return message.data_centre == state.options.data_centre;
}

/// How long after its last direct heartbeat an entry of another data centre
/// counts as the speaker of its data centre.
std::chrono::milliseconds RemoteContactLimit(const membership& state) {
  constexpr int kMissedHeartbeats = 3;
  return kMissedHeartbeats * state.options.remote_heartbeat_interval;
}

/// Whether the heartbeat of a remote entry has to be relayed at once, because
/// the entry is new or its stage or address has changed.
bool IsUrgent(const peer& known, const heartbeat& message) {
  return !known.ever_heard || known.last.stage != message.stage ||
         known.last.address != message.address;
}

/// How a heartbeat reached this entry.
struct heartbeat_route {
  /// Received from the entry itself, not relayed.
  bool direct = false;
  /// The entry that sent or relayed it is in another data centre.
  bool from_remote = false;
};

/// Handles one heartbeat without those that it relays.
void ApplyHeartbeat(membership& state, const heartbeat& message,
                    heartbeat_route route, instant now) {
  if (message.from == state.options.self) {
    return;
  }
  peer& known = state.peers[message.from];
  if (known.ever_heard && message.number < known.last.number) {
    return;
  }
  if (route.direct) {
    known.last_heard_directly = now;
    known.ever_heard_directly = true;
  }
  if (known.ever_heard && message.number == known.last.number) {
    return;
  }
  if (route.from_remote && !IsLocal(state, message) &&
      IsUrgent(known, message)) {
    known.urgent_relays = kUrgentRelays;
  }
  // A peer's version never decreases, even if a faulty sender reports a lower
  // one.
  const uint64_t version =
      std::max(known.last.config_version, message.config_version);
  known.last = message;
  known.last.config_version = version;
  state.highest_config = std::max(state.highest_config, version);
  known.last.relayed.clear();
  known.last_heard = now;
  known.ever_heard = true;
}

/// Returns a copy of a heartbeat without the fields that only the sender's data
/// centre needs.
heartbeat Summarise(const heartbeat& message) {
  return heartbeat{.from = message.from,
                   .data_centre = message.data_centre,
                   .address = message.address,
                   .number = message.number,
                   .stage = message.stage,
                   .queued_tasks = message.queued_tasks,
                   .config_version = message.config_version};
}

/// Returns up to `max_count` elements in round-robin order from `cursor` on,
/// and advances the cursor.
template <class Element>
std::vector<Element> PickRoundRobin(const std::vector<Element>& all,
                                    size_t max_count, size_t& cursor) {
  if (all.size() <= max_count) {
    return all;
  }
  std::vector<Element> batch;
  for (size_t count = 0; count < max_count; ++count) {
    batch.push_back(all[(cursor + count) % all.size()]);
  }
  cursor = (cursor + max_count) % all.size();
  return batch;
}

/// Selects the slot reports for this round; instances with idle slots to lend
/// come before the others.
std::vector<slot_report> PickSlotReports(membership& state,
                                         const std::vector<slot_report>& all) {
  std::vector<slot_report> offers;
  std::vector<slot_report> others;
  for (const slot_report& report : all) {
    (report.idle > 0 ? offers : others).push_back(report);
  }
  const size_t max_count = state.options.max_slot_reports;
  std::vector<slot_report> picked =
      PickRoundRobin(offers, max_count, state.slot_cursor);
  if (picked.size() < max_count) {
    const auto rest =
        PickRoundRobin(others, max_count - picked.size(), state.slot_cursor);
    picked.insert(picked.end(), rest.begin(), rest.end());
  }
  return picked;
}

/// Selects the remote entries to relay within the data centre: urgent ones,
/// then the others in turn.
std::vector<heartbeat> PickRemoteReports(membership& state, instant now) {
  std::vector<heartbeat> urgent;
  std::vector<heartbeat> others;
  for (auto& [who, other] : state.peers) {
    const bool fresh = other.ever_heard && !IsLocal(state, other.last) &&
                       IsLive(state, other, now);
    if (!fresh) {
      continue;
    }
    if (other.urgent_relays > 0) {
      --other.urgent_relays;
      urgent.push_back(Summarise(other.last));
    } else {
      others.push_back(Summarise(other.last));
    }
  }
  const auto turns = PickRoundRobin(others, state.options.max_remote_reports,
                                    state.remote_cursor);
  urgent.insert(urgent.end(), turns.begin(), turns.end());
  return urgent;
}

/// Whether this entry receives heartbeats directly from other data centres.
bool HasRemoteContact(const membership& state, instant now) {
  return std::any_of(
      state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const peer& other = item.second;
        return other.ever_heard_directly && !IsLocal(state, other.last) &&
               now - other.last_heard_directly <= RemoteContactLimit(state);
      });
}

/// Returns the fields common to all heartbeats of this round, with a new
/// number.
heartbeat MakeHeader(membership& state, const heartbeat& self) {
  heartbeat header = Summarise(self);
  header.from = state.options.self;
  header.data_centre = state.options.data_centre;
  header.address = state.options.address;
  header.number = ++state.last_number;
  return header;
}

/// Adds a heartbeat to those to send and counts it as sent traffic.
void Send(membership& state, const std::string& address,
          const heartbeat& message, std::vector<heartbeat_target>& out) {
  ++state.sent.messages;
  state.sent.bytes += HeartbeatBytes(message);
  out.push_back(heartbeat_target{.address = address, .message = message});
}

/// Chooses a candidate to probe, in turn, starting with the one that was heard
/// or listed last.
const peer* PickProbeTarget(membership& state,
                            std::vector<const peer*> candidates) {
  if (candidates.empty()) {
    return nullptr;
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const peer* left, const peer* right) {
                     return std::max(left->last_heard, left->last_listed) >
                            std::max(right->last_heard, right->last_listed);
                   });
  return candidates[state.probe_cursor++ % candidates.size()];
}

/// Chooses, in turn, a seed address that no live peer has.
/// @return nullptr when there is none.
const std::string* PickSeed(membership& state, instant now) {
  std::vector<const std::string*> unheard;
  for (const std::string& seed : state.options.seeds) {
    const bool known = std::any_of(state.peers.begin(), state.peers.end(),
                                   [&](const auto& item) {
                                     return item.second.last.address == seed &&
                                            IsLive(state, item.second, now);
                                   });
    if (!known && seed != state.options.address) {
      unheard.push_back(&seed);
    }
  }
  return unheard.empty() ? nullptr
                         : unheard[state.seed_cursor++ % unheard.size()];
}

/// Sends heartbeats to the live entries of this data centre, to one silent
/// entry and to one seed.
void SendLocalHeartbeats(membership& state, const heartbeat& header,
                         const heartbeat& self, instant now,
                         std::vector<heartbeat_target>& out) {
  heartbeat message = header;
  message.slots = PickSlotReports(state, self.slots);
  message.leaving = self.leaving;
  if (message.leaving.size() > state.options.max_leaving_reports) {
    message.leaving.resize(state.options.max_leaving_reports);
  }
  if (HasRemoteContact(state, now)) {
    message.relayed = PickRemoteReports(state, now);
  }
  std::vector<const peer*> silent;
  for (const auto& [who, other] : state.peers) {
    if (!IsLocal(state, other.last)) {
      continue;
    }
    if (IsLive(state, other, now)) {
      Send(state, other.last.address, message, out);
    } else {
      silent.push_back(&other);
    }
  }
  if (const peer* const probed = PickProbeTarget(state, std::move(silent))) {
    Send(state, probed->last.address, message, out);
  }
  if (const std::string* const seed = PickSeed(state, now)) {
    Send(state, *seed, message, out);
  }
}

/// The known entries of one other data centre.
struct remote_contacts {
  /// The entry that last sent a heartbeat directly; nullptr when none has
  /// within the contact limit.
  const peer* speaker = nullptr;
  std::vector<const peer*> known_entries;
};

/// Groups the remote entries by data centre.
std::map<uint16_t, remote_contacts> FindRemoteContacts(const membership& state,
                                                       instant now) {
  std::map<uint16_t, remote_contacts> contacts;
  for (const auto& [who, other] : state.peers) {
    if (IsLocal(state, other.last)) {
      continue;
    }
    remote_contacts& centre_contacts = contacts[other.last.data_centre];
    const bool in_contact =
        other.ever_heard_directly &&
        now - other.last_heard_directly <= RemoteContactLimit(state);
    if (in_contact && (centre_contacts.speaker == nullptr ||
                       centre_contacts.speaker->last_heard_directly <
                           other.last_heard_directly)) {
      centre_contacts.speaker = &other;
    }
    centre_contacts.known_entries.push_back(&other);
  }
  return contacts;
}

/// Sends one heartbeat to each other data centre: to its speaker or, when none
/// is in contact, to its known entries in turn.
void SendRemoteHeartbeats(membership& state, const heartbeat& header,
                          instant now, std::vector<heartbeat_target>& out) {
  heartbeat message = header;
  for (const auto& [who, other] : state.peers) {
    if (IsLocal(state, other.last) && IsLive(state, other, now)) {
      message.relayed.push_back(Summarise(other.last));
    }
  }
  for (auto& [data_centre, contacts] : FindRemoteContacts(state, now)) {
    const peer* const target =
        contacts.speaker != nullptr
            ? contacts.speaker
            : PickProbeTarget(state, std::move(contacts.known_entries));
    Send(state, target->last.address, message, out);
  }
}

/// Removes silent entries of each data centre beyond max_silent_peers, those
/// that were heard or listed longest ago first.
void RemoveSilentPeers(membership& state, instant now) {
  std::map<uint16_t, std::vector<std::pair<instant, incarnation>>> silent;
  for (const auto& [who, other] : state.peers) {
    if (!IsLive(state, other, now)) {
      silent[other.last.data_centre].emplace_back(
          std::max(other.last_heard, other.last_listed), who);
    }
  }
  for (auto& [data_centre, entries] : silent) {
    std::sort(entries.rbegin(), entries.rend());
    for (size_t index = state.options.max_silent_peers; index < entries.size();
         ++index) {
      state.peers.erase(entries[index].second);
    }
  }
}

/// Whether a change of this entry has to be sent at once.
bool HasUrgentUpdate(const membership& state, const heartbeat& self) {
  return self.config_version != state.announced_config ||
         self.stage != state.stage;
}

}  // namespace

membership MakeMembership(const membership_options& options) {
  return membership{.options = options};
}

void LearnPeer(membership& state, incarnation who, uint16_t data_centre,
               const std::string& address, instant now) {
  if (who == state.options.self) {
    return;
  }
  peer& known = state.peers[who];
  known.last_listed = now;
  if (!known.ever_heard) {
    known.last.from = who;
    known.last.data_centre = data_centre;
    known.last.address = address;
  }
}

void ReceiveHeartbeat(membership& state, const heartbeat& message,
                      instant now) {
  ++state.received.messages;
  state.received.bytes += HeartbeatBytes(message);
  const bool from_remote = !IsLocal(state, message);
  ApplyHeartbeat(state, message,
                 heartbeat_route{.direct = true, .from_remote = from_remote},
                 now);
  for (const heartbeat& relayed : message.relayed) {
    ApplyHeartbeat(state, relayed, heartbeat_route{.from_remote = from_remote},
                   now);
  }
}

std::vector<heartbeat_target> TickMembership(membership& state,
                                             const heartbeat& self,
                                             instant now) {
  std::vector<heartbeat_target> out;
  const bool urgent = HasUrgentUpdate(state, self);
  const bool local_due = urgent || now >= state.next_heartbeat;
  const bool remote_due = urgent || now >= state.next_remote_heartbeat;
  if (!local_due && !remote_due) {
    return out;
  }
  state.stage = self.stage;
  state.announced_config = self.config_version;
  const heartbeat header = MakeHeader(state, self);
  if (local_due) {
    SendLocalHeartbeats(state, header, self, now, out);
    state.next_heartbeat = now + state.options.heartbeat_interval;
  }
  if (remote_due) {
    if (IsSpeaker(state, now)) {
      SendRemoteHeartbeats(state, header, now, out);
    }
    state.next_remote_heartbeat = now + state.options.remote_heartbeat_interval;
  }
  if (state.last_number % kRemoveSilentPeersEveryRounds == 0) {
    RemoveSilentPeers(state, now);
  }
  return out;
}

bool IsLive(const membership& state, const peer& other, instant now) {
  const auto limit = IsLocal(state, other.last)
                         ? state.options.silence_limit
                         : state.options.remote_silence_limit;
  return other.ever_heard && other.last.stage != entry_stage::kDrained &&
         now - other.last_heard <= limit;
}

bool IsSpeaker(const membership& state, instant now) {
  // Serving entries rank before stopping ones, then lower incarnations before
  // higher ones.
  const auto rank = [](entry_stage stage, incarnation who) {
    return std::pair(stage, who);
  };
  const auto own = rank(state.stage, state.options.self);
  return std::none_of(
      state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const peer& other = item.second;
        return IsLocal(state, other.last) && IsLive(state, other, now) &&
               rank(other.last.stage, item.first) < own;
      });
}

std::optional<std::string> FindPeerAddress(const membership& state,
                                           incarnation who) {
  const auto known = state.peers.find(who);
  if (known == state.peers.end()) {
    return std::nullopt;
  }
  const std::string& address = known->second.last.address;
  const bool replaced = std::any_of(
      state.peers.begin(), state.peers.end(), [&](const auto& item) {
        return item.first != who && item.second.last.address == address &&
               item.second.ever_heard_directly &&
               item.second.last_heard > known->second.last_heard;
      });
  if (replaced) {
    return std::nullopt;
  }
  return address;
}

std::vector<incarnation> LiveEntries(const membership& state,
                                     uint16_t data_centre, instant now) {
  std::vector<incarnation> live;
  if (data_centre == state.options.data_centre) {
    live.push_back(state.options.self);
  }
  for (const auto& [who, other] : state.peers) {
    if (other.last.data_centre == data_centre && IsLive(state, other, now)) {
      live.push_back(who);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

size_t HeartbeatBytes(const heartbeat& message) {
  // IP, TCP, HTTP/2 and gRPC headers of a unary call on a persistent
  // connection, with the acknowledgement and the empty reply.
  constexpr size_t kCallBytes = 240;
  // Tags and variable-length numbers of one message, of one slot report and of
  // one string.
  constexpr size_t kHeaderBytes = 24;
  constexpr size_t kReportBytes = 8;
  constexpr size_t kTextBytes = 2;
  size_t bytes = kCallBytes + kHeaderBytes + message.address.size();
  for (const slot_report& report : message.slots) {
    bytes += kReportBytes + report.address.size();
  }
  for (const std::string& address : message.leaving) {
    bytes += kTextBytes + address.size();
  }
  for (const heartbeat& relayed : message.relayed) {
    bytes += kTextBytes + kHeaderBytes + relayed.address.size();
  }
  return bytes;
}

uint64_t HighestPeerConfig(const membership& state) {
  return state.highest_config;
}

}  // namespace tarragondrift
