// Owners of idempotency keys that carry their issue time: the table grants
// intervals of issue time to one incarnation each, for ever.
#ifndef TARRAGONDRIFT_CORE_KEY_OWNER_BASE_H_
#define TARRAGONDRIFT_CORE_KEY_OWNER_BASE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "tarragondrift/core/submission_base.h"

namespace tarragondrift {

/// What an idempotency key says of itself. The time is a label that the
/// caller chose once; no clock is compared with it.
struct issued_key {
  uint16_t home_data_centre = 0;
  /// Since the Unix epoch.
  std::chrono::milliseconds issued{0};
  /// Of the random part of the key.
  uint64_t hash = 0;
};

/// A part of the key space: the keys of one home and shard that were issued
/// in one interval of time.
struct key_interval {
  /// Issue time divided by the length of an interval; first, so that the
  /// oldest intervals are first in order.
  uint64_t number = 0;
  uint16_t home_data_centre = 0;
  uint16_t shard = 0;
  auto operator<=>(const key_interval&) const = default;
};

/// Options of key ownership; the same at all entries and for ever, because
/// they decide who owns a key.
struct key_owner_options {
  std::chrono::milliseconds interval_length{600'000};
  uint16_t shards = 6;
};

/// The keys that ran in one interval that this entry owns.
using interval_keys = std::unordered_map<std::string, submission_id>;

/// All that one entry knows of the owners of key intervals.
struct key_owners {
  key_owner_options options;
  /// Keys that are remembered; beyond, the oldest interval is closed.
  size_t max_keys = 200'000;
  /// Grants to others that are remembered; older ones are read again.
  size_t max_grants = 20'000;
  /// Claims that wait for the table at once.
  size_t max_pending_claims = 16;
  /// Grants that were read; a grant never changes.
  std::map<key_interval, incarnation> granted;
  /// Own intervals that are open. An own interval that is not here is closed.
  std::map<key_interval, interval_keys> open;
  size_t keys = 0;
  /// Claims that were asked for and not answered.
  std::set<key_interval> pending_claims;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_KEY_OWNER_BASE_H_
