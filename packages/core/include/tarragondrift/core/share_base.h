// Slot shares of upstream instances among the entries of one data centre, and
// loans of slots between entries, as plain data.
#ifndef TARRAGONDRIFT_CORE_SHARE_BASE_H_
#define TARRAGONDRIFT_CORE_SHARE_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/submission_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// One member's vote that another member is silent.
struct silence_vote {
  incarnation voter;
  incarnation silent;
  /// The version of the row on which the vote was cast; distinguishes the vote
  /// from an earlier one that was refuted.
  uint64_t number = 0;
  /// The silent member is proven dead: its address refuses connections or
  /// answers as another incarnation.
  bool proven = false;
  auto operator<=>(const silence_vote&) const = default;
};

/// The table row that lists which entries of a data centre hold its slots. The
/// owner of each slot is a pure function of the members, so the size of the row
/// does not depend on the number of instances.
struct share_row {
  /// Incremented with each change of `members`.
  uint64_t plan = 0;
  /// The current holders of slots, in order of joining.
  std::vector<incarnation> members;
  /// The members of the next plan; empty unless shares are being moved.
  std::vector<incarnation> next;
  /// Members that use no slots beyond those that they keep under `next`.
  std::vector<incarnation> confirmed;
  std::vector<silence_vote> votes;
  auto operator<=>(const share_row&) const = default;
};

/// A row as read from the table, with its version for a conditional write.
struct share_row_read {
  share_row row;
  /// 0 when the row does not exist yet.
  uint64_t version = 0;
};

/// One upstream instance whose slots are shared.
struct shared_instance {
  std::string address;
  uint32_t slots = 0;
  /// Attempts of this entry that are running on the instance.
  uint32_t in_flight = 0;
};

/// The state of another entry of the same data centre, as known here.
struct share_peer {
  incarnation who;
  /// When the last message of the peer arrived.
  instant last_heard;
  /// When this entry sent the latest message that the peer has acknowledged.
  instant acknowledged;
  bool leaving = false;
  bool proven_dead = false;
  /// Set by UpdateSharePeers: the peer still acknowledged this entry when the
  /// peer died, so the peer had no vote against this entry.
  bool supported_at_death = false;
};

/// Faults that tests inject to show that the safety checks detect them.
enum class share_mutation : uint8_t {
  kNone,
  /// Uses the next plan's slots before all releases are confirmed.
  kGrantBeforeRelease,
  /// Keeps using its share after losing contact with the table and all peers.
  kIgnoreLostContact,
  /// Reclaims lent slots when the loan expires, while work may still run on
  /// them.
  kReclaimAtExpiry,
};

