#include "tarragondrift/core/key_owner_cmd.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cassert>
#include <iterator>

#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/fnv_hash.h"

namespace tarragondrift {
namespace {

constexpr size_t kHomeDigits = 4;
constexpr size_t kUuidLength = 36;
constexpr size_t kUuidVersionAt = 14;
constexpr size_t kUuidVariantAt = 19;
constexpr size_t kUlidLength = 26;
constexpr size_t kUlidTimeDigits = 10;
constexpr unsigned kHexBits = 4;
constexpr unsigned kUlidBits = 5;
constexpr unsigned kUlidLargestFirstDigit = 7;
constexpr size_t kUuidTimeDigits = 12;
/// Intervals that are claimed before their keys are issued.
constexpr uint64_t kIntervalsAhead = 2;

/// Gives the value of a digit among `digits`, or nothing. Lower-case only for
/// hexadecimal and upper-case only for ULIDs, so that a key has one spelling.
std::optional<unsigned> DigitOf(std::string_view digits, char symbol) {
  const size_t at = digits.find(symbol);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<unsigned>(at);
}

/// Reads digits of so many bits each; hyphens are passed over.
std::optional<uint64_t> ReadDigits(std::string_view text,
                                   std::string_view digits, unsigned bits) {
  uint64_t number = 0;
  for (const char symbol : text) {
    if (symbol == '-') {
      continue;
    }
    const auto digit = DigitOf(digits, symbol);
    if (!digit) {
      return std::nullopt;
    }
    number = (number << bits) | *digit;
  }
  return number;
}

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kUlidDigits = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";

/// Reads the issue time of a UUID of version 7, in milliseconds.
std::optional<uint64_t> ReadUuidTime(std::string_view id) {
  if (id.size() != kUuidLength || id[kUuidVersionAt] != '7' ||
      std::string_view("89ab").find(id[kUuidVariantAt]) ==
          std::string_view::npos) {
    return std::nullopt;
  }
  for (size_t at = 0; at < id.size(); ++at) {
    const bool hyphen = at == 8 || at == 13 || at == 18 || at == 23;
    if (hyphen != (id[at] == '-')) {
      return std::nullopt;
    }
  }
  if (!ReadDigits(id, kHexDigits, kHexBits)) {
    return std::nullopt;
  }
  return ReadDigits(id.substr(0, kUuidTimeDigits + 1), kHexDigits, kHexBits);
}

/// Reads the issue time of a ULID, in milliseconds.
std::optional<uint64_t> ReadUlidTime(std::string_view id) {
  if (id.size() != kUlidLength || id.find('-') != std::string_view::npos ||
      !ReadDigits(id, kUlidDigits, kUlidBits) ||
      DigitOf(kUlidDigits, id[0]).value_or(kUlidDigits.size()) >
          kUlidLargestFirstDigit) {
    return std::nullopt;
  }
  return ReadDigits(id.substr(0, kUlidTimeDigits), kUlidDigits, kUlidBits);
}

/// Ranks an entry as the owner of an interval; the highest should claim it.
size_t RankOf(incarnation who, const key_interval& interval) {
  size_t rank = who.value;
  boost::hash_combine(rank, interval.home_data_centre);
  boost::hash_combine(rank, interval.shard);
  boost::hash_combine(rank, interval.number);
  return rank;
}

/// Tells whether this entry is the one that should claim an interval.
bool ShouldClaim(const entry& state, std::span<const incarnation> live,
                 const key_interval& interval) {
  const size_t own = RankOf(state.options.self, interval);
  return std::all_of(live.begin(), live.end(), [&](incarnation other) {
    return RankOf(other, interval) <= own;
  });
}

/// Forgets the oldest grants to others. Own ones stay: an own interval that
/// was forgotten and learned again would open a second time.
void TrimGrants(key_owners& owners, incarnation self) {
  auto at = owners.granted.begin();
  while (owners.granted.size() > owners.max_grants &&
         at != owners.granted.end()) {
    at = at->second == self ? std::next(at) : owners.granted.erase(at);
  }
}

/// Closes the oldest open interval: its keys are refused from now on.
void CloseOldest(key_owners& owners) {
  const auto oldest = owners.open.begin();
  assert(oldest != owners.open.end());
  owners.keys -= oldest->second.size();
  owners.open.erase(oldest);
}

}  // namespace

std::optional<issued_key> ParseIssuedKey(std::string_view key) {
  if (key.size() <= kHomeDigits || key[kHomeDigits] != ':') {
    return std::nullopt;
  }
  const std::string_view home_text = key.substr(0, kHomeDigits);
  if (home_text.find('-') != std::string_view::npos) {
    return std::nullopt;
  }
  const auto home = ReadDigits(home_text, kHexDigits, kHexBits);
  const std::string_view id = key.substr(kHomeDigits + 1);
  const auto uuid_time = ReadUuidTime(id);
  const auto time = uuid_time ? uuid_time : ReadUlidTime(id);
  if (!home || !time) {
    return std::nullopt;
  }
  return issued_key{.home_data_centre = static_cast<uint16_t>(*home),
                    .issued = std::chrono::milliseconds(*time),
                    .hash = FnvOf(id)};
}

key_interval IntervalOf(const key_owner_options& options,
                        const issued_key& key) {
  return key_interval{
      .number = static_cast<uint64_t>(key.issued / options.interval_length),
      .home_data_centre = key.home_data_centre,
      .shard = static_cast<uint16_t>(key.hash % options.shards)};
}

void RecordIntervalOwner(key_owners& owners, incarnation self,
                         const key_interval& interval, incarnation owner) {
  owners.pending_claims.erase(interval);
  const bool first = owners.granted.emplace(interval, owner).second;
  // Only the first time: an interval that was closed stays closed.
  if (first && owner == self) {
    owners.open.try_emplace(interval);
  }
  TrimGrants(owners, self);
}

key_lookup LookUpKey(const key_owners& owners, incarnation self,
                     const key_interval& interval, const std::string& key) {
  const auto granted = owners.granted.find(interval);
  if (granted == owners.granted.end()) {
    return {.kind = key_lookup_kind::kUngranted};
  }
  if (granted->second != self) {
    return {.kind = key_lookup_kind::kOther, .owner = granted->second};
  }
  const auto open = owners.open.find(interval);
  if (open == owners.open.end()) {
    return {.kind = key_lookup_kind::kClosed};
  }
  const auto known = open->second.find(key);
  if (known == open->second.end()) {
    return {.kind = key_lookup_kind::kNew};
  }
  return {.kind = key_lookup_kind::kKnown, .id = known->second};
}

void RememberKey(key_owners& owners, const key_interval& interval,
                 const std::string& key, const submission_id& id) {
  owners.open.at(interval).emplace(key, id);
  ++owners.keys;
  while (owners.keys > owners.max_keys) {
    CloseOldest(owners);
  }
}

void ForgetKey(key_owners& owners, const std::string& key,
               const submission_id& id) {
  const auto parsed = ParseIssuedKey(key);
  if (!parsed) {
    return;
  }
  const auto open = owners.open.find(IntervalOf(owners.options, *parsed));
  if (open == owners.open.end()) {
    return;
  }
  const auto known = open->second.find(key);
  if (known != open->second.end() && known->second == id) {
    open->second.erase(known);
    --owners.keys;
  }
}

void RequestInterval(entry& state, const key_interval& interval, actions& out) {
  const bool home = interval.home_data_centre == state.options.data_centre;
  const bool serving = state.stage == entry_stage::kServing;
  const bool room =
      state.keys.pending_claims.size() < state.keys.max_pending_claims;
  if (home && serving && room &&
      state.keys.pending_claims.insert(interval).second) {
    out.emplace_back(claim_interval{.interval = interval});
  }
}

void ClaimIntervals(entry& state, std::span<const incarnation> live,
                    std::chrono::milliseconds epoch_time, actions& out) {
  if (!state.options.use_key_intervals) {
    return;
  }
  const key_owner_options& options = state.keys.options;
  const auto current =
      static_cast<uint64_t>(epoch_time / options.interval_length);
  for (uint16_t shard = 0; shard < options.shards; ++shard) {
    for (uint64_t ahead = 0; ahead <= kIntervalsAhead; ++ahead) {
      const key_interval interval{.number = current + ahead,
                                  .home_data_centre = state.options.data_centre,
                                  .shard = shard};
      if (!state.keys.granted.contains(interval) &&
          ShouldClaim(state, live, interval)) {
        RequestInterval(state, interval, out);
      }
    }
  }
}

void OnIntervalClaimResult(entry& state, const key_interval& interval,
                           store_outcome outcome, incarnation holder) {
  state.keys.pending_claims.erase(interval);
  const bool known =
      outcome == store_outcome::kApplied || outcome == store_outcome::kConflict;
  if (known) {
    RecordIntervalOwner(state.keys, state.options.self, interval, holder);
  }
}

}  // namespace tarragondrift
