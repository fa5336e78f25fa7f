// Entries as seen by their peers, and the messages between them.
#ifndef TARRAGONDRIFT_FLEET_PEER_BASE_H_
#define TARRAGONDRIFT_FLEET_PEER_BASE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/claim_base.h"
#include "tarragondrift/fleet/crash_base.h"
#include "tarragondrift/fleet/evacuation_base.h"
#include "tarragondrift/fleet/job_base.h"
#include "tarragondrift/fleet/witness_base.h"
#include "tarragondrift/fleet/worker_base.h"

namespace tarragondrift::fleet {

/// Identity and address of an entry.
struct entry_identity {
  /// Unique among all processes ever started; a later start has a higher one.
  uint64_t incarnation = 0;
  /// Name of the instance; unchanged by a restart.
  std::string name;
  /// "IP:port" for peer connections.
  std::string address;
  std::string data_centre;
  /// CPU limit, in thousandths of a core.
  uint32_t cpu_milli = 0;

  bool operator==(const entry_identity&) const = default;
};

/// Upper bounds of the slack classes in which queued tasks are counted. Tasks
/// with less slack are started first, so they do not wait for those with more.
inline constexpr std::array<std::chrono::milliseconds, 7> kSlackBounds{
    std::chrono::milliseconds{50},    std::chrono::milliseconds{100},
    std::chrono::milliseconds{200},   std::chrono::milliseconds{400},
    std::chrono::milliseconds{800},   std::chrono::milliseconds{1'600},
    std::chrono::milliseconds{60'000}};

/// Free capacity and backlog at the workers of one upstream that an entry
/// controls.
struct load_report {
  /// Tasks of mean size that could start now: on all workers, on workers that
  /// are not slow, and on fast workers.
  uint32_t free_tasks = 0;
  uint32_t free_not_slow = 0;
  uint32_t free_fast = 0;
  /// Number of queued tasks with slack up to each of kSlackBounds.
  std::array<uint32_t, kSlackBounds.size()> queued_within{};
  /// Estimated rate of task completions, from the current runs.
  double ends_per_second = 0;
  uint32_t workers = 0;
};

/// Load reports by upstream name.
using load_table = std::map<std::string, load_report>;

/// A worker that an entry controls.
struct worker_claim {
  std::string worker;
  uint64_t fence = 0;
  /// The worker may not have seen the fence yet.
  bool acquiring = false;
};

/// Sent periodically: the sender's identity and the workers it controls.
struct heartbeat {
  entry_identity from;
  bool leaving = false;
  uint64_t config_version = 0;
  /// Version of the sender's knowledge of evacuations; 0 if it knows of none.
  uint64_t evacuation_version = 0;
  /// How often the sender sends to the receiver at least.
  std::chrono::milliseconds interval{0};
  /// The sender needs heartbeats from the receiver.
  bool requests_contact = false;
  /// The sender controls workers or is next in line for it.
  bool is_candidate = false;
  /// The sender needs the list of workers, which the store does not provide.
  bool requests_workers = false;
  /// The sender decides claims on jobs. Entries of earlier versions do not.
  bool decides_claims = false;
  /// Version of the list of witnesses that the sender goes by, and the time
  /// since it is known to have been the one in the store.
  uint64_t witness_version = 0;
  std::chrono::milliseconds witness_age{0};
  /// Time after which the claims have ended that the sender knows of as a
  /// witness.
  std::chrono::milliseconds claims_end_in{0};
  /// Sent to candidates only; the others never acquire workers.
  std::vector<worker_claim> claims;
};

/// Cancels a part whose caller has disconnected or was answered.
struct part_cancel {
  part_ref ref;
};

/// A caller's request to cancel a job, which any entry may receive. Sent to all
/// contacts; a candidate relays it to its own, so that it reaches every
/// controller.
struct job_cancel {
  std::string job;
};

/// A configuration newer than the receiver's, in the operator's format.
struct config_update {
  uint64_t version = 0;
  std::string text;
};

/// Workers that crashed under a task, sent to all candidates that are contacts.
struct crash_report {
  task_name task;
  crash_record record;
};

/// The workers that the sender controls in the receiver's data centre, for an
/// entry that is next in line for them and cannot read the list of workers.
struct controlled_workers {
  std::vector<worker_listing> workers;
};

using peer_message =
    std::variant<heartbeat, part_offer, part_cancel, part_result, job_cancel,
                 config_update, crash_report, evacuation_snapshot,
                 controlled_workers, part_return, job_claim, claim_verdict,
                 claim_release, claim_notice, claim_confirmation,
                 witness_update, seat_handover>;

/// Returns an envelope's time stamp to its sender.
struct envelope_echo {
  /// When the envelope was sent, on the clock of the entry that gets the echo.
  instant sent;
  /// Time from its arrival until the echo was sent.
  std::chrono::microseconds age{0};
};

/// Ordered messages from one entry to another.
struct envelope {
  uint64_t from = 0;
  /// Incarnation of the receiver.
  uint64_t to = 0;
  /// Number of the message stream; incremented when earlier messages may have
  /// been lost.
  uint64_t stream = 0;
  /// The receiver's stream number last seen by the sender. A receiver that has
  /// begun a new stream ignores offers sent before the sender saw it.
  uint64_t heard_stream = 0;
  /// On the sender's clock.
  instant sent;
  /// Unset if no envelope of the receiver has arrived, and from entries of
  /// earlier versions. From it the receiver knows how old the envelope is at
  /// most, without clocks that agree.
  std::optional<envelope_echo> echo;
  /// When it arrived, on the receiver's clock; not transmitted.
  std::optional<instant> arrived;
  load_table load;
  /// With this envelope the receiver has been told of all claims that the
  /// sender knows and the receiver is a witness of.
  bool claims_told = false;
  std::vector<peer_message> messages;
};

/// Another entry.
struct peer {
  entry_identity identity;
  /// When this entry learned of the process.
  instant met;
  /// Whether any message was received from it.
  bool ever_heard = false;
  instant last_heard;
  /// Since when it has been heard and a candidate; valid only while it is both.
  instant arbiter_since;
  /// The latest time at which it is known to have been alive: its newest
  /// message was sent then or later.
  instant known_alive;
  /// Its envelope that was the shortest time on its way of late, by its time of
  /// sending there and its arrival here; for echoes. Unset before the first.
  std::optional<instant> echo_sent;
  instant echo_arrived;
  /// No message within the silence limit, or its process is known to have
  /// ended.
  bool silent = true;
  bool leaving = false;
  /// It has a row in the list of entries.
  bool listed = false;
  /// Its row was removed.
  bool withdrawn = false;
  /// A later process of the same instance is known.
  bool superseded = false;
  /// Heartbeats are exchanged with it; see contact_cmd.h.
  bool contact = false;
  /// When it became a contact; valid only while it is one.
  instant contact_since;
  /// Its last heartbeat requested contact.
  bool requests_contact = false;
  /// This entry needs heartbeats from it, and the last heartbeat to it said so.
  bool wanted = false;
  bool announced_wanted = false;
  /// Since when parts of this entry's jobs are at it; unset while there are
  /// none.
  std::optional<instant> holds_parts_since;
  /// When it last acknowledged an envelope, and when the first one after that
  /// was sent.
  instant last_acknowledged;
  std::optional<instant> unacknowledged_since;
  /// It controls workers or is next in line, by its own account or this
  /// entry's.
  bool candidate = false;
  bool announced_candidate = false;
  /// It decides claims on jobs.
  bool decides_claims = false;
  /// It has told all claims that it knows and this entry is a witness of, and
  /// by when they have ended.
  bool claims_told = false;
  instant claims_end;
  /// This entry has told it the claims that it knows as a witness.
  bool records_told = false;
  /// When it last got a seat that another instance held.
  instant seated;
  /// Its heartbeat interval, as announced; 0 if unknown.
  std::chrono::milliseconds heartbeat_interval{0};
  /// A heartbeat is due before the interval has passed.
  bool heartbeat_due = false;
  /// The last envelope to it was lost, and no heartbeat was sent since.
  bool heartbeat_lost = false;
  /// The last envelope to it was lost.
  bool last_delivery_lost = false;
  uint64_t stream_in = 0;
  uint64_t stream_out = 1;
  bool in_flight = false;
  /// When the last envelope was sent.
  instant sent;
  /// Since when parts of its jobs are at this entry; unset while there are
  /// none.
  std::optional<instant> origin_since;
  /// An envelope is due even if it has no messages.
  bool keepalive_due = false;
  /// Parts are cancelled if the envelope in flight is lost.
  bool lost_envelope_resets = false;
  /// Ends of claims in the envelope in flight, which are sent again if it is
  /// lost: without them the peer refuses other submissions of their jobs.
  std::vector<claim_release> releases_in_flight;
  /// Claims on jobs that it arbitrates may have been lost.
  bool job_claims_lost = false;
  /// It may have missed cancellations of jobs since this time; unset once it
  /// has acknowledged them. They are in the outbox, or in the envelope in
  /// flight.
  std::optional<instant> missed_cancels_since = instant{};
  bool missed_cancels_queued = false;
  bool in_flight_has_missed_cancels = false;
  std::vector<peer_message> outbox;
  /// Some of them do not wait for the next heartbeat.
  bool outbox_due = false;
  load_table load;
  /// When `load` was received.
  instant load_received;
  /// When it was last told of the workers that this entry controls.
  instant told_workers;
  /// Workers that it controls, with their fences.
  std::map<std::string, uint64_t> claims;
  /// Those that may not have seen its fence yet.
  std::set<std::string> acquiring;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PEER_BASE_H_
