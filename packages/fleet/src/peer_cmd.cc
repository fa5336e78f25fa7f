#include "tarragondrift/fleet/peer_cmd.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/contact_cmd.h"
#include "tarragondrift/fleet/crash_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/evacuation_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/seat_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"
#include "tarragondrift/fleet/worker_list_cmd.h"

namespace tarragondrift::fleet {
namespace {

std::vector<worker_claim> ListClaims(const engine& state) {
  std::vector<worker_claim> claims;
  for (const auto& [id, one] : state.ticked_workers) {
    if (IsControlled(*one)) {
      claims.push_back({.worker = id,
                        .fence = one->fence,
                        .acquiring = one->phase == control_phase::kAcquiring});
    }
  }
  return claims;
}

heartbeat MakeHeartbeat(const engine& state, const peer& to,
                        const std::vector<worker_claim>& claims, instant now) {
  return {
      .from = state.self,
      .leaving = state.leaving,
      .config_version = state.config ? state.config->version : 0,
      .evacuation_version = state.evacuations.announced_version,
      .interval = HeartbeatInterval(state, to),
      .requests_contact = to.wanted,
      .is_candidate = state.candidate,
      .requests_workers = state.requests_workers,
      .decides_claims = !IsOff(state.options.without, mechanism::kJobClaims),
      .witness_version = state.witnesses.list.version,
      .witness_age = WitnessAge(state, now),
      .claims_end_in = now - to.contact_since < state.options.claim_memory
                           ? ClaimsEndIn(state, to, now)
                           : milliseconds{0},
      .claims = to.candidate ? claims : std::vector<worker_claim>{}};
}

void LogPeerEvent(engine& state, const char* event, const peer& one,
                  const char* cause, instant now) {
  log_line line(event);
  line.With("peer", one.identity.name)
      .With("incarnation", static_cast<int64_t>(one.identity.incarnation))
      .With("silence_ms",
            one.ever_heard
                ? std::chrono::floor<milliseconds>(now - one.last_heard).count()
                : -1)
      .With("cause", cause);
  AddLogLine(state, line, true);
}

/// Queues the cancellations and notices of claims that a peer may have missed.
void QueueMissedCancels(const engine& state, peer& one, instant now) {
  if (!one.missed_cancels_since) {
    return;
  }
  one.missed_cancels_queued = true;
  one.outbox_due = true;
  for (const auto& [job, cancelled] : state.cancelled) {
    if (cancelled >= *one.missed_cancels_since) {
      one.outbox.emplace_back(job_cancel{.job = job});
    }
  }
  for (const auto& [job, record] : state.job_claims) {
    if (record.noticed && record.made >= *one.missed_cancels_since &&
        now < record.until) {
      one.outbox.emplace_back(MakeNotice(job, record, now));
    }
  }
}

/// Cancels all parts that this entry and a peer carry out for each other, and
/// begins a new message stream.
void ResetPeer(engine& state, peer& one, instant now) {
  const uint64_t incarnation = one.identity.incarnation;
  ++one.stream_out;
  ClearOutbox(one);
  one.missed_cancels_queued = false;
  if (!one.missed_cancels_since) {
    // What was queued before the last acknowledged envelope was sent has
    // arrived.
    one.missed_cancels_since =
        one.last_acknowledged - state.options.max_delivery_time;
  }
  CancelPartsFrom(state, incarnation, now);
  FailPartsAt(state, incarnation, now);
}

void MarkSilent(engine& state, peer& one, const char* cause, instant now) {
  if (one.silent) {
    return;
  }
  one.silent = true;
  one.unacknowledged_since.reset();
  state.reconnected.reset();
  state.next_contact_choice = now;
  LogPeerEvent(state, "peer_silent", one, cause, now);
  ResetPeer(state, one, now);
}

/// Logs that this entry decides no claims for longer than its own memory,
/// unless a peer tells those that it knows. Small delays are not logged.
void LogWitnessAbstains(engine& state, const peer& one, instant now) {
  constexpr milliseconds kMinDelay{500};
  if (one.claims_end - state.known_claims_end < kMinDelay) {
    return;
  }
  log_line line("witness_abstains");
  line.With("peer", one.identity.name)
      .With("incarnation", static_cast<int64_t>(one.identity.incarnation))
      .With("started_ms",
            std::chrono::floor<milliseconds>(now - state.started).count())
      .With("claims_end_ms",
            std::chrono::floor<milliseconds>(one.claims_end - now).count());
  AddLogLine(state, line, true);
}

/// Takes what a heartbeat tells of the witnesses and their claims.
void NoteWitnesses(engine& state, peer& one, const heartbeat& received,
                   instant sent, instant now) {
  if (!one.claims_told && received.claims_end_in.count() > 0) {
    // They include those that it had granted with the process before this one.
    one.claims_end = now + received.claims_end_in;
    if (one.claims_end > std::max(state.known_claims_end,
                                  state.started + state.options.claim_memory)) {
      LogWitnessAbstains(state, one, now);
    }
    state.known_claims_end = std::max(state.known_claims_end, one.claims_end);
  }
  const uint64_t known = state.witnesses.list.version;
  if (received.witness_version == known && known != 0) {
    ConfirmWitnessList(state, sent - received.witness_age);
  } else if (received.witness_version < known) {
    SendTo(state, one.identity.incarnation,
           witness_update{.list = state.witnesses.list,
                          .age = WitnessAge(state, now)});
  }
}

void OnHeartbeat(engine& state, peer& one, const heartbeat& received,
                 instant sent, instant now) {
  NoteWitnesses(state, one, received, sent, now);
  one.identity = received.from;
  one.heartbeat_interval = received.interval;
  if (received.is_candidate && !one.announced_candidate) {
    one.arbiter_since = now;
    state.next_claim_check = now;
  }
  one.announced_candidate = received.is_candidate;
  one.decides_claims = received.decides_claims;
  one.candidate = one.candidate || received.is_candidate;
  if (one.requests_contact != received.requests_contact) {
    one.requests_contact = received.requests_contact;
    state.next_contact_choice = now;
  }
  if (one.leaving != received.leaving) {
    one.leaving = received.leaving;
    state.next_contact_choice = now;
    LogPeerEvent(state, "peer_leaving", one, "announced", now);
  }
  one.claims.clear();
  one.acquiring.clear();
  for (const worker_claim& claim : received.claims) {
    one.claims[claim.worker] = claim.fence;
    if (claim.acquiring) {
      one.acquiring.insert(claim.worker);
    }
    const auto at = state.workers.find(claim.worker);
    if (at != state.workers.end()) {
      at->second.highest_fence =
          std::max(at->second.highest_fence, claim.fence);
    }
  }
  if (state.config && received.config_version < state.config->version) {
    SendTo(state, one.identity.incarnation,
           config_update{.version = state.config->version,
                         .text = state.config_text});
  }
  if (received.requests_workers) {
    TellControlledWorkers(state, one, now);
  }
  if (received.evacuation_version < state.evacuations.announced_version) {
    SendTo(state, one.identity.incarnation, CurrentEvacuations(state));
  }
}

/// Relays the cancellation of a job once, if this entry is in contact with
/// controllers that the sender may not be in contact with.
void RelayCancel(engine& state, uint64_t from, const job_cancel& cancel,
                 instant now) {
  const bool first = state.cancelled.insert_or_assign(cancel.job, now).second;
  if (!first || !state.candidate || IsFullMesh(state)) {
    return;
  }
  for (const auto& [incarnation, one] : state.peers) {
    if (one.contact && incarnation != from) {
      SendTo(state, incarnation, cancel);
    }
  }
}

/// Handles a message from a peer or from this entry itself. Configuration
/// updates are handled by the process, which decodes them.
/// @param sent when it was sent, at the earliest.
void HandleMessage(engine& state, uint64_t from, const peer_message& message,
                   instant sent, instant now) {
  if (const auto* offer = std::get_if<part_offer>(&message)) {
    AcceptPart(state, from, *offer, sent, now);
  } else if (const auto* cancel = std::get_if<part_cancel>(&message)) {
    CancelPart(state, from, cancel->ref, true, now);
  } else if (const auto* result = std::get_if<part_result>(&message)) {
    OnPartResult(state, from, *result, now);
  } else if (const auto* returned = std::get_if<part_return>(&message)) {
    OnPartReturn(state, from, *returned, now);
  } else if (const auto* job = std::get_if<job_cancel>(&message)) {
    CancelPartsOfJob(state, job->job, now);
    RelayCancel(state, from, *job, now);
  } else if (const auto* crash = std::get_if<crash_report>(&message)) {
    MergeCrashRecord(state, crash->task, crash->record, now);
  } else if (const auto* known = std::get_if<evacuation_snapshot>(&message)) {
    ApplyEvacuations(state, *known, evacuation_source::kPeer, now);
  } else if (const auto* told = std::get_if<controlled_workers>(&message)) {
    OnControlledWorkers(state, *told, now);
  } else if (const auto* claim = std::get_if<job_claim>(&message)) {
    OnJobClaim(state, from, *claim, now);
  } else if (const auto* verdict = std::get_if<claim_verdict>(&message)) {
    OnClaimVerdict(state, from, *verdict, now);
  } else if (const auto* release = std::get_if<claim_release>(&message)) {
    OnClaimRelease(state, from, *release, now);
  } else if (const auto* notice = std::get_if<claim_notice>(&message)) {
    OnClaimNotice(state, from, *notice, now);
  } else if (const auto* reply = std::get_if<claim_confirmation>(&message)) {
    OnClaimConfirmation(state, from, *reply, now);
  } else if (const auto* update = std::get_if<witness_update>(&message)) {
    OnWitnessUpdate(state, *update, sent, now);
  } else if (const auto* handover = std::get_if<seat_handover>(&message)) {
    OnSeatHandover(state, *handover);
  } else if (const auto* received = std::get_if<heartbeat>(&message)) {
    const auto at = state.peers.find(from);
    if (at != state.peers.end()) {
      OnHeartbeat(state, at->second, *received, sent, now);
    }
  }
}

/// Marks earlier processes of a restarted instance as silent and removes them
/// once they have no delivery in flight.
void RemoveOlderIncarnations(engine& state, const entry_identity& newer,
                             instant now) {
  for (auto& [incarnation, one] : state.peers) {
    if (one.identity.name == newer.name && incarnation < newer.incarnation) {
      MarkSilent(state, one, "restarted", now);
      one.superseded = true;
      if (!one.claims_told) {
        state.untold_claims_end =
            std::max(state.untold_claims_end, one.claims_end);
      }
      one.claims.clear();
      if (one.contact && one.ever_heard) {
        EndClaimsOf(state, incarnation, now);
      }
      state.lost_runs_end =
          std::max(state.lost_runs_end, now + state.options.orphan_limit);
    }
  }
  std::erase_if(state.peers, [&newer](const auto& entry) {
    return entry.second.identity.name == newer.name &&
           entry.first < newer.incarnation && !entry.second.in_flight;
  });
}

/// Returns the peers that control parts of this entry's jobs.
std::set<uint64_t> ControllersOf(const engine& state) {
  std::set<uint64_t> found;
  for (const auto& [number, job] : state.jobs) {
    for (const job_part& one : job.parts) {
      if (one.phase == job_part_phase::kOffered) {
        found.insert(one.controller);
      }
    }
  }
  return found;
}

/// Returns the entries whose jobs have parts at this entry.
std::set<uint64_t> OriginsOf(const engine& state) {
  std::set<uint64_t> found;
  state.parts.ForEach(
      [&found](part_id, const part& one) { found.insert(one.origin); });
  return found;
}

/// Controllers soon stop the runs of a silent origin, so an origin sends to
/// them at least at the base interval. This entry does so for the controllers
/// of its jobs and expects it from the origins of the parts that it controls.
void UpdateKeepalives(engine& state, instant now) {
  const std::set<uint64_t> controllers = ControllersOf(state);
  const std::set<uint64_t> origins = OriginsOf(state);
  for (auto& [incarnation, one] : state.peers) {
    if (!controllers.contains(incarnation)) {
      one.holds_parts_since.reset();
    } else if (!one.holds_parts_since) {
      one.holds_parts_since = now;
    }
    one.keepalive_due = one.holds_parts_since &&
                        now - one.sent >= state.options.heartbeat_interval;
    if (!origins.contains(incarnation)) {
      one.origin_since.reset();
    } else if (!one.origin_since) {
      one.origin_since = now;
    }
  }
}

bool IsSilenceLimitExceeded(const engine& state, const peer& one, instant now) {
  const milliseconds limit = state.options.silence_limit;
  if (one.origin_since &&
      now - std::max(one.last_heard, *one.origin_since) > limit) {
    return true;
  }
  // Keepalives to the controllers of own jobs are acknowledged.
  if (one.holds_parts_since &&
      now - std::max({one.last_heard, one.last_acknowledged,
                      *one.holds_parts_since}) >
          limit) {
    return true;
  }
  const milliseconds interval =
      std::max(one.heartbeat_interval, state.options.heartbeat_interval);
  return now - one.last_heard >
         limit + 2 * (interval - state.options.heartbeat_interval);
}

/// Marks peers as silent from which no message came for too long. A peer that
/// is not a contact was not asked for any.
void DetectSilence(engine& state, instant now) {
  for (auto& [incarnation, one] : state.peers) {
    if (one.silent || !IsSilenceLimitExceeded(state, one, now)) {
      continue;
    }
    if (one.contact) {
      MarkSilent(state, one, "no_heartbeat", now);
    } else if (!one.in_flight) {
      DropContact(one);
    }
  }
}

/// Whether a peer has been silent for so long that it is taken to be gone.
bool IsRetired(const engine& state, const peer& one, instant now) {
  const instant last = one.ever_heard ? one.last_heard : one.contact_since;
  return one.silent && one.contact && now - last >= state.options.forget_after;
}

/// Whether a peer can be forgotten. A peer that is listed may be behind a
/// network partition, however long it has been silent. One that leaves
/// withdraws its row first, and may run tasks until it has released its
/// workers.
bool IsForgettable(const engine& state, const peer& one, instant now) {
  if (!one.silent || one.in_flight) {
    return false;
  }
  const bool has_left = one.withdrawn && one.claims.empty();
  const bool has_no_jobs =
      one.ever_heard && now - one.last_heard >= LongestJob(state.options);
  return one.superseded ||
         (!one.listed && (!one.contact || has_left || has_no_jobs ||
                          (!one.ever_heard && IsRetired(state, one, now))));
}

bool IsHeartbeatDue(const engine& state, const peer& one, instant now) {
  if (!one.contact) {
    return false;
  }
  if (IsRetired(state, one, now)) {
    return now - one.sent >= state.options.retired_interval;
  }
  // A lost heartbeat may have announced a change.
  return one.heartbeat_due ||
         now - one.sent >= (one.heartbeat_lost
                                ? state.options.heartbeat_interval
                                : HeartbeatInterval(state, one));
}

void QueueHeartbeat(const engine& state, peer& one,
                    const std::vector<worker_claim>& claims, instant now) {
  one.heartbeat_due = false;
  one.heartbeat_lost = false;
  one.announced_wanted = one.wanted;
  one.outbox_due = true;
  heartbeat latest = MakeHeartbeat(state, one, claims, now);
  if (one.outbox.empty() || !std::holds_alternative<heartbeat>(one.outbox[0])) {
    one.outbox.insert(one.outbox.begin(), std::move(latest));
  } else {
    one.outbox[0] = std::move(latest);
  }
}

/// Queues the heartbeats that are due. In a full mesh all are sent at the same
/// time; else each contact has its own, postponed by other envelopes to it.
void QueueHeartbeats(engine& state, instant now) {
  const bool full_mesh = IsFullMesh(state);
  if (full_mesh && now < state.next_heartbeat) {
    return;
  }
  const bool announces =
      state.announce != announcement::kNone &&
      now - state.last_heartbeat >= state.options.min_heartbeat_interval;
  std::optional<std::vector<worker_claim>> claims;
  for (auto& [incarnation, one] : state.peers) {
    const bool concerned =
        state.announce == announcement::kToAllContacts || one.candidate;
    const bool at_once = one.contact && !IsRetired(state, one, now) &&
                         (full_mesh || (announces && concerned));
    if (at_once || IsHeartbeatDue(state, one, now)) {
      if (!claims) {
        claims = ListClaims(state);
      }
      QueueHeartbeat(state, one, *claims, now);
    }
  }
  if (full_mesh || announces) {
    state.last_heartbeat = now;
    state.announce = announcement::kNone;
    state.next_heartbeat = now + state.options.heartbeat_interval;
  }
}

/// Adds an entry or updates its identity.
void MeetPeer(engine& state, const entry_identity& identity, instant now) {
  if (identity.incarnation == state.self.incarnation ||
      identity.name == state.self.name) {
    return;
  }
  RemoveOlderIncarnations(state, identity, now);
  auto [at, added] = state.peers.try_emplace(identity.incarnation);
  at->second.identity = identity;
  if (added) {
    at->second.met = now;
    state.next_contact_choice = now;
    if (IsFullMesh(state)) {
      state.next_heartbeat = now;
    }
    log_line line("peer_found");
    line.With("peer", identity.name)
        .With("address", identity.address)
        .With("incarnation", static_cast<int64_t>(identity.incarnation));
    AddLogLine(state, line);
  }
}

}  // namespace

void AnnounceChange(engine& state, announcement to) {
  state.announce = std::max(state.announce, to);
  state.next_heartbeat = instant{};
}

bool IsUsable(const peer& one) { return !one.silent && !one.leaving; }

void ResetAllPeers(engine& state, const char* cause, instant now) {
  for (auto& [incarnation, one] : state.peers) {
    MarkSilent(state, one, cause, now);
  }
}

void AddPeer(engine& state, const entry_identity& identity, instant now) {
  MeetPeer(state, identity, now);
  const auto at = state.peers.find(identity.incarnation);
  if (at != state.peers.end()) {
    at->second.listed = true;
    at->second.withdrawn = false;
  }
}

void RemovePeerRow(engine& state, const std::string& name, instant now) {
  for (auto& [incarnation, one] : state.peers) {
    if (one.identity.name == name) {
      one.listed = false;
      one.withdrawn = true;
      state.next_contact_choice = now;
    }
  }
}

bool OnEnvelope(engine& state, const envelope& received, instant now) {
  if (received.to != state.self.incarnation) {
    return false;
  }
  if (!state.peers.contains(received.from)) {
    for (const peer_message& message : received.messages) {
      if (const auto* first = std::get_if<heartbeat>(&message)) {
        MeetPeer(state, first->from, now);
      }
    }
  }
  const auto at = state.peers.find(received.from);
  if (at == state.peers.end()) {
    return true;
  }
  peer& one = at->second;
  // The sender took it for lost and has failed the jobs that it offers.
  const bool is_of_earlier_stream = received.stream < one.stream_in;
  if (one.ever_heard && received.stream > one.stream_in && !one.silent) {
    LogPeerEvent(state, "peer_lost_track", one, "new_stream", now);
    CancelPartsFrom(state, received.from, now);
    FailPartsAt(state, received.from, now);
  }
  const bool was_silent = one.silent;
  if (was_silent) {
    LogPeerEvent(state, "peer_heard", one, "message", now);
    if (std::all_of(state.peers.begin(), state.peers.end(),
                    [](const auto& entry) { return entry.second.silent; })) {
      state.rejoined = now;
    }
    one.silent = false;
    one.arbiter_since = now;
    state.next_contact_choice = now;
    state.next_claim_check = now;
    QueueMissedCancels(state, one, now);
  }
  const bool is_first_of_stream =
      was_silent || !one.ever_heard || received.stream > one.stream_in;
  const instant sent = EarliestSent(received, now);
  KeepForEcho(state, one, received, now);
  one.known_alive = std::max(one.known_alive, sent);
  one.ever_heard = true;
  one.last_heard = now;
  one.stream_in = std::max(one.stream_in, received.stream);
  one.load = received.load;
  one.load_received = now;
  one.claims_told = one.claims_told || received.claims_told;
  const bool accepts_offers =
      !is_of_earlier_stream && received.heard_stream == one.stream_out;
  for (const peer_message& message : received.messages) {
    if (accepts_offers || !std::holds_alternative<part_offer>(message)) {
      HandleMessage(state, received.from, message, sent, now);
    }
  }
  if (is_first_of_stream) {
    // Until the peer hears this entry, its offers do not count, and it decides
    // claims without this entry.
    QueueHeartbeat(state, one, ListClaims(state), now);
  }
  return true;
}

void OnDelivery(engine& state, uint64_t incarnation, delivery outcome,
                instant now) {
  const auto at = state.peers.find(incarnation);
  if (at == state.peers.end()) {
    return;
  }
  peer& one = at->second;
  one.in_flight = false;
  if (outcome == delivery::kDelivered) {
    if (one.silent && one.last_delivery_lost && !state.reconnected) {
      // What the peer sends may take as long as a lost delivery.
      state.reconnected = now;
    }
    one.last_delivery_lost = false;
    one.last_acknowledged = now;
    one.unacknowledged_since.reset();
    if (one.in_flight_has_missed_cancels) {
      one.missed_cancels_since.reset();
    } else if (!one.silent && !one.missed_cancels_queued) {
      // A peer that acknowledges nothing would get them in a loop.
      QueueMissedCancels(state, one, now);
    }
  } else if (outcome == delivery::kOtherProcess) {
    MarkSilent(state, one, "other_process", now);
    one.claims.clear();
    one.ever_heard = true;
    // Its runs end within orphan_limit.
    one.last_heard =
        now - (LongestJob(state.options) - state.options.orphan_limit);
  } else if (outcome == delivery::kLost) {
    one.last_delivery_lost = true;
    one.heartbeat_lost = true;
    one.job_claims_lost = true;
    RestoreReleases(one);
    if (one.lost_envelope_resets) {
      LogPeerEvent(state, "peer_delivery_lost", one, "no_answer", now);
      ResetPeer(state, one, now);
    }
  }
}

void TickPeers(engine& state, instant now) {
  UpdateKeepalives(state, now);
  DetectSilence(state, now);
  std::erase_if(state.peers, [&](const auto& entry) {
    return IsForgettable(state, entry.second, now);
  });
  QueueHeartbeats(state, now);
}

void FlushPeers(engine& state, instant now) {
  // Handling a message may queue further ones.
  while (!state.loopback.empty()) {
    const std::vector<peer_message> messages =
        std::exchange(state.loopback, {});
    for (const peer_message& message : messages) {
      HandleMessage(state, state.self.incarnation, message, now, now);
    }
  }
  SendOutboxes(state, now);
}

}  // namespace tarragondrift::fleet
