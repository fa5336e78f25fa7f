// One schedule's world: entries, upstreams, a store and callers, joined by a
// network that fails.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_WORLD_H_
#define TARRAGONDRIFT_BENCH_SAFETY_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "event_queue.h"
#include "ledger.h"
#include "tarragondrift/core/entry_cmd.h"

namespace tarragondrift::bench {

/// One end of a connection.
struct party {
  enum class kind : uint8_t { kCallers, kStore, kUpstream, kEntry };
  kind is = kind::kCallers;
  /// Position in world::upstreams or world::hosts.
  uint32_t index = 0;
  auto operator<=>(const party&) const = default;
};

/// What is wrong with the network now.
struct network {
  std::map<std::pair<party, party>, instant> cut_until;
  instant losing_until;
  instant duplicating_until;
  instant late_until;
};

/// A row of the store: who holds what.
struct store_row {
  submission_id holder;
  content_digest digest;
  incarnation owner;
  bool fence = false;
  auto operator<=>(const store_row&) const = default;
};

/// The table service.
struct store_model {
  std::map<std::string, store_row> rows;
  std::map<key_interval, incarnation> intervals;
  instant dead_until;
  instant slow_until;
  instant losing_replies_until;
  /// Writes for submissions that carried only a ticket.
  uint64_t writes_for_tickets = 0;
  uint64_t writes = 0;
};

/// An upstream instance.
struct upstream_host {
  uint16_t data_centre = 0;
  instant dead_until;
  instant silent_until;
  instant failing_until;
  instant refusing_until;
};

/// Where the answer to a held request goes: to a caller, or to another entry's
/// held request.
struct answer_route {
  party to;
  uint32_t caller = 0;
  waiter_id peer_waiter;
};

/// A submission that was sent on to its owner.
struct pending_forward {
  forward_submission sent;
  incarnation asked;
  uint32_t hops = 0;
};

/// One incarnation of an entry.
struct entry_host {
  party self;
  uint16_t data_centre = 0;
  entry core;
  bool alive = true;
  /// It ended by itself, after a drain that was not forced.
  bool planned_stop = false;
  bool forced = false;
  instant ended;
  instant paused_until;
  uint64_t next_waiter = 1;
  std::map<waiter_id, answer_route> routes;
  std::map<waiter_id, pending_forward> forwards;
  uint64_t handovers = 0;
  /// Successors that did not confirm.
  std::set<incarnation> refused_successors;
};

/// How a caller names its work.
enum class caller_kind : uint8_t {
  kTicket,
  kRecorded,
  kKey,
  kKeyAndTicket,
  kIssuedKey,
  kIdempotent,
};

/// One caller with one piece of work, which it resubmits anywhere.
struct caller {
  caller_kind kind = caller_kind::kTicket;
  job_request request;
  uint32_t sent = 0;
  /// Its last final answer.
  job_answer_ptr answer;
  /// The whole answer that a resubmission at the end has to repeat.
  job_answer_ptr expected;
  bool probing = false;
  job_answer_ptr probed;
};

/// Options of one schedule.
struct schedule_options {
  uint64_t seed = 1;
  injected_fault broken = injected_fault::kNone;
};

/// All of one schedule.
struct world {
  schedule_options options;
  std::mt19937_64 random;
  event_queue events;
  network net;
  store_model store;
  std::vector<std::unique_ptr<entry_host>> hosts;
  std::vector<upstream_host> upstreams;
  std::vector<caller> callers;
  std::set<submission_id> tickets;
  /// Named by entries that ended as planned.
  std::map<incarnation, incarnation> successors;
  ledger seen;
  bool evicting = false;
  uint32_t faults = 0;
  uint32_t deaths = 0;
  uint32_t unknown_outcomes = 0;
};

using event = std::function<void()>;

/// Draws whether something of so many percent happens.
bool Chance(world& all, uint32_t percent);

/// Draws a number of a closed range.
uint64_t Draw(world& all, uint64_t least, uint64_t most);

/// Draws a time of a closed range.
std::chrono::milliseconds DrawTime(world& all, std::chrono::milliseconds least,
                                   std::chrono::milliseconds most);

/// Runs an event at a party now, later if it is paused, never if it is dead.
void ArriveAt(world& all, party to, event run);

/// Runs an event at a party after a time.
void RunLater(world& all, party at, std::chrono::microseconds wait, event run);

/// Whether the network may bring a message twice.
enum class copies : uint8_t { kOne, kMaybeTwo };

/// Sends a message, which may be lost, late, overtaken or doubled.
void Send(world& all, party from, party to, copies allowed, event run);

/// Tells whether a new connection between two parties would fail.
bool IsCut(const world& all, party one, party other);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_WORLD_H_
