// Engine: membership, key intervals and handover.
#include <algorithm>
#include <chrono>
#include <utility>

#include "engine.h"
#include "tarragondrift/core/dispatch_cmd.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

/// Interval between two checks for key intervals to claim.
constexpr milliseconds kKeyClaimInterval{1'000};
/// Delay between two attempts to hand over kept answers.
constexpr milliseconds kHandoverRetry{200};

/// Returns the time since the Unix epoch, by which key intervals are labelled.
milliseconds EpochTime() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

/// Returns the number of live entries in all data centres, including this
/// entry.
uint32_t CountLiveEntries(const membership& members, instant now) {
  const auto others = std::count_if(
      members.peers.begin(), members.peers.end(),
      [&](const auto& item) { return IsLive(members, item.second, now); });
  return static_cast<uint32_t>(others) + 1;
}

}  // namespace

heartbeat engine::DescribeSelf() const {
  heartbeat self{
      .from = options_.entry.self,
      .data_centre = options_.entry.data_centre,
      .address = options_.members.address,
      .stage = state_.stage,
      .queued_tasks = static_cast<uint32_t>(QueuedTasks(state_.dispatch)),
      .config_version = state_.config == nullptr ? 0 : state_.config->version};
  state_.dispatch.instances.ForEach(
      [&self](instance_id, const upstream_instance& instance) {
        const uint32_t busy = std::min(instance.in_flight, instance.share);
        self.slots.push_back({.address = instance.address,
                              .in_flight = instance.in_flight,
                              .idle = instance.share - busy});
        if (instance.leaving) {
          self.leaving.push_back(instance.address);
        }
      });
  return self;
}

void engine::TickPeers() {
  for (heartbeat_target& target :
       TickMembership(members_, DescribeSelf(), now_)) {
    action_port_->SendHeartbeat(std::move(target));
  }
}

void engine::TickKeys() {
  if (now_ < next_key_claim_) {
    return;
  }
  next_key_claim_ = now_ + kKeyClaimInterval;
  const std::vector<incarnation> live =
      LiveEntries(members_, options_.entry.data_centre, now_);
  ClaimIntervals(state_, live, EpochTime(), actions_);
  action_port_->SetWriters(CountLiveEntries(members_, now_));
}

std::string engine::OwnerAddress(incarnation owner) const {
  return FindPeerAddress(members_, owner).value_or(std::string{});
}

std::optional<std::string> engine::SuccessorAddress() const {
  const peer* best = nullptr;
  for (const auto& [who, other] : members_.peers) {
    const bool eligible = who != options_.entry.self &&
                          IsLive(members_, other, now_) && other.ever_heard &&
                          other.last.stage == entry_stage::kServing;
    if (!eligible) {
      continue;
    }
    const bool same_data_centre =
        other.last.data_centre == options_.entry.data_centre;
    if (best == nullptr ||
        (same_data_centre &&
         best->last.data_centre != options_.entry.data_centre)) {
      best = &other;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->last.address;
}

void engine::Execute(hand_over& order) {
  handover_ = std::move(order);
  RetryHandover();
}

void engine::RetryHandover() {
  if (!handover_.has_value() || now_ < next_handover_) {
    return;
  }
  const std::optional<std::string> address = SuccessorAddress();
  if (!address.has_value()) {
    next_handover_ = now_ + kHandoverRetry;
    return;
  }
  action_port_->HandOver(*std::exchange(handover_, std::nullopt), *address);
}

void engine::Handle(handover_ended_event& event) {
  if (!event.ended.accepted) {
    next_handover_ = now_ + kHandoverRetry;
  }
  OnHandoverResult(state_, event.ended, actions_);
}

void engine::Handle(handover_event& event) {
  event.done(AcceptHandover(state_, event.handed));
}

void engine::Handle(heartbeat_event& event) {
  ReceiveHeartbeat(members_, event.beat, now_);
  for (const std::string& address : event.beat.leaving) {
    MarkLeaving(state_.dispatch, FindInstance(state_.dispatch, address), now_);
  }
  event.done({.from = options_.entry.self, .supports = true});
}

void engine::Handle(learn_peer_event& event) {
  LearnPeer(members_, event.who, event.data_centre, event.address, now_);
}

}  // namespace tarragondrift
