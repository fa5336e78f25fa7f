#include "tarragondrift/core/membership_cmd.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tarragondrift {
namespace {

/// Beats that carry a new or changed far entry ahead of the others.
constexpr uint32_t kUrgentRelays = 3;
/// Rounds of beats between two looks for peers to forget.
constexpr uint64_t kForgetRounds = 64;

bool IsNear(const membership& state, const heartbeat& beat) {
  return beat.data_centre == state.options.data_centre;
}

/// How long an entry of another data centre counts as the one that speaks.
std::chrono::milliseconds FarContactLimit(const membership& state) {
  constexpr int kBeats = 3;
  return kBeats * state.options.remote_heartbeat_interval;
}

/// Tells whether news of a far entry must not wait for its turn.
bool IsUrgent(const peer& known, const heartbeat& beat) {
  return !known.ever_heard || known.last.stage != beat.stage ||
         known.last.address != beat.address;
}

/// How a beat came to this entry.
struct beat_route {
  /// From its own sender, not relayed.
  bool direct = false;
  /// The one that sent or relayed it is in another data centre.
  bool from_far = false;
};

/// Takes one beat without those that it relays.
void HearOne(membership& state, const heartbeat& beat, beat_route route,
             instant now) {
  if (beat.from == state.options.self) {
    return;
  }
  peer& known = state.peers[beat.from];
  if (known.ever_heard && beat.number < known.last.number) {
    return;
  }
  if (route.direct) {
    known.last_heard_directly = now;
    known.ever_heard_directly = true;
  }
  if (known.ever_heard && beat.number == known.last.number) {
    return;
  }
  if (route.from_far && !IsNear(state, beat) && IsUrgent(known, beat)) {
    known.urgent_relays = kUrgentRelays;
  }
  // A version is never given up again, whatever a confused sender says.
  const uint64_t version =
      std::max(known.last.config_version, beat.config_version);
  known.last = beat;
  known.last.config_version = version;
  state.highest_config = std::max(state.highest_config, version);
  known.last.relayed.clear();
  known.last_heard = now;
  known.ever_heard = true;
}

/// Copies a beat without what only the sender's data centre needs.
heartbeat Summarise(const heartbeat& beat) {
  return heartbeat{.from = beat.from,
                   .data_centre = beat.data_centre,
                   .address = beat.address,
                   .number = beat.number,
                   .stage = beat.stage,
                   .queued_tasks = beat.queued_tasks,
                   .config_version = beat.config_version};
}

/// Takes up to `most` elements from the turn on, and moves the turn.
template <class Element>
std::vector<Element> TakeTurns(const std::vector<Element>& all, size_t most,
                               size_t& turn) {
  if (all.size() <= most) {
    return all;
  }
  std::vector<Element> taken;
  for (size_t count = 0; count < most; ++count) {
    taken.push_back(all[(turn + count) % all.size()]);
  }
  turn = (turn + most) % all.size();
  return taken;
}

/// Picks the rows of slot news of this round: instances with idle slots to
/// lend go ahead of the others.
std::vector<slot_report> PickSlots(membership& state,
                                   const std::vector<slot_report>& all) {
  std::vector<slot_report> offers;
  std::vector<slot_report> others;
  for (const slot_report& row : all) {
    (row.idle > 0 ? offers : others).push_back(row);
  }
  const size_t most = state.options.max_slot_reports;
  std::vector<slot_report> picked = TakeTurns(offers, most, state.slot_cursor);
  if (picked.size() < most) {
    const auto rest =
        TakeTurns(others, most - picked.size(), state.slot_cursor);
    picked.insert(picked.end(), rest.begin(), rest.end());
  }
  return picked;
}

/// Picks far entries that this entry hears directly, to tell its data centre.
std::vector<heartbeat> PickFarNews(membership& state, instant now) {
  std::vector<heartbeat> urgent;
  std::vector<heartbeat> others;
  for (auto& [who, other] : state.peers) {
    const bool fresh = other.ever_heard && !IsNear(state, other.last) &&
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
  const auto turns =
      TakeTurns(others, state.options.max_remote_reports, state.remote_cursor);
  urgent.insert(urgent.end(), turns.begin(), turns.end());
  return urgent;
}

/// Tells whether an entry hears other data centres itself.
bool HearsFar(const membership& state, instant now) {
  return std::any_of(
      state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const peer& other = item.second;
        return other.ever_heard_directly && !IsNear(state, other.last) &&
               now - other.last_heard_directly <= FarContactLimit(state);
      });
}

/// The base of every beat of this round.
heartbeat MakeHeader(membership& state, const heartbeat& self) {
  heartbeat header = Summarise(self);
  header.from = state.options.self;
  header.data_centre = state.options.data_centre;
  header.address = state.options.address;
  header.number = ++state.beats;
  return header;
}

/// Counts a beat and adds it to those that go out.
void Send(membership& state, const std::string& address,
          const heartbeat& message, std::vector<heartbeat_target>& out) {
  ++state.sent.messages;
  state.sent.bytes += HeartbeatBytes(message);
  out.push_back(heartbeat_target{.address = address, .message = message});
}

/// Chooses one silent entry for a probe, the latest known first, in turns.
const peer* PickProbe(membership& state, std::vector<const peer*> silent) {
  if (silent.empty()) {
    return nullptr;
  }
  std::stable_sort(silent.begin(), silent.end(),
                   [](const peer* left, const peer* right) {
                     return std::max(left->last_heard, left->last_listed) >
                            std::max(right->last_heard, right->last_listed);
                   });
  return silent[state.probe_cursor++ % silent.size()];
}

/// Chooses one of the addresses from the settings that no live peer has.
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

/// Sends beats to the entries of this data centre, to a silent one and to a
/// seed.
void BeatNear(membership& state, const heartbeat& header, const heartbeat& self,
              instant now, std::vector<heartbeat_target>& out) {
  heartbeat message = header;
  message.slots = PickSlots(state, self.slots);
  message.leaving = self.leaving;
  if (message.leaving.size() > state.options.max_leaving_reports) {
    message.leaving.resize(state.options.max_leaving_reports);
  }
  if (HearsFar(state, now)) {
    message.relayed = PickFarNews(state, now);
  }
  std::vector<const peer*> silent;
  for (const auto& [who, other] : state.peers) {
    if (!IsNear(state, other.last)) {
      continue;
    }
    if (IsLive(state, other, now)) {
      Send(state, other.last.address, message, out);
    } else {
      silent.push_back(&other);
    }
  }
  if (const peer* const probed = PickProbe(state, std::move(silent))) {
    Send(state, probed->last.address, message, out);
  }
  if (const std::string* const seed = PickSeed(state, now)) {
    Send(state, *seed, message, out);
  }
}

/// The entries of one other data centre by how they can be reached.
struct far_contacts {
  /// The one that spoke to this entry last, if lately.
  const peer* speaking = nullptr;
  std::vector<const peer*> others;
};

/// Sorts the far entries by data centre.
std::map<uint16_t, far_contacts> FindFarContacts(const membership& state,
                                                 instant now) {
  std::map<uint16_t, far_contacts> contacts;
  for (const auto& [who, other] : state.peers) {
    if (IsNear(state, other.last)) {
      continue;
    }
    far_contacts& there = contacts[other.last.data_centre];
    const bool speaks =
        other.ever_heard_directly &&
        now - other.last_heard_directly <= FarContactLimit(state);
    if (speaks &&
        (there.speaking == nullptr ||
         there.speaking->last_heard_directly < other.last_heard_directly)) {
      there.speaking = &other;
    }
    there.others.push_back(&other);
  }
  return contacts;
}

/// Sends one beat to each other data centre: to the entry that speaks for it,
/// or in turns to those known when none does.
void BeatFar(membership& state, const heartbeat& header, instant now,
             std::vector<heartbeat_target>& out) {
  heartbeat message = header;
  for (const auto& [who, other] : state.peers) {
    if (IsNear(state, other.last) && IsLive(state, other, now)) {
      message.relayed.push_back(Summarise(other.last));
    }
  }
  for (auto& [data_centre, contacts] : FindFarContacts(state, now)) {
    const peer* const target =
        contacts.speaking != nullptr
            ? contacts.speaking
            : PickProbe(state, std::move(contacts.others));
    Send(state, target->last.address, message, out);
  }
}

/// Forgets the longest silent entries of each data centre beyond the limit.
void ForgetSilent(membership& state, instant now) {
  std::map<uint16_t, std::vector<std::pair<instant, incarnation>>> silent;
  for (const auto& [who, other] : state.peers) {
    if (!IsLive(state, other, now)) {
      silent[other.last.data_centre].emplace_back(
          std::max(other.last_heard, other.last_listed), who);
    }
  }
  for (auto& [data_centre, entries] : silent) {
    std::sort(entries.rbegin(), entries.rend());
    for (size_t place = state.options.max_silent_peers; place < entries.size();
         ++place) {
      state.peers.erase(entries[place].second);
    }
  }
}

/// Tells whether news about this entry must not wait for the next beat.
bool HasUrgentNews(const membership& state, const heartbeat& self) {
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

void ReceiveHeartbeat(membership& state, const heartbeat& beat, instant now) {
  ++state.received.messages;
  state.received.bytes += HeartbeatBytes(beat);
  const bool from_far = !IsNear(state, beat);
  HearOne(state, beat, beat_route{.direct = true, .from_far = from_far}, now);
  for (const heartbeat& relayed : beat.relayed) {
    HearOne(state, relayed, beat_route{.from_far = from_far}, now);
  }
}

std::vector<heartbeat_target> TickMembership(membership& state,
                                             const heartbeat& self,
                                             instant now) {
  std::vector<heartbeat_target> out;
  const bool urgent = HasUrgentNews(state, self);
  const bool near_due = urgent || now >= state.next_heartbeat;
  const bool far_due = urgent || now >= state.next_remote_heartbeat;
  if (!near_due && !far_due) {
    return out;
  }
  state.stage = self.stage;
  state.announced_config = self.config_version;
  const heartbeat header = MakeHeader(state, self);
  if (near_due) {
    BeatNear(state, header, self, now, out);
    state.next_heartbeat = now + state.options.heartbeat_interval;
  }
  if (far_due) {
    if (IsSpeaker(state, now)) {
      BeatFar(state, header, now, out);
    }
    state.next_remote_heartbeat = now + state.options.remote_heartbeat_interval;
  }
  if (state.beats % kForgetRounds == 0) {
    ForgetSilent(state, now);
  }
  return out;
}

bool IsLive(const membership& state, const peer& other, instant now) {
  const auto limit = IsNear(state, other.last)
                         ? state.options.silence_limit
                         : state.options.remote_silence_limit;
  return other.ever_heard && other.last.stage != entry_stage::kDrained &&
         now - other.last_heard <= limit;
}

bool IsSpeaker(const membership& state, instant now) {
  // Serving entries come before those that stop; then the lower incarnation.
  const auto rank = [](entry_stage stage, incarnation who) {
    return std::pair(stage, who);
  };
  const auto own = rank(state.stage, state.options.self);
  return std::none_of(
      state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const peer& other = item.second;
        return IsNear(state, other.last) && IsLive(state, other, now) &&
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

size_t HeartbeatBytes(const heartbeat& beat) {
  // IP, TCP, HTTP/2 and gRPC headers of a unary call on a kept connection,
  // the acknowledgement and the empty reply included.
  constexpr size_t kCallBytes = 240;
  // Tags and variable-length numbers of one message, and of one slot row.
  constexpr size_t kHeaderBytes = 24;
  constexpr size_t kRowBytes = 8;
  constexpr size_t kTextBytes = 2;
  size_t bytes = kCallBytes + kHeaderBytes + beat.address.size();
  for (const slot_report& row : beat.slots) {
    bytes += kRowBytes + row.address.size();
  }
  for (const std::string& address : beat.leaving) {
    bytes += kTextBytes + address.size();
  }
  for (const heartbeat& relayed : beat.relayed) {
    bytes += kTextBytes + kHeaderBytes + relayed.address.size();
  }
  return bytes;
}

uint64_t HighestPeerConfig(const membership& state) {
  return state.highest_config;
}

}  // namespace tarragondrift
