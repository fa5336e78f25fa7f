#include "scenario.h"

namespace tarragondrift::bench {

deployment Rondo() {
  return {
      .name = "rondo", .entries = {2, 2, 2, 1}, .instances = {13, 13, 12, 12}};
}

deployment Adwenpa() {
  return {.name = "adwenpa",
          .entries = {2, 2, 2},
          .instances = {17, 17, 16},
          .far_latency = microseconds{1'500}};
}

deployment DesignSize(uint32_t scale) {
  constexpr uint32_t kDataCentres = 17;
  constexpr uint32_t kInstances = 135;
  constexpr uint32_t kEntries = 7;
  return {.name = "design",
          .entries = std::vector<uint32_t>(kDataCentres, kEntries),
          .instances = std::vector<uint32_t>(kDataCentres, kInstances / scale),
          .slots = 16,
          .far_latency = microseconds{10'000}};
}

policy OwnPolicy() { return {.name = "own"}; }

std::vector<policy> OtherPolicies() {
  const dispatch_options plain{.order = queue_order::kFifo,
                               .placement = placement_rule::kLeastLoaded,
                               .learn_estimates = false,
                               .shed = false,
                               .watch_health = false};
  dispatch_options fifo;
  fifo.order = queue_order::kFifo;
  return {
      {.name = "round_robin", .kind = policy_kind::kPushRoundRobin},
      {.name = "random", .kind = policy_kind::kPushRandom},
      {.name = "least_connections", .kind = policy_kind::kPushLeastConnections},
      {.name = "fifo", .dispatch = fifo},
      {.name = "previous", .dispatch = plain, .loans = false},
      Clairvoyant()};
}

policy Clairvoyant() {
  dispatch_options known;
  known.order = queue_order::kSmallFirst;
  known.learn_estimates = false;
  return {.name = "clairvoyant",
          .dispatch = known,
          .loans = false,
          .clairvoyant = true};
}

}  // namespace tarragondrift::bench
