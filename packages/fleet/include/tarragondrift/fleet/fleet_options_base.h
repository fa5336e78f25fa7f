// Limits and intervals of an entry that controls workers.
#ifndef TARRAGONDRIFT_FLEET_FLEET_OPTIONS_BASE_H_
#define TARRAGONDRIFT_FLEET_FLEET_OPTIONS_BASE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragondrift::fleet {

using std::chrono::milliseconds;

/// Defaults suit workers that grant leases of a second and callers that send a
/// failed job again after 1.3 s: whatever a lost entry started must have ended
/// by then (docs/design/users_platform.md has the sum).
struct fleet_options {
  /// Lease that each order asks for; below the most that workers grant.
  milliseconds lease{900};
  /// How much slower than ours a worker's clock may run, in percent.
  uint32_t clock_error_percent = 2;
  /// Added to a lease's end for the way of the order and rounding.
  milliseconds lease_margin{30};
  /// How long a worker may keep a hold open; three fit into a lease.
  milliseconds poll_wait{250};
  /// No answer to a hold for this long beyond its wait: it is sent again.
  milliseconds poll_timeout{200};
  /// No answer to a start or stop for this long: its outcome is unknown.
  milliseconds order_timeout{150};
  /// Longest time that a worker takes to stop a task.
  milliseconds max_stop_time{50};
  /// How long a worker that said "no room" gets nothing.
  milliseconds full_backoff{30};
  /// Pause between attempts to get control of a worker.
  milliseconds acquire_backoff{200};
  /// Pause after an attempt to acquire a worker that was not answered.
  milliseconds unanswered_backoff{1'000};
  /// Time in which beats come back once a cut heals: a delivery that hangs, the
  /// pause before the next connection, and a beat's interval.
  milliseconds partition_heal_wait{1'300};
  /// A worker that vanished from the list and stays away is gone.
  milliseconds unlisted_limit{2'000};

  /// Runs in a row that go wrong until a worker gets no work for a while;
  /// single failures are the tasks' own (two in a thousand).
  uint32_t max_consecutive_failures = 3;
  /// First time without work after that; it doubles up to the longest.
  milliseconds initial_ejection{1'000};
  milliseconds max_ejection{8'000};
  /// A run that takes this many times the expected time and the slack stands
  /// still; runs spread by 40% and the slowest sound workers take 1.25 times.
  double stall_factor = 4.0;
  milliseconds stall_slack{250};

  /// Interval of beats to each peer.
  milliseconds heartbeat_interval{250};
  /// Peers up to which that interval holds; with more it grows, so that beats
  /// stay within a thin link.
  uint32_t peers_at_base_interval = 12;
  /// With more, news that go out at once (a worker taken or handed over, a new
  /// peer) wait for each other this long.
  milliseconds min_heartbeat_interval{100};
  /// With more, an entry that controls no worker beats this many times more
  /// rarely: only its jobs' controllers need to know soon that it is gone.
  uint32_t idle_heartbeat_factor = 3;
  /// Nothing heard for this long (at the base interval): the peer is cut off
  /// or dead. Three beats and their way.
  milliseconds silence_limit{900};
  /// An entry that did nothing for this long was stopped by its machine; its
  /// peers may be about to take it for silent. Ticks come every 20 ms.
  milliseconds process_pause_limit{500};
  /// Tasks run on for this long after the last word of their job's home at
  /// most, also where their controller fails as well: callers send a job again
  /// 1.3 s after its home died, and that word may have been on its way.
  milliseconds orphan_limit{1'200};
  /// A peer that was silent for this long is forgotten.
  milliseconds forget_after{30'000};
  /// After its start an entry listens this long before it takes workers.
  milliseconds startup_wait{1'000};
  /// The same where every listed entry was heard: others that start at this
  /// moment, as after a loss of power, get into the list.
  milliseconds short_startup_wait{200};

  /// Workers of a data centre that an entry controls at most for each core it
  /// has, while there are entries enough: 40 of them, 250 orders and ends a
  /// second, take about 0.1 core; an entry also has callers and peers.
  uint32_t workers_per_core = 160;
  /// Share of the held workers that may be handed over at once, as a divisor;
  /// workers stand empty while their last runs end.
  uint32_t release_divisor = 3;

  /// Queued tasks that one placement pass looks at.
  size_t placement_window = 64;
  /// Offers of one part before it is refused.
  uint32_t max_offers = 3;
  /// Jobs held for callers at once; more are refused (about 5 KB each).
  size_t max_jobs = 2'000;
  /// A job's tasks over all steps; the largest users' jobs have 1,300.
  uint32_t max_tasks = 2'000;
  /// A job's caller is answered by then, however long it would wait: a job is
  /// held in memory, and sub-second tasks end long before.
  milliseconds max_caller_timeout{30'000};
  /// Least and longest time after which refused callers come back.
  milliseconds min_retry_after{1'000};
  milliseconds max_retry_after{10'000};
  /// How long a cancelled job's id is remembered, for copies on their way.
  milliseconds cancel_retention{10'000};
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_FLEET_OPTIONS_BASE_H_
