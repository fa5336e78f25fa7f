#include "tarragondrift/core/share_cmd.h"

#include <algorithm>

#include "tarragondrift/core/fnv_hash.h"
#include "tarragondrift/core/loan_cmd.h"

namespace tarragondrift {
namespace {

using members = std::vector<incarnation>;

bool Contains(std::span<const incarnation> list, incarnation who) {
  return std::find(list.begin(), list.end(), who) != list.end();
}

/// Tells whether a part of the members is a majority; of an even number the
/// half that has the first member is one.
bool IsQuorum(std::span<const incarnation> all,
              std::span<const incarnation> part) {
  size_t count = 0;
  for (const incarnation who : all) {
    count += Contains(part, who) ? 1 : 0;
  }
  if (2 * count == all.size()) {
    return !all.empty() && Contains(part, all.front());
  }
  return 2 * count > all.size();
}

const share_peer* FindPeer(const shares& state, incarnation who) {
  for (const share_peer& peer : state.peers) {
    if (peer.who == who) {
      return &peer;
    }
  }
  return nullptr;
}

bool IsHeard(const shares& state, incarnation who, instant now) {
  const share_peer* const peer = FindPeer(state, who);
  return peer != nullptr && !peer->proven_dead &&
         now - peer->last_heard < state.options.silence_limit;
}

bool IsVotedSilent(const share_row& row, incarnation who) {
  return std::any_of(
      row.votes.begin(), row.votes.end(),
      [who](const silence_vote& vote) { return vote.silent == who; });
}

std::vector<silence_vote> VotesAgainst(const share_row& row, incarnation who) {
  std::vector<silence_vote> votes;
  for (const silence_vote& vote : row.votes) {
    if (vote.silent == who) {
      votes.push_back(vote);
    }
  }
  return votes;
}

/// Gives how long votes against a member have to stand before it counts as
/// gone: by then it has lost its right and its last attempt has ended.
std::chrono::milliseconds VoteWait(const shares& state,
                                   const std::vector<silence_vote>& votes) {
  const share_options& options = state.options;
  const auto after_right = options.max_running_time + options.clock_margin;
  members voters;
  bool proven = false;
  for (const silence_vote& vote : votes) {
    voters.push_back(vote.voter);
    proven = proven || vote.proven;
  }
  if (proven) {
    return after_right;
  }
  return IsQuorum(state.read->row.members, voters)
             ? options.lease + after_right
             : options.takeover_wait + after_right;
}

/// Tells whether a member has waited out and holds nothing any more.
bool IsGone(const shares& state, incarnation who, instant now) {
  const auto at = state.standing.find(who);
  return at != state.standing.end() &&
         now - at->second.since >= VoteWait(state, at->second.votes);
}

/// Remembers since when each member's votes have stood as they are.
void WatchVotes(shares& state, const share_row& row, instant now) {
  std::map<incarnation, votes_standing> standing;
  for (const silence_vote& vote : row.votes) {
    if (standing.contains(vote.silent)) {
      continue;
    }
    const auto votes = VotesAgainst(row, vote.silent);
    const auto known = state.standing.find(vote.silent);
    const bool same =
        known != state.standing.end() && known->second.votes == votes;
    standing[vote.silent] = {.votes = votes,
                             .since = same ? known->second.since : now};
  }
  state.standing = std::move(standing);
}

/// Remembers which of this entry's votes were refuted.
void WatchRefutations(shares& state, const share_row& row, instant now) {
  if (!state.read.has_value()) {
    return;
  }
  for (const silence_vote& vote : state.read->row.votes) {
    const bool gone =
        std::find(row.votes.begin(), row.votes.end(), vote) == row.votes.end();
    if (gone) {
      state.refuted[vote.silent] = now;
    }
  }
}

/// Lists those whose support this entry has, itself included.
members Supporters(const shares& state, instant now) {
  members list{state.options.self};
  for (const share_peer& peer : state.peers) {
    const bool after_pause =
        !state.suspended || peer.acknowledged > state.suspended_since;
    const bool fresh = now - peer.acknowledged < state.options.lease;
    if ((after_pause && fresh) || (peer.excused && !state.suspended)) {
      list.push_back(peer.who);
    }
  }
  return list;
}

/// Tells whether the entries that support this one are enough to keep its
/// share from being moved, whichever plan is in force.
bool HasQuorum(const shares& state, std::span<const incarnation> supporters) {
  const share_row& row = state.read->row;
  return IsQuorum(row.members, supporters) &&
         (row.next.empty() || IsQuorum(row.next, supporters));
}

/// Notices a pause, and its end.
void WatchPause(shares& state, instant now) {
  const bool first = state.last_tick == instant{};
  const auto gap = now - state.last_tick;
  if (first || 2 * gap > state.options.silence_limit) {
    // Whoever did not listen cannot tell who was silent.
    state.started = now;
  }
  if (!first && gap > state.options.pause_limit) {
    state.suspended = true;
    state.suspended_since = now;
  }
  state.last_tick = now;
  if (state.suspended && state.read.has_value()) {
    const members supporters = Supporters(state, now);
    const bool others = supporters.size() > 1;
    state.suspended = !(others && HasQuorum(state, supporters));
  }
}

/// Tells whether this entry uses nothing that it will not have under `next`.
bool Fits(const shares& state, std::span<const shared_instance> instances,
          instant now) {
  const share_row& row = state.read->row;
  for (const shared_instance& instance : instances) {
    const uint32_t kept =
        std::min(OwnedSlots(row.members, state.options.self, instance.address,
                            instance.slots),
                 OwnedSlots(row.next, state.options.self, instance.address,
                            instance.slots));
    const uint32_t used =
        instance.in_flight + LentSlots(state, instance.address, now);
    if (used > kept + UnreturnedSlots(state, instance.address)) {
      return false;
    }
  }
  return true;
}

/// Takes back what is not true any more in the votes.
void WithdrawVotes(const shares& state, share_row& row, instant now) {
  std::erase_if(row.votes, [&](const silence_vote& vote) {
    const bool own = vote.voter == state.options.self;
    const bool known =
        Contains(row.members, vote.silent) || Contains(row.next, vote.silent);
    return vote.silent == state.options.self || !known ||
           (own && IsHeard(state, vote.silent, now));
  });
}

/// Votes against each member that has not been heard.
void CastVotes(const shares& state, share_row& row, instant now) {
  const auto listened = now - state.started;
  if (listened < state.options.silence_limit) {
    return;
  }
  members all = row.members;
  all.insert(all.end(), row.next.begin(), row.next.end());
  for (const incarnation who : all) {
    const bool voted = std::any_of(
        row.votes.begin(), row.votes.end(), [&](const silence_vote& vote) {
          return vote.voter == state.options.self && vote.silent == who;
        });
    if (voted || who == state.options.self || IsHeard(state, who, now)) {
      continue;
    }
    const auto refuted = state.refuted.find(who);
    if (refuted != state.refuted.end() &&
        now - refuted->second < state.options.silence_limit) {
      continue;
    }
    const share_peer* const peer = FindPeer(state, who);
    row.votes.push_back({.voter = state.options.self,
                         .silent = who,
                         .number = state.read->version,
                         .proven = peer != nullptr && peer->proven_dead});
  }
}

void Confirm(const shares& state, share_row& row,
             std::span<const shared_instance> instances, instant now) {
  const bool due = !row.next.empty() &&
                   Contains(row.members, state.options.self) &&
                   !Contains(row.confirmed, state.options.self);
  if (due && Fits(state, instances, now)) {
    row.confirmed.push_back(state.options.self);
  }
}

/// Puts the next plan into force once every member has released.
void Flip(const shares& state, share_row& row, instant now) {
  if (row.next.empty()) {
    return;
  }
  const bool released =
      std::all_of(row.members.begin(), row.members.end(), [&](incarnation who) {
        return Contains(row.confirmed, who) || IsGone(state, who, now);
      });
  if (released) {
    row.members = std::move(row.next);
    row.next.clear();
    row.confirmed.clear();
    ++row.plan;
  }
}

/// Tells whether an entry is to hold slots.
bool IsWanted(const shares& state, const share_row& row, incarnation who,
              instant now) {
  if (who == state.options.self) {
    return !state.leaving;
  }
  const share_peer* const peer = FindPeer(state, who);
  if (peer != nullptr && peer->leaving) {
    return false;
  }
  return Contains(row.members, who) ? !IsGone(state, who, now)
                                    : IsHeard(state, who, now);
}

/// Lists who should hold slots: members that stay, in their order, then those
/// that join.
members WantedMembers(const shares& state, const share_row& row, instant now) {
  members candidates = row.members;
  for (const share_peer& peer : state.peers) {
    candidates.push_back(peer.who);
  }
  candidates.push_back(state.options.self);
  members wanted;
  for (const incarnation who : candidates) {
    if (!Contains(wanted, who) && IsWanted(state, row, who, now)) {
      wanted.push_back(who);
    }
  }
  return wanted;
}

/// Tells whether it falls to this entry to move shares: to the first member
/// that is heard, or to anyone when nothing has come of it.
bool IsProposer(const shares& state, const share_row& row, instant now) {
  for (const incarnation who : row.members) {
    if (who == state.options.self) {
      return true;
    }
    if (IsHeard(state, who, now)) {
      return now - state.row_seen >= 2 * state.options.read_interval;
    }
  }
  return true;
}

/// Begins a move of shares when others should hold them than do.
void Propose(const shares& state, share_row& row,
             std::span<const shared_instance> instances, instant now) {
  if (!row.next.empty() || !IsProposer(state, row, now)) {
    return;
  }
  members wanted = WantedMembers(state, row, now);
  if (wanted == row.members) {
    return;
  }
  if (row.members.empty()) {
    row.members = std::move(wanted);
    ++row.plan;
    return;
  }
  const bool last = wanted.empty();
  if (!last) {
    row.next = std::move(wanted);
  } else if (Fits(state, instances, now)) {
    row.members.clear();
    ++row.plan;
  }
}

/// Remembers votes that may take effect from now on.
void NoteVotes(shares& state, const share_row& row) {
  for (const silence_vote& vote : row.votes) {
    if (vote.voter == state.options.self) {
      if (!Contains(state.voted, vote.silent)) {
        state.voted.push_back(vote.silent);
      }
      state.voted_on = state.read->version;
    }
  }
}

/// Gives the row as this entry would have it.
share_row DesiredRow(const shares& state,
                     std::span<const shared_instance> instances, instant now) {
  share_row row = state.read->row;
  WithdrawVotes(state, row, now);
  CastVotes(state, row, now);
  Confirm(state, row, instances, now);
  Flip(state, row, now);
  Propose(state, row, instances, now);
  return row;
}

uint64_t Mix(uint64_t value) {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}  // namespace

shares MakeShares(const share_options& options) {
  shares state;
  state.options = options;
  return state;
}

void ApplyShareRow(shares& state, const share_row_read& read, instant begun,
                   instant now) {
  if (state.read.has_value() && read.version < state.read->version) {
    return;
  }
  const bool newer =
      !state.read.has_value() || read.version > state.read->version;
  if (newer) {
    state.row_seen = now;
    state.write_until = instant{};
    WatchRefutations(state, read.row, now);
  }
  if (state.voted_on.has_value() && read.version > *state.voted_on) {
    state.voted.clear();
    state.voted_on.reset();
  }
  state.read = read;
  WatchVotes(state, read.row, now);
  if (IsVotedSilent(read.row, state.options.self)) {
    return;
  }
  state.table_contact = std::max(state.table_contact, begun);
  state.had_table_contact = true;
  if (begun >= state.suspended_since) {
    state.suspended = false;
  }
}

void UpdateSharePeers(shares& state, std::span<const share_peer> peers) {
  const instant now = state.last_tick;
  std::vector<share_peer> taken(peers.begin(), peers.end());
  for (share_peer& peer : taken) {
    const share_peer* const known = FindPeer(state, peer.who);
    const bool was_excused = known != nullptr && known->excused;
    const bool was_dead = known != nullptr && known->proven_dead;
    const bool supported =
        now - peer.acknowledged + state.options.clock_margin <
        state.options.silence_limit;
    peer.excused = peer.proven_dead && (was_dead ? was_excused : supported);
  }
  state.peers = std::move(taken);
}

void RequestShareRowRead(shares& state) { state.next_read = instant{}; }

void LeaveShares(shares& state) { state.leaving = true; }

bool HasLeftShares(const shares& state) {
  return state.leaving &&
         (!state.read.has_value() ||
          !Contains(state.read->row.members, state.options.self));
}

share_row_requests TickShares(shares& state,
                              std::span<const shared_instance> instances,
                              instant now) {
  WatchPause(state, now);
  std::erase_if(state.lent,
                [now](const loan_out& loan) { return loan.back <= now; });
  share_row_requests requested;
  if (now >= state.next_read) {
    requested.read = true;
    state.next_read = now + state.options.read_interval;
  }
  if (!state.read.has_value() || now < state.write_until) {
    return requested;
  }
  share_row desired = DesiredRow(state, instances, now);
  if (desired == state.read->row) {
    return requested;
  }
  NoteVotes(state, desired);
  state.write_until = now + state.options.write_timeout;
  requested.write =
      share_row_read{.row = std::move(desired), .version = state.read->version};
  return requested;
}

bool MayUseShares(const shares& state, instant now) {
  if (!state.read.has_value() ||
      !Contains(state.read->row.members, state.options.self)) {
    return false;
  }
  if (state.options.mutation == share_mutation::kIgnoreLostContact) {
    return true;
  }
  if (state.suspended) {
    return false;
  }
  const bool table = state.had_table_contact &&
                     now - state.table_contact < state.options.lease &&
                     !IsVotedSilent(state.read->row, state.options.self);
  return table || HasQuorum(state, Supporters(state, now));
}

bool SupportsPeer(const shares& state, incarnation who) {
  if (Contains(state.voted, who)) {
    return false;
  }
  if (!state.read.has_value()) {
    return true;
  }
  const auto& votes = state.read->row.votes;
  return std::none_of(
      votes.begin(), votes.end(), [&](const silence_vote& vote) {
        return vote.voter == state.options.self && vote.silent == who;
      });
}

uint32_t HeldSlots(const shares& state, const std::string& address,
                   uint32_t slots, instant now) {
  if (!MayUseShares(state, now)) {
    return 0;
  }
  const share_row& row = state.read->row;
  const incarnation self = state.options.self;
  const uint32_t held = OwnedSlots(row.members, self, address, slots);
  if (row.next.empty()) {
    return held;
  }
  const uint32_t coming = OwnedSlots(row.next, self, address, slots);
  return state.options.mutation == share_mutation::kGrantBeforeRelease
             ? coming
             : std::min(held, coming);
}

std::vector<usable_share> UsableShares(
    const shares& state, std::span<const shared_instance> instances,
    instant now) {
  std::vector<usable_share> usable;
  usable.reserve(instances.size());
  for (const shared_instance& instance : instances) {
    const uint32_t held =
        HeldSlots(state, instance.address, instance.slots, now);
    const uint32_t lent = LentSlots(state, instance.address, now);
    const uint32_t own = held > lent ? held - lent : 0;
    usable.push_back(
        {.address = instance.address,
         .slots = own + BorrowedSlots(state, instance.address, now)});
  }
  return usable;
}

uint32_t OwnedSlots(std::span<const incarnation> holders, incarnation who,
                    const std::string& address, uint32_t slots) {
  if (!Contains(holders, who)) {
    return 0;
  }
  // Ranked by a hash of address and member, so that the slots which cannot be
  // split evenly fall to a different member at each instance.
  const uint64_t base = FnvOf(address);
  const uint64_t own = Mix(base ^ who.value);
  uint32_t rank = 0;
  for (const incarnation other : holders) {
    const uint64_t hash = Mix(base ^ other.value);
    rank += std::pair{hash, other.value} < std::pair{own, who.value} ? 1 : 0;
  }
  const auto count = static_cast<uint32_t>(holders.size());
  return slots / count + (rank < slots % count ? 1 : 0);
}

uint32_t ConnectionBudget(const shares& state, uint32_t connections) {
  const size_t count =
      state.read.has_value() ? state.read->row.members.size() : 1;
  return connections / static_cast<uint32_t>(std::max<size_t>(count, 1));
}

}  // namespace tarragondrift
