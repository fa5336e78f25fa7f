// The engine's part in the slot shares of its data centre.
#include <algorithm>
#include <chrono>
#include <utility>

#include "engine.h"
#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/share_cmd.h"

namespace tarragondrift {
namespace {

/// Between two steps of the shares.
constexpr std::chrono::milliseconds kShareInterval{100};

}  // namespace

std::vector<shared_instance> engine::SharedInstances() const {
  std::vector<shared_instance> list;
  list.reserve(instance_slots_.size());
  for (const auto& [address, slots] : instance_slots_) {
    const instance_id id = FindInstance(state_.dispatch, address);
    const upstream_instance* const seen = state_.dispatch.instances.Find(id);
    list.push_back({.address = address,
                    .slots = slots,
                    .in_flight = seen == nullptr ? 0 : seen->in_flight});
  }
  return list;
}

void engine::UpdateSharePeers() {
  std::vector<share_peer> peers;
  for (const auto& [who, other] : members_.peers) {
    const bool near = other.last.data_centre == options_.entry.data_centre;
    if (!near || !other.ever_heard_directly) {
      continue;
    }
    const auto contact = share_contacts_.find(who);
    const bool known = contact != share_contacts_.end();
    peers.push_back(
        {.who = who,
         .heard = other.heard_directly,
         .acknowledged = known ? contact->second.acknowledged : instant{},
         .leaving = other.last.stage != entry_stage::kServing,
         .proven_dead = known && contact->second.replaced});
  }
  TakeSharePeers(shares_, peers);
}

void engine::ApplyShares() {
  may_use_slots_.store(MayUseShares(shares_, now_));
  const auto shared = SharedInstances();
  for (const usable_share& usable : UsableShares(shares_, shared, now_)) {
    const instance_id id = FindInstance(state_.dispatch, usable.address);
    const upstream_instance* const seen = state_.dispatch.instances.Find(id);
    if (seen == nullptr || seen->share == usable.slots) {
      continue;
    }
    SetInstance(state_.dispatch, {.upstream = seen->upstream,
                                  .address = usable.address,
                                  .rack = seen->rack,
                                  .share = usable.slots});
  }
}

void engine::TickOwnShares() {
  if (now_ < next_share_tick_) {
    return;
  }
  next_share_tick_ = now_ + kShareInterval;
  const auto live = LiveEntries(members_, options_.entry.data_centre, now_);
  SetEntryCount(state_.dispatch, static_cast<uint32_t>(live.size()), now_);
  // Until the last job has ended its tasks need the slots.
  if (drained_ != nullptr && state_.jobs.size() == 0) {
    LeaveShares(shares_);
  }
  UpdateSharePeers();
  share_wish wish = TickShares(shares_, SharedInstances(), now_);
  if (wish.read || wish.write.has_value()) {
    outside_->Share(std::move(wish));
  }
  ApplyShares();
}

void engine::LearnLongestRunning() {
  // Attempts that began under an earlier configuration may last as long.
  for (const contract_config& contract : state_.config->contracts) {
    shares_.options.longest_running =
        std::max(shares_.options.longest_running, contract.longest_running);
  }
}

void engine::Handle(share_row_event& event) {
  TakeShareRow(shares_, event.read, event.begun, now_);
  ApplyShares();
}

void engine::Handle(beat_ended_event& event) {
  share_contact& contact = share_contacts_[event.reply.from];
  if (event.reply.supports) {
    contact.acknowledged = std::max(contact.acknowledged, event.sent);
  }
  for (const auto& [who, other] : members_.peers) {
    // One that has been heard since the beat was sent may have started then.
    const bool older = other.ever_heard_directly &&
                       other.heard_directly < event.sent &&
                       other.last.address == event.address;
    if (older && who != event.reply.from && event.reply.from.value != 0) {
      share_contacts_[who].replaced = true;
    }
  }
  std::erase_if(share_contacts_, [this](const auto& one) {
    return !members_.peers.contains(one.first);
  });
}

}  // namespace tarragondrift
