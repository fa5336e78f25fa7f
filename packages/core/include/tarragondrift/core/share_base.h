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

/// A member's statement that another member is silent.
struct silence_vote {
  incarnation voter;
  incarnation silent;
  /// The version of the row on which the vote was cast; tells a vote from an
  /// earlier one that was refuted.
  uint64_t number = 0;
  /// The silent member is proven dead: its address refuses connections or
  /// answers as another incarnation.
  bool proven = false;
  auto operator<=>(const silence_vote&) const = default;
};

/// The table row that says which entries of a data centre hold its slots. The
/// owner of each slot is a pure function of the members, so the row stays
/// small whatever the number of instances.
struct share_row {
  /// Grows with each change of `members`.
  uint64_t plan = 0;
  /// Who holds slots now, in order of joining.
  std::vector<incarnation> members;
  /// Who will hold them; empty unless shares are moving.
  std::vector<incarnation> next;
  /// Members that use no slot which they do not also have under `next`.
  std::vector<incarnation> confirmed;
  std::vector<silence_vote> votes;
  auto operator<=>(const share_row&) const = default;
};

/// The row as it was read: its value and the version for the conditional
/// write.
struct share_row_read {
  share_row row;
  /// 0 when the row does not exist yet.
  uint64_t version = 0;
};

/// One upstream instance whose slots are shared.
struct shared_instance {
  std::string address;
  uint32_t slots = 0;
  /// Attempts of this entry that are running there.
  uint32_t in_flight = 0;
};

/// What this entry knows of another entry of its data centre.
struct share_peer {
  incarnation who;
  /// When its last message arrived.
  instant last_heard;
  /// When this entry sent the latest message that the peer is known to have
  /// received.
  instant acknowledged;
  bool leaving = false;
  bool proven_dead = false;
  /// Set by UpdateSharePeers: it supported this entry until it died, so it has
  /// cast no vote against it.
  bool excused = false;
};

/// Rules that only tests switch, to show that the checks can fail.
enum class share_mutation : uint8_t {
  kNone,
  /// Uses the next plan's slots before all releases are confirmed.
  kGrantBeforeRelease,
  /// Goes on with its share when it has lost everyone.
  kIgnoreLostContact,
  /// Takes lent slots back when the loan expires, though work still runs.
  kReclaimAtExpiry,
};

/// Options of the shares of one entry.
struct share_options {
  incarnation self;
  /// How long a contact with the table or with a peer entitles an entry.
  std::chrono::milliseconds lease{10'000};
  /// Between two reads of the row.
  std::chrono::milliseconds read_interval{3'000};
  /// A peer that was not heard for this long is voted silent.
  std::chrono::milliseconds silence_limit{3'000};
  /// No attempt occupies a slot for longer; the longest of all contracts.
  std::chrono::milliseconds max_running_time{10'000};
  /// Covers clocks that run at different rates.
  std::chrono::milliseconds clock_margin{1'000};
  /// Replaces the lease in the wait for a silent member whose voters are no
  /// majority.
  std::chrono::milliseconds takeover_wait{60'000};
  /// A gap between two ticks that counts as a pause of the process.
  std::chrono::milliseconds pause_limit{30'000};
  std::chrono::milliseconds loan_duration{2'000};
  /// Between two requests for a loan to the same peer.
  std::chrono::milliseconds loan_interval{20};
  /// Slots are kept for this long before idle ones are given back.
  std::chrono::milliseconds min_loan_hold{100};
  /// After which a request counts as lost.
  std::chrono::milliseconds loan_timeout{1'000};
  /// Fewest and most slots asked for at once.
  uint32_t min_loan_slots = 6;
  uint32_t max_loan_slots = 64;
  /// Part of its idle slots that an entry lends at once, in percent.
  uint32_t lend_percent = 70;
  /// Time that a write of the row is waited for.
  std::chrono::milliseconds write_timeout{2'000};
  share_mutation mutation = share_mutation::kNone;
};

/// Slots of one instance in a loan message.
struct loan_item {
  std::string address;
  uint32_t slots = 0;
  auto operator<=>(const loan_item&) const = default;
};

/// Asks a peer for idle slots.
struct loan_request {
  incarnation from;
  /// Grows with each request of an incarnation.
  uint64_t number = 0;
  std::string upstream;
  uint32_t wanted = 0;
};

/// Answers a request; without items it refuses.
struct loan_grant {
  incarnation from;
  /// That of the request.
  uint64_t number = 0;
  std::vector<loan_item> items;
  /// Starts are allowed for this long after the request was sent.
  std::chrono::milliseconds lasts{0};
};

/// Gives lent slots back; nothing runs on them.
struct loan_return {
  incarnation from;
  uint64_t number = 0;
  /// Grows with each return of one loan, so that a repeated one is ignored.
  uint32_t part = 0;
  std::vector<loan_item> items;
};

/// Slots that this entry lent.
struct loan_out {
  incarnation borrower;
  uint64_t number = 0;
  std::vector<loan_item> items;
  /// The last return that was taken.
  uint32_t part = 0;
  /// When the borrower's last attempt on them has ended at the latest.
  instant back;
};

/// Slots that this entry borrowed.
struct loan_in {
  incarnation lender;
  uint64_t number = 0;
  std::vector<loan_item> items;
  /// The last return that was sent.
  uint32_t part = 0;
  instant taken;
  /// No attempt starts on them from then on.
  instant expires;
};

/// A request that waits for its grant.
struct loan_asked {
  uint64_t number = 0;
  instant sent;
  bool answered = false;
};

/// The votes against one member and since when this entry has seen just them.
struct votes_standing {
  std::vector<silence_vote> votes;
  instant since;
};

/// All that the share decisions of one entry depend on.
struct shares {
  share_options options;
  std::optional<share_row_read> read;
  /// When the last successful read or write of the row was begun.
  instant table_contact;
  bool had_table_contact = false;
  instant next_read;
  instant last_tick;
  /// When the version of the row was first seen.
  instant row_seen;
  instant started;
  /// Set by a pause; only a contact after that moment clears it.
  bool suspended = true;
  instant suspended_since;
  /// While a write is on its way, no other is asked for until then.
  instant write_until;
  /// The version that the last write of votes expected; such a write may take
  /// effect until a later version is seen.
  std::optional<uint64_t> voted_on;
  std::vector<incarnation> voted;
  /// When a member was last seen to have refuted a vote.
  std::map<incarnation, instant> refuted;
  bool leaving = false;
  std::vector<share_peer> peers;
  std::map<incarnation, votes_standing> standing;
  std::vector<loan_out> lent;
  std::vector<loan_in> borrowed;
  std::map<incarnation, loan_asked> asked;
  uint64_t next_loan = 1;
};

/// What this entry may use of one instance now.
struct usable_share {
  std::string address;
  uint32_t slots = 0;
};

/// What the daemon has to do about the row.
struct share_row_requests {
  /// Read the row now and call ApplyShareRow.
  bool read = false;
  /// Write this value under the expected version, then call ApplyShareRow with
  /// it, or read again after a conflict or an unknown outcome.
  std::optional<share_row_read> write;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_SHARE_BASE_H_
