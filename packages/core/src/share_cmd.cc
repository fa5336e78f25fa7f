#include "tarragondrift/core/share_cmd.h"

#include <algorithm>

#include "tarragondrift/core/fnv_hash.h"
#include "tarragondrift/core/loan_cmd.h"

namespace tarragondrift {
namespace {

using member_list = std::vector<incarnation>;

bool Contains(std::span<const incarnation> list, incarnation who) {
  return std::find(list.begin(), list.end(), who) != list.end();
}

/// Whether `part` is a quorum of the members: a majority or, of an even number
/// of members, the half that includes the first one.
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

/// Returns how long votes against a member have to stand before its slots are
/// free: by then its lease has expired and its last attempt has ended.
std::chrono::milliseconds VoteWait(const shares& state,
                                   const std::vector<silence_vote>& votes) {
  const share_options& options = state.options;
  const auto release_time = options.max_running_time + options.clock_margin;
  member_list voters;
  bool proven = false;
  for (const silence_vote& vote : votes) {
    voters.push_back(vote.voter);
    proven = proven || vote.proven;
  }
  if (proven) {
    return release_time;
  }
  return IsQuorum(state.read->row.members, voters)
             ? options.lease + release_time
             : options.takeover_wait + release_time;
}

/// Whether the votes against a member have stood for so long that it no longer
/// uses any slot.
bool HasExpired(const shares& state, incarnation who, instant now) {
  const auto at = state.votes_against.find(who);
  return at != state.votes_against.end() &&
         now - at->second.since >= VoteWait(state, at->second.votes);
}

/// Records since when the votes against each member are unchanged.
void RecordVotes(shares& state, const share_row& row, instant now) {
  std::map<incarnation, member_votes> votes_against;
  for (const silence_vote& vote : row.votes) {
    if (votes_against.contains(vote.silent)) {
      continue;
    }
    const auto votes = VotesAgainst(row, vote.silent);
    const auto known = state.votes_against.find(vote.silent);
    const bool same =
        known != state.votes_against.end() && known->second.votes == votes;
    votes_against[vote.silent] = {.votes = votes,
                                  .since = same ? known->second.since : now};
  }
  state.votes_against = std::move(votes_against);
}

/// Records which members had a vote withdrawn: a vote of the previous row that
/// is missing from the new one was refuted.
void RecordRefutations(shares& state, const share_row& row, instant now) {
  if (!state.read.has_value()) {
    return;
  }
  for (const silence_vote& vote : state.read->row.votes) {
    const bool gone =
        std::find(row.votes.begin(), row.votes.end(), vote) == row.votes.end();
    if (gone) {
      state.refuted_at[vote.silent] = now;
    }
  }
}

/// Returns the entries that support this one, including itself.
member_list Supporters(const shares& state, instant now) {
  member_list list{state.options.self};
  for (const share_peer& peer : state.peers) {
    const bool acknowledged_after_pause =
        !state.suspended || peer.acknowledged > state.suspended_since;
    const bool fresh = now - peer.acknowledged < state.options.lease;
    if ((acknowledged_after_pause && fresh) ||
        (peer.supported_at_death && !state.suspended)) {
      list.push_back(peer.who);
    }
  }
  return list;
}

/// Whether the supporters are a quorum of the current plan and of the next one,
/// so that no other entry can move this entry's share.
bool HasQuorum(const shares& state, std::span<const incarnation> supporters) {
  const share_row& row = state.read->row;
  return IsQuorum(row.members, supporters) &&
         (row.next.empty() || IsQuorum(row.next, supporters));
}

/// Detects a process pause, and the end of one.
void DetectPause(shares& state, instant now) {
  const bool first = state.last_tick == instant{};
  const auto gap = now - state.last_tick;
  if (first || 2 * gap > state.options.silence_limit) {
    // An entry that did not receive messages cannot judge who was silent.
    state.listening_since = now;
  }
  if (!first && gap > state.options.pause_limit) {
    state.suspended = true;
    state.suspended_since = now;
  }
  state.last_tick = now;
  if (state.suspended && state.read.has_value()) {
    const member_list supporters = Supporters(state, now);
    const bool has_peer_support = supporters.size() > 1;
    state.suspended = !(has_peer_support && HasQuorum(state, supporters));
  }
}

/// Whether the slots in use by this entry, lent ones included, fit into its
/// share under `next`.
bool FitsNextShare(const shares& state,
                   std::span<const shared_instance> instances, instant now) {
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

/// Removes votes that no longer hold: those against this entry, against entries
/// that are in no plan, and its own against members that are heard again.
void WithdrawVotes(const shares& state, share_row& row, instant now) {
  std::erase_if(row.votes, [&](const silence_vote& vote) {
    const bool own = vote.voter == state.options.self;
    const bool known =
        Contains(row.members, vote.silent) || Contains(row.next, vote.silent);
    return vote.silent == state.options.self || !known ||
           (own && IsHeard(state, vote.silent, now));
  });
}

/// Adds a vote against each member that has not been heard.
void CastVotes(const shares& state, share_row& row, instant now) {
  const auto listened = now - state.listening_since;
  if (listened < state.options.silence_limit) {
    return;
  }
  member_list all = row.members;
  all.insert(all.end(), row.next.begin(), row.next.end());
  for (const incarnation who : all) {
    const bool has_voted = std::any_of(
        row.votes.begin(), row.votes.end(), [&](const silence_vote& vote) {
          return vote.voter == state.options.self && vote.silent == who;
        });
    if (has_voted || who == state.options.self || IsHeard(state, who, now)) {
      continue;
    }
    const auto refuted_at = state.refuted_at.find(who);
    if (refuted_at != state.refuted_at.end() &&
        now - refuted_at->second < state.options.silence_limit) {
      continue;
    }
    const share_peer* const peer = FindPeer(state, who);
    row.votes.push_back({.voter = state.options.self,
                         .silent = who,
                         .number = state.read->version,
                         .proven = peer != nullptr && peer->proven_dead});
  }
}

/// Confirms that this entry has released the slots that it loses.
void ConfirmRelease(const shares& state, share_row& row,
                    std::span<const shared_instance> instances, instant now) {
  const bool due = !row.next.empty() &&
                   Contains(row.members, state.options.self) &&
                   !Contains(row.confirmed, state.options.self);
  if (due && FitsNextShare(state, instances, now)) {
    row.confirmed.push_back(state.options.self);
  }
}

/// Puts the next plan into force once every member has confirmed its release or
/// has expired.
void ActivateNextPlan(const shares& state, share_row& row, instant now) {
  if (row.next.empty()) {
    return;
  }
  const bool released =
      std::all_of(row.members.begin(), row.members.end(), [&](incarnation who) {
        return Contains(row.confirmed, who) || HasExpired(state, who, now);
      });
  if (released) {
    row.members = std::move(row.next);
    row.next.clear();
    row.confirmed.clear();
    ++row.plan;
  }
}

/// Whether an entry should hold slots.
bool ShouldHoldSlots(const shares& state, const share_row& row, incarnation who,
                     instant now) {
  if (who == state.options.self) {
    return !state.leaving;
  }
  const share_peer* const peer = FindPeer(state, who);
  if (peer != nullptr && peer->leaving) {
    return false;
  }
  return Contains(row.members, who) ? !HasExpired(state, who, now)
                                    : IsHeard(state, who, now);
}

/// Returns the entries that should hold slots: members that stay, in their
/// order, then those that join.
member_list DesiredMembers(const shares& state, const share_row& row,
                           instant now) {
  member_list candidates = row.members;
  for (const share_peer& peer : state.peers) {
    candidates.push_back(peer.who);
  }
  candidates.push_back(state.options.self);
  member_list wanted;
  for (const incarnation who : candidates) {
    if (!Contains(wanted, who) && ShouldHoldSlots(state, row, who, now)) {
      wanted.push_back(who);
    }
  }
  return wanted;
}

/// Whether this entry proposes plans. The first member that is heard does;
/// other entries do when the row has not changed for two read intervals, or
/// when no member is heard.
bool IsProposer(const shares& state, const share_row& row, instant now) {
  for (const incarnation who : row.members) {
    if (who == state.options.self) {
      return true;
    }
    if (IsHeard(state, who, now)) {
      return now - state.version_first_seen >= 2 * state.options.read_interval;
    }
  }
  return true;
}

/// Proposes a next plan when the members are not those that should hold slots.
void ProposeNextPlan(const shares& state, share_row& row,
                     std::span<const shared_instance> instances, instant now) {
  if (!row.next.empty() || !IsProposer(state, row, now)) {
    return;
  }
  member_list wanted = DesiredMembers(state, row, now);
  if (wanted == row.members) {
    return;
  }
  if (row.members.empty()) {
    row.members = std::move(wanted);
    ++row.plan;
    return;
  }
  const bool is_last_member = wanted.empty();
  if (!is_last_member) {
    row.next = std::move(wanted);
  } else if (FitsNextShare(state, instances, now)) {
    row.members.clear();
    ++row.plan;
  }
}

/// Records this entry's votes in a row that is about to be written; they may
/// take effect from now on.
void RecordPendingVotes(shares& state, const share_row& row) {
  for (const silence_vote& vote : row.votes) {
    if (vote.voter == state.options.self) {
      if (!Contains(state.pending_votes, vote.silent)) {
        state.pending_votes.push_back(vote.silent);
      }
      state.pending_votes_version = state.read->version;
    }
  }
}

/// Returns the row that this entry would write now.
share_row DesiredRow(const shares& state,
                     std::span<const shared_instance> instances, instant now) {
  share_row row = state.read->row;
  WithdrawVotes(state, row, now);
  CastVotes(state, row, now);
  ConfirmRelease(state, row, instances, now);
  ActivateNextPlan(state, row, now);
  ProposeNextPlan(state, row, instances, now);
  return row;
}

/// Mixes the bits of a hash (the finalizer of SplitMix64).
uint64_t MixBits(uint64_t value) {
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

void ApplyShareRow(shares& state, const share_row_read& read,
                   instant call_started, instant now) {
  if (state.read.has_value() && read.version < state.read->version) {
    return;
  }
  const bool newer =
      !state.read.has_value() || read.version > state.read->version;
  if (newer) {
    state.version_first_seen = now;
    state.write_deadline = instant{};
    RecordRefutations(state, read.row, now);
  }
  if (state.pending_votes_version.has_value() &&
      read.version > *state.pending_votes_version) {
    state.pending_votes.clear();
    state.pending_votes_version.reset();
  }
  state.read = read;
  RecordVotes(state, read.row, now);
  if (IsVotedSilent(read.row, state.options.self)) {
    return;
  }
  state.last_table_contact = std::max(state.last_table_contact, call_started);
  state.had_table_contact = true;
  if (call_started >= state.suspended_since) {
    state.suspended = false;
  }
}

void UpdateSharePeers(shares& state, std::span<const share_peer> peers) {
  const instant now = state.last_tick;
  std::vector<share_peer> updated(peers.begin(), peers.end());
  for (share_peer& peer : updated) {
    const share_peer* const known = FindPeer(state, peer.who);
    const bool was_supported_at_death =
        known != nullptr && known->supported_at_death;
    const bool was_proven_dead = known != nullptr && known->proven_dead;
    const bool supported =
        now - peer.acknowledged + state.options.clock_margin <
        state.options.silence_limit;
    peer.supported_at_death =
        peer.proven_dead &&
        (was_proven_dead ? was_supported_at_death : supported);
  }
  state.peers = std::move(updated);
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
  DetectPause(state, now);
  std::erase_if(state.lent,
                [now](const loan_out& loan) { return loan.reclaim_at <= now; });
  share_row_requests requests;
  if (now >= state.next_read) {
    requests.read = true;
    state.next_read = now + state.options.read_interval;
  }
  if (!state.read.has_value() || now < state.write_deadline) {
    return requests;
  }
  share_row desired = DesiredRow(state, instances, now);
  if (desired == state.read->row) {
    return requests;
  }
  RecordPendingVotes(state, desired);
  state.write_deadline = now + state.options.write_timeout;
  requests.write =
      share_row_read{.row = std::move(desired), .version = state.read->version};
  return requests;
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
  const bool has_table_lease =
      state.had_table_contact &&
      now - state.last_table_contact < state.options.lease &&
      !IsVotedSilent(state.read->row, state.options.self);
  return has_table_lease || HasQuorum(state, Supporters(state, now));
}

bool SupportsPeer(const shares& state, incarnation who) {
  if (Contains(state.pending_votes, who)) {
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
  const uint32_t next_held = OwnedSlots(row.next, self, address, slots);
  return state.options.mutation == share_mutation::kGrantBeforeRelease
             ? next_held
             : std::min(held, next_held);
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
  // Members are ranked by a hash of address and member, so that the remainder
  // of the slots goes to different members at different instances.
  const uint64_t base = FnvOf(address);
  const uint64_t own = MixBits(base ^ who.value);
  uint32_t rank = 0;
  for (const incarnation other : holders) {
    const uint64_t hash = MixBits(base ^ other.value);
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