/// Options for the slot shares of one entry.
struct share_options {
  incarnation self;
  /// How long an entry may use its share after a contact with the table or with
  /// a quorum of its peers.
  std::chrono::milliseconds lease{10'000};
  /// Time between two reads of the row.
  std::chrono::milliseconds read_interval{3'000};
  /// A peer that has not been heard for this long is voted silent.
  std::chrono::milliseconds silence_limit{3'000};
  /// Upper bound on the time that an attempt occupies a slot: the maximum over
  /// all contracts.
  std::chrono::milliseconds max_running_time{10'000};
  /// Allows for clocks that run at different rates.
  std::chrono::milliseconds clock_margin{1'000};
  /// How long votes against a member must stand, instead of `lease`, when those
  /// who cast them are not a quorum.
  std::chrono::milliseconds takeover_wait{60'000};
  /// A longer gap between two ticks counts as a process pause.
  std::chrono::milliseconds pause_limit{30'000};
  std::chrono::milliseconds loan_duration{2'000};
  /// Minimum time between two loan requests to the same peer.
  std::chrono::milliseconds loan_interval{20};
  /// Borrowed slots are kept at least this long before idle ones are returned.
  std::chrono::milliseconds min_loan_hold{100};
  /// A request without a grant counts as lost after this time.
  std::chrono::milliseconds loan_timeout{1'000};
  /// Limits on the slots requested at once.
  uint32_t min_loan_slots = 6;
  uint32_t max_loan_slots = 64;
  /// Percentage of its idle slots that an entry lends at once.
  uint32_t lend_percent = 70;
  /// How long to wait for the result of a write of the row.
  std::chrono::milliseconds write_timeout{2'000};
  share_mutation mutation = share_mutation::kNone;
};

/// Slots of one instance in a loan message.
struct loan_item {
  std::string address;
  uint32_t slots = 0;
  auto operator<=>(const loan_item&) const = default;
};

/// A request to a peer for a loan of idle slots.
struct loan_request {
  incarnation from;
  /// Incremented with each request of an incarnation.
  uint64_t number = 0;
  std::string upstream;
  uint32_t wanted = 0;
};

/// The answer to a loan request; empty `items` mean a refusal.
struct loan_grant {
  incarnation from;
  /// The number of the request.
  uint64_t number = 0;
  std::vector<loan_item> items;
  /// How long after sending its request the borrower may start attempts.
  std::chrono::milliseconds lasts{0};
};

/// Returns borrowed slots on which nothing runs.
struct loan_return {
  incarnation from;
  uint64_t number = 0;
  /// Incremented with each return of one loan, so that duplicates are ignored.
  uint32_t part = 0;
  std::vector<loan_item> items;
};

/// Slots that this entry lent.
struct loan_out {
  incarnation borrower;
  uint64_t number = 0;
  std::vector<loan_item> items;
  /// `part` of the last return that was applied.
  uint32_t part = 0;
  /// By this time the borrower's last attempt on the slots has ended.
  instant reclaim_at;
};

/// Slots that this entry borrowed.
struct loan_in {
  incarnation lender;
  uint64_t number = 0;
  std::vector<loan_item> items;
  /// `part` of the last return that was sent.
  uint32_t part = 0;
  instant received_at;
  /// No attempt starts on the slots from this time on.
  instant expires;
};

/// The last loan request that was sent to a peer.
struct sent_loan_request {
  uint64_t number = 0;
  instant sent;
  bool answered = false;
};

/// The votes against one member, and since when this entry has seen exactly
/// these votes.
struct member_votes {
  std::vector<silence_vote> votes;
  instant since;
};

/// The state of one entry's slot shares.
struct shares {
  share_options options;
  std::optional<share_row_read> read;
  /// When the last successful read or write of the row was started.
  instant last_table_contact;
  bool had_table_contact = false;
  instant next_read;
  instant last_tick;
  /// When the current version of the row was first seen.
  instant version_first_seen;
  /// Since when this entry has ticked without a gap in which it could miss
  /// messages. It votes only after listening for silence_limit.
  instant listening_since;
  /// Set initially and by a process pause; only a contact after
  /// `suspended_since` clears it.
  bool suspended = true;
  instant suspended_since;
  /// While a write is outstanding, no other is requested until this time.
  instant write_deadline;
  /// The version that the last write of votes expected. Until a row with a
  /// higher version is read, this write may still succeed.
  std::optional<uint64_t> pending_votes_version;
  /// The members that such a write votes against.
  std::vector<incarnation> pending_votes;
  /// When each member was last seen to have refuted a vote.
  std::map<incarnation, instant> refuted_at;
  bool leaving = false;
  std::vector<share_peer> peers;
  /// The votes in the row, by the member that they are against.
  std::map<incarnation, member_votes> votes_against;
  std::vector<loan_out> lent;
  std::vector<loan_in> borrowed;
  /// The last loan request to each peer.
  std::map<incarnation, sent_loan_request> loan_requests;
  uint64_t next_loan = 1;
};

/// The slots of one instance that this entry may use now.
struct usable_share {
  std::string address;
  uint32_t slots = 0;
};

/// The table operations that the caller has to carry out on the row.
struct share_row_requests {
  /// Read the row now and pass it to ApplyShareRow.
  bool read = false;
  /// Write this row if the table still has this version, then pass the written
  /// row to ApplyShareRow; read the row again after a conflict or an unknown
  /// outcome.
  std::optional<share_row_read> write;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_SHARE_BASE_H_
