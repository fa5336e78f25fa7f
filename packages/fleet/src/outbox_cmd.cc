#include "tarragondrift/fleet/outbox_cmd.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <variant>

#include "tarragondrift/fleet/placement_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Whether what this entry and a peer carry out for each other ends when an
/// envelope with a message was lost. Heartbeats, claims and their ends are sent
/// again, and a claim that is not answered is put to another arbiter.
bool ResetsPeerIfLost(const peer_message& message) {
  return !std::holds_alternative<heartbeat>(message) &&
         !std::holds_alternative<job_claim>(message) &&
         !std::holds_alternative<claim_verdict>(message) &&
         !std::holds_alternative<claim_release>(message) &&
         !std::holds_alternative<claim_confirmation>(message) &&
         !std::holds_alternative<seat_handover>(message);
}

/// Whether all claims that a peer has to know have been sent to it, or are in
/// its outbox.
bool HasToldClaims(const engine& state, const peer& to) {
  return !to.silent && !to.job_claims_lost &&
         std::find(state.told_witnesses.begin(), state.told_witnesses.end(),
                   to.identity.incarnation) != state.told_witnesses.end();
}

std::optional<envelope_echo> MakeEcho(const peer& to, instant now) {
  if (!to.echo_sent) {
    return std::nullopt;
  }
  return envelope_echo{.sent = *to.echo_sent, .age = now - to.echo_arrived};
}

}  // namespace

void SendTo(engine& state, uint64_t incarnation, peer_message message) {
  if (incarnation == state.self.incarnation) {
    state.loopback.push_back(std::move(message));
    return;
  }
  const auto at = state.peers.find(incarnation);
  if (at != state.peers.end()) {
    at->second.outbox.push_back(std::move(message));
    at->second.outbox_due = true;
  }
}

void SendLater(engine& state, uint64_t incarnation, peer_message message) {
  const auto at = state.peers.find(incarnation);
  if (at == state.peers.end() || !at->second.contact) {
    SendTo(state, incarnation, std::move(message));
  } else {
    at->second.outbox.push_back(std::move(message));
  }
}

void ClearOutbox(peer& one) {
  std::erase_if(one.outbox, [](const peer_message& message) {
    return !std::holds_alternative<claim_release>(message);
  });
  one.outbox_due = false;
  one.job_claims_lost = true;
}

void RestoreReleases(peer& one) {
  one.outbox.insert(one.outbox.begin(), one.releases_in_flight.begin(),
                    one.releases_in_flight.end());
  one.releases_in_flight.clear();
}

void SendOutboxes(engine& state, instant now) {
  std::optional<load_table> load;
  for (auto& [incarnation, one] : state.peers) {
    if ((!one.outbox_due && !one.keepalive_due) || one.in_flight) {
      continue;
    }
    if (!load) {
      load = ReportLoad(state, now);
    }
    one.in_flight = true;
    one.sent = now;
    if (!one.unacknowledged_since) {
      one.unacknowledged_since = now;
    }
    one.keepalive_due = false;
    one.outbox_due = false;
    one.in_flight_has_missed_cancels =
        std::exchange(one.missed_cancels_queued, false);
    one.lost_envelope_resets =
        std::any_of(one.outbox.begin(), one.outbox.end(), ResetsPeerIfLost);
    one.releases_in_flight.clear();
    ++state.counts.envelopes_sent;
    for (const peer_message& message : one.outbox) {
      ++state.counts.messages_sent[message.index()];
      if (const auto* release = std::get_if<claim_release>(&message)) {
        one.releases_in_flight.push_back(*release);
      }
    }
    state.out.emplace_back(
        peer_send{.address = one.identity.address,
                  .content = {.from = state.self.incarnation,
                              .to = incarnation,
                              .stream = one.stream_out,
                              .heard_stream = one.stream_in,
                              .sent = now,
                              .echo = MakeEcho(one, now),
                              .load = *load,
                              .claims_told = HasToldClaims(state, one),
                              .messages = std::exchange(one.outbox, {})}});
  }
}

const char* DescribeMessageKind(size_t kind) {
  constexpr std::array<const char*, std::variant_size_v<peer_message>> kNames{
      "heartbeat",      "part_offer",   "part_cancel",
      "part_result",    "job_cancel",   "config_update",
      "crash_report",   "evacuation",   "controlled_workers",
      "part_return",    "job_claim",    "claim_verdict",
      "claim_release",  "claim_notice", "claim_confirmation",
      "witness_update", "seat_handover"};
  return kNames.at(kind);
}

instant EarliestSent(const envelope& received, instant now) {
  // Entries of earlier versions do not echo.
  return received.echo ? std::min(now, received.echo->sent + received.echo->age)
                       : now;
}

void KeepForEcho(const engine& state, peer& one, const envelope& received,
                 instant now) {
  if (received.sent == instant{}) {
    return;
  }
  const instant arrived = received.arrived.value_or(now);
  if (!one.echo_sent ||
      arrived - one.echo_arrived > state.options.echo_retention ||
      arrived - received.sent <= one.echo_arrived - *one.echo_sent) {
    one.echo_sent = received.sent;
    one.echo_arrived = arrived;
  }
}

}  // namespace tarragondrift::fleet
