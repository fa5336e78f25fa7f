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
constexpr size_t kUuidVersionIndex = 14;
constexpr size_t kUuidVariantIndex = 19;
constexpr size_t kUlidLength = 26;
constexpr size_t kUlidTimeDigits = 10;
constexpr unsigned kBitsPerHexDigit = 4;
constexpr unsigned kBitsPerUlidDigit = 5;
constexpr unsigned kMaxUlidFirstDigit = 7;
constexpr size_t kUuidTimeDigits = 12;
/// Number of future intervals that are claimed before their keys are issued.
constexpr uint64_t kIntervalsAhead = 2;

/// Returns the value of a digit among `digits`, or nothing. Hexadecimal digits
/// are lower-case only and ULID digits upper-case only, so that a key has one
/// spelling.
std::optional<unsigned> DigitOf(std::string_view digits, char symbol) {
  const size_t at = digits.find(symbol);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<unsigned>(at);
}

/// Parses digits of `bits` bits each; skips hyphens.
std::optional<uint64_t> ParseDigits(std::string_view text,
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

/// Parses the issue time of a UUID of version 7, in milliseconds.
std::optional<uint64_t> ParseUuidTime(std::string_view id) {
  if (id.size() != kUuidLength || id[kUuidVersionIndex] != '7' ||
      std::string_view("89ab").find(id[kUuidVariantIndex]) ==
          std::string_view::npos) {
    return std::nullopt;
  }
  for (size_t at = 0; at < id.size(); ++at) {
    const bool hyphen = at == 8 || at == 13 || at == 18 || at == 23;
    if (hyphen != (id[at] == '-')) {
      return std::nullopt;
    }
  }
  if (!ParseDigits(id, kHexDigits, kBitsPerHexDigit)) {
    return std::nullopt;
  }
  return ParseDigits(id.substr(0, kUuidTimeDigits + 1), kHexDigits,
                     kBitsPerHexDigit);
}

/// Parses the issue time of a ULID, in milliseconds.
std::optional<uint64_t> ParseUlidTime(std::string_view id) {
  if (id.size() != kUlidLength || id.find('-') != std::string_view::npos ||
      !ParseDigits(id, kUlidDigits, kBitsPerUlidDigit) ||
      DigitOf(kUlidDigits, id[0]).value_or(kUlidDigits.size()) >
          kMaxUlidFirstDigit) {
    return std::nullopt;
  }
  return ParseDigits(id.substr(0, kUlidTimeDigits), kUlidDigits,
                     kBitsPerUlidDigit);
}

/// Returns the rank of an entry for an interval; the live entry with the
/// highest rank should claim the interval.
size_t RankOf(incarnation candidate, const key_interval& interval) {
  size_t rank = candidate.value;
  boost::hash_combine(rank, interval.home_data_centre);
  boost::hash_combine(rank, interval.shard);
  boost::hash_combine(rank, interval.number);
  return rank;
}

/// Whether this entry has the highest rank of the live entries.
bool ShouldClaim(const entry& state, std::span<const incarnation> live,
                 const key_interval& interval) {
  const size_t own = RankOf(state.options.self, interval);
  return std::all_of(live.begin(), live.end(), [&](incarnation other) {
    return RankOf(other, interval) <= own;
  });
}

/// Forgets the oldest grants to other entries. Own grants stay: an own interval
/// that was forgotten and read again would be opened a second time.
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
  const auto home = ParseDigits(home_text, kHexDigits, kBitsPerHexDigit);
  const std::string_view id = key.substr(kHomeDigits + 1);
  const auto uuid_time = ParseUuidTime(id);
  const auto time = uuid_time ? uuid_time : ParseUlidTime(id);
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
  const bool new_grant = owners.granted.emplace(interval, owner).second;
  // Only for a new grant: a closed interval stays closed.
  if (new_grant && owner == self) {
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
  const bool below_limit =
      state.keys.pending_claims.size() < state.keys.max_pending_claims;
  if (home && serving && below_limit &&
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
