// Ownership of idempotency keys that carry their issue time: the table grants
// each interval of issue time to one incarnation, permanently.
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

/// The fields of an idempotency key. The issue time is a label that the caller
/// chose once; it is not compared with a clock.
struct issued_key {
  uint16_t home_data_centre = 0;
  /// Time since the Unix epoch.
  std::chrono::milliseconds issued{0};
  /// Hash of the key's UUID or ULID.
  uint64_t hash = 0;
};

/// A part of the key space: the keys of one home data centre and shard that
/// were issued in one interval of time.
struct key_interval {
  /// Issue time divided by the length of an interval. Declared first, so that
  /// intervals sort from the oldest to the newest.
  uint64_t number = 0;
  uint16_t home_data_centre = 0;
  uint16_t shard = 0;
  auto operator<=>(const key_interval&) const = default;
};

/// Options of key ownership. They decide which entry owns a key, so they must
/// be equal at all entries and never change.
struct key_owner_options {
  std::chrono::milliseconds interval_length{600'000};
  uint16_t shards = 6;
};

/// The keys used in one interval of this entry, with their submissions.
using interval_keys = std::unordered_map<std::string, submission_id>;

/// The ownership of key intervals, as far as one entry knows it.
struct key_owners {
  key_owner_options options;
  /// Limit of remembered keys; beyond it, the oldest interval is closed.
  size_t max_keys = 200'000;
  /// Limit of remembered grants; beyond it, the oldest grants to other entries
  /// are forgotten and read again when needed.
  size_t max_grants = 20'000;
  size_t max_pending_claims = 16;
  /// Grants read from the table; a grant never changes.
  std::map<key_interval, incarnation> granted;
  /// Open intervals of this entry. An own interval that is missing is closed.
  std::map<key_interval, interval_keys> open;
  size_t keys = 0;
  /// Claims that were requested and have no result yet.
  std::set<key_interval> pending_claims;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_KEY_OWNER_BASE_H_
