// Limits and intervals of an entry.
#ifndef TARRAGONDRIFT_FLEET_FLEET_OPTIONS_BASE_H_
#define TARRAGONDRIFT_FLEET_FLEET_OPTIONS_BASE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "tarragondrift/fleet/mechanism_base.h"

namespace tarragondrift::fleet {

using std::chrono::milliseconds;

/// The defaults assume workers that grant leases of up to one second and
/// callers that resubmit a failed job after 1.3 s: all runs of a lost entry
/// must have ended by then (see docs/design/users_platform.md for the
/// calculation).
struct fleet_options {
  /// Mechanisms that are switched off, for experiments.
  mechanism_set without;
  /// Lease requested with each order; below the maximum that workers grant.
  milliseconds lease{900};
  /// How much slower a worker's clock may run than this entry's, in percent.
  uint32_t clock_error_percent = 2;
  /// Added to the lease expiry for the order's transit time and for rounding.
  milliseconds lease_margin{30};
  /// How long a worker may hold a poll; three polls fit into a lease.
  milliseconds poll_wait{250};
  /// A poll without a reply for this long beyond its wait is resent.
  milliseconds poll_timeout{200};
  /// A start or stop order without a reply for this long has an unknown
  /// outcome.
  milliseconds order_timeout{150};
  /// How long a worker takes at most to stop a task.
  milliseconds max_stop_time{50};
  /// How long a worker that reported no capacity gets no starts.
  milliseconds full_backoff{30};
  /// Pause between attempts to acquire a worker.
  milliseconds acquire_backoff{200};
  /// Pause after an attempt to acquire a worker that got no reply.
  milliseconds unanswered_backoff{1'000};
  /// Time until heartbeats arrive again after a network partition heals: a
  /// hanging delivery, the pause before reconnecting, and one heartbeat
  /// interval.
  milliseconds partition_heal_wait{1'300};
  /// A worker missing from the platform's list for this long is removed.
  milliseconds unlisted_limit{2'000};

  /// Consecutive failed or stalled runs after which a worker is ejected. Single
  /// failures are caused by the tasks themselves (two in a thousand).
  uint32_t max_consecutive_failures = 3;
  /// Duration of the first ejection; doubled for each further one up to
  /// max_ejection.
  milliseconds initial_ejection{1'000};
  milliseconds max_ejection{8'000};
  /// A run is stalled after this many times its expected running time plus
  /// stall_slack. Running times vary by 40%, and the slowest healthy workers
  /// take 1.25 times as long.
  double stall_factor = 4.0;
  milliseconds stall_slack{250};
  /// A run whose reported progress does not change for this share of its
  /// expected running time, and for this long, stands still. Progress is in
  /// whole percents: a run of four times the expected time still advances by
  /// two of them.
  double standstill_share = 0.1;
  milliseconds min_standstill{100};
  /// A run that takes at least this many times its expected time, by its
  /// progress, is far too slow; one healthy run in 30,000 is. At 3.0, one in
  /// 300, healthy workers under suspicion cost more than slow ones.
  double slow_run_factor = 5.0;
  /// Runs younger than this are not judged by their progress: the order and the
  /// reply travel for some milliseconds.
  milliseconds min_judged_age{100};
  /// How long a worker gets no starts after a run there was seen to be far too
  /// slow; each poll shows anew whether it is. More than a poll takes.
  milliseconds suspicion{400};
  /// While more than this share of the held workers is under suspicion, as a
  /// divisor, the expected times are wrong rather than the workers.
  uint32_t suspicion_divisor = 3;

  /// How long the crashes of a task are remembered: as long as its job may be
  /// submitted again.
  milliseconds crash_retention{30'000};
  size_t max_crash_records = 10'000;
  /// How long a worker stays reserved after a task that needs a worker of its
  /// own was last waiting, and the share of the held workers that may be
  /// reserved, as a divisor. An entry with fewer workers reserves none, and
  /// such tasks wait for one that is empty.
  milliseconds reservation{60};
  uint32_t reservation_divisor = 8;

  /// Interval of heartbeats to each peer.
  milliseconds heartbeat_interval{250};
  /// Number of peers up to which all entries exchange heartbeats at that
  /// interval. With more peers only contacts do (see contact_cmd.h), and the
  /// interval grows with their number, so that heartbeats do not fill a narrow
  /// link.
  uint32_t max_full_mesh_peers = 12;
  /// Between contacts, heartbeats sent at once after a change (a worker
  /// acquired or handed over) are at least this far apart.
  milliseconds min_heartbeat_interval{100};
  /// Factor of the interval between an entry and a contact that do not both
  /// control workers: envelopes with offers and results come more often.
  uint32_t origin_heartbeat_factor = 3;
  /// Entries of a data centre that are next in line for the control of its
  /// workers, beside those that control them.
  size_t standby_controllers = 2;
  /// Controllers of other data centres that an entry without workers keeps in
  /// touch with, for jobs that its own data centre has no capacity for.
  size_t remote_contacts = 4;
  /// A peer without messages for this long (at the base interval) is
  /// partitioned or dead. Covers three heartbeats and their transit time.
  milliseconds silence_limit{900};
  /// A peer that has not acknowledged an envelope for this long gets no offers
  /// until it does. More than one 100 ms period of a processor quota, after
  /// which a live entry acknowledges, and the round trip.
  milliseconds offer_response_limit{150};
  /// A delivery without an acknowledgement for this long is lost. Not below the
  /// timeout of the host process.
  milliseconds max_delivery_time{1'000};
  /// An entry that handled no event for this long was paused by its host; its
  /// peers may be about to mark it silent. Ticks come every 20 ms.
  milliseconds process_pause_limit{500};
  /// How long tasks run at most after their job's origin sent its last message,
  /// even if their controller fails as well. Callers resubmit a job 1.3 s after
  /// its origin died.
  milliseconds orphan_limit{1'200};
  /// A peer that has been silent for this long gets heartbeats only at
  /// retired_interval.
  milliseconds forget_after{30'000};
  milliseconds retired_interval{5'000};
  /// How long an entry that is next in line for workers waits for the list of
  /// workers before it asks its peers. The store lists 1,000 workers in less.
  milliseconds workers_request_delay{300};
  /// An entry tells a peer that goes on asking of its workers this often.
  milliseconds workers_request_interval{1'000};
  /// How long an entry listens after its start, or after a pause of its
  /// process, before it acquires workers.
  milliseconds startup_wait{1'000};
  /// How long after its start an entry holds jobs that it has no capacity for:
  /// after a power failure of all entries, workers are acquired within a
  /// second.
  milliseconds startup_hold{2'000};
  /// Jobs held at a time while starting.
  size_t max_held_jobs = 200;
  /// Held jobs that are tried in one step without success before the others
  /// are left for the next one: they need more capacity.
  size_t max_failed_retries = 16;
  /// How long to wait for the first message of a contact, which may still be
  /// starting.
  milliseconds first_message_timeout{1'500};
  /// The same for a contact that did not acknowledge a heartbeat either. A live
  /// process acknowledges within milliseconds, even when it is slow to answer.
  milliseconds first_acknowledgement_timeout{500};
  /// Replaces startup_wait if all listed entries were heard. Leaves time for
  /// entries that start at the same moment, as after a power failure, to appear
  /// in the list.
  milliseconds short_startup_wait{100};

  /// Workers of a data centre that an entry controls at most per core, while
  /// there are enough entries: 40 workers with 250 orders and ended runs per
  /// second take about 0.1 core, and the entry also serves callers and peers.
  uint32_t workers_per_core = 160;
  /// Share of the held workers that may be handed over at once, as a divisor: a
  /// worker in handover gets no new runs while its last ones end.
  uint32_t release_divisor = 3;

  /// Queued tasks considered in one placement pass.
  size_t placement_window = 64;
  /// Tasks of a part are returned to its origin at most this often, so that
  /// queues do not move back and forth while demand varies.
  milliseconds min_return_interval{100};
  /// Tasks with less slack stay queued: they would be late elsewhere as well
  /// after the way to the origin and from there to another controller, on each
  /// of which they may wait for an envelope in flight.
  milliseconds min_return_slack{20};
  /// How often a part is offered to controllers before it is refused.
  uint32_t max_offers = 3;
  /// Jobs held for callers at a time (about 5 KB each); further ones are
  /// refused.
  size_t max_jobs = 2'000;
  /// Tasks of a job over all steps; the largest jobs of users have 1,300.
  uint32_t max_tasks = 2'000;
  /// Limit of the time until a caller is answered, whatever its own timeout: a
  /// job is held in memory, and sub-second tasks end long before.
  milliseconds max_caller_timeout{30'000};
  /// Whether jobs that are served better than others leave headroom for those
  /// while capacity is scarce (see admission_share_cmd.h).
  bool share_capacity = false;
  /// Limits of the retry delay given to refused callers.
  milliseconds min_retry_after{1'000};
  milliseconds max_retry_after{10'000};
  /// Retry delay of callers that are refused because all capacity is evacuated.
  /// Evacuations last for minutes, and nobody knows when one ends.
  milliseconds evacuation_retry_after{5'000};
  /// How long an envelope is echoed unless one was on its way for less time.
  /// Clocks of entries drift apart by less than a millisecond meanwhile.
  milliseconds echo_retention{10'000};
  /// How long an entry waits for the witnesses of a job before it makes a row
  /// in the store as well. A live witness answers within milliseconds, or after
  /// a 100 ms period of a processor quota; the shortest objective leaves 96 ms.
  milliseconds claim_wait{50};
  /// How long it waits for all of them before it refuses the job.
  milliseconds claim_limit{350};
  /// How long a row may take before the store counts as out of reach, and how
  /// often it is tried meanwhile.
  milliseconds row_wait{200};
  /// How long an entry waits for one that relays its claim before it asks
  /// another one as well, and how many it asks.
  milliseconds relay_wait{150};
  uint32_t max_relays = 2;
  /// How long an entry that was paused waits for its peers before it refuses
  /// jobs as their witnesses cannot be heard. Heartbeats of a small fleet come
  /// in less.
  milliseconds claim_listening{300};
  /// How long an entry that has become a candidate has others relay its claims:
  /// it may not hear all witnesses yet. More than two heartbeat intervals of a
  /// large fleet.
  milliseconds arbiter_settling{2'000};
  /// How long after its start a witness decides no claims, as it does not know
  /// those that the process before it had granted: as long as tasks run at most
  /// after their claim, where callers wait for 1.5 s. Longer ones are told by
  /// peers.
  milliseconds claim_memory{3'000};
  /// Witnesses of each data centre.
  size_t witnesses_per_data_centre = 3;
  /// How long a witness has to be missing before the list is changed, and how
  /// long another change has to be due: claims go on meanwhile, with rows.
  milliseconds witness_absence{30'000};
  milliseconds witness_settling{5'000};
  /// How long a witness has to be missing before an entry of its data centre
  /// that is none takes its seat. A process that is restarted is back sooner.
  milliseconds seat_absence{1'500};
  /// How long a holder that is not heard may go by the list from before its
  /// seat was given to another instance. Tasks of its claims run for up to
  /// `claim_memory` after that.
  milliseconds seat_lapse{1'500};
  /// How long an entry that leaves waits for another one to take its seats.
  milliseconds seat_handover_wait{1'500};
  /// How old the list may be, as known from the store, for claims to go by it.
  /// It is changed again only after that, when nobody goes by the list before
  /// the last change. Longer than outages of the store.
  milliseconds witness_list_max_age{300'000};
  /// How often the list is read at least while the store answers.
  milliseconds witness_read_interval{5'000};
  /// How old the list may be for an entry that hears less than half of the
  /// witnesses to decide claims. Its seats may have been given to others.
  milliseconds lone_witness_list_age{6'000};
  /// How long an entry that has lost most witnesses, but not the store,
  /// acquires no workers. Partitions of single entries mostly heal within
  /// seconds, and a worker that changes hands meanwhile stops its tasks.
  milliseconds isolation_wait{5'000};
  /// How long a witness waits for all controllers: a round trip, a stop and
  /// its acknowledgement, which may be sent twice.
  milliseconds claim_round_wait{250};
  /// How long a cancelled job's id is kept, for copies of the job in transit.
  milliseconds cancel_retention{10'000};
};

/// Returns how long after a job was accepted its last task has ended: at its
/// deadline, or when the leases of an origin that failed before it are over.
inline milliseconds LongestJob(const fleet_options& options) {
  return options.max_caller_timeout + options.orphan_limit;
}

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_FLEET_OPTIONS_BASE_H_
