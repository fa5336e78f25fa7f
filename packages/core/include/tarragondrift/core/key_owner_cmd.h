// Commands on the ownership of idempotency keys that carry their issue time.
#ifndef TARRAGONDRIFT_CORE_KEY_OWNER_CMD_H_
#define TARRAGONDRIFT_CORE_KEY_OWNER_CMD_H_

#include <optional>
#include <string>
#include <string_view>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// The state of one key at one entry.
enum class key_lookup_kind : uint8_t {
  /// This entry owns the key's interval and has not seen the key.
  kNew,
  /// The key names a submission of this entry.
  kKnown,
  /// This entry owns the key's interval and has forgotten the keys used in it.
  kClosed,
  /// Another entry owns the key's interval.
  kOther,
  /// This entry knows of no owner of the key's interval.
  kUngranted,
};

/// The result of LookUpKey.
struct key_lookup {
  key_lookup_kind kind = key_lookup_kind::kUngranted;
  /// Set with kOther.
  incarnation owner;
  /// Set with kKnown.
  submission_id id;
};

/// Parses a key of the form HOME:ID, with HOME the data centre in four
/// hexadecimal digits and ID a UUID of version 7 or a ULID.
/// @return nothing for any other key; such keys are claimed individually.
std::optional<issued_key> ParseIssuedKey(std::string_view key);

/// Returns the interval of a key; depends on the options and the key only.
key_interval IntervalOf(const key_owner_options& options,
                        const issued_key& key);

/// Records the owner of an interval, as read from the table.
void RecordIntervalOwner(key_owners& owners, incarnation self,
                         const key_interval& interval, incarnation owner);

/// Returns the state of a key of an interval.
key_lookup LookUpKey(const key_owners& owners, incarnation self,
                     const key_interval& interval, const std::string& key);

/// Records the submission that a key of an own interval names. Beyond the limit
/// of keys, the oldest interval is closed permanently.
void RememberKey(key_owners& owners, const key_interval& interval,
                 const std::string& key, const submission_id& id);

/// Forgets a key if it still names this submission.
void ForgetKey(key_owners& owners, const std::string& key,
               const submission_id& id);

/// Claims a key interval of this entry's data centre, unless the entry is
/// stopping, the claim is already pending, or too many claims are pending.
void RequestInterval(entry& state, const key_interval& interval, actions& out);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_KEY_OWNER_CMD_H_
