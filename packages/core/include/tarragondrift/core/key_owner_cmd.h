// Commands on the owners of idempotency keys that carry their issue time.
#ifndef TARRAGONDRIFT_CORE_KEY_OWNER_CMD_H_
#define TARRAGONDRIFT_CORE_KEY_OWNER_CMD_H_

#include <optional>
#include <string>
#include <string_view>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// What can be said of one key at one entry.
enum class key_lookup_kind : uint8_t {
  /// This entry owns it and has not seen it.
  kNew,
  /// It names a submission of this entry.
  kKnown,
  /// This entry owns its interval and has forgotten what ran in it.
  kClosed,
  kOther,
  /// As far as this entry knows, nobody owns its interval.
  kUngranted,
};

/// The ruling on one key.
struct key_lookup {
  key_lookup_kind kind = key_lookup_kind::kUngranted;
  /// With kOther.
  incarnation owner;
  /// With kKnown.
  submission_id id;
};

/// Reads a key of the form HOME:ID, with HOME the data centre in four
/// hexadecimal digits and ID a UUID of version 7 or a ULID.
/// @return nothing for any other key; such keys are claimed one by one.
std::optional<issued_key> ParseIssuedKey(std::string_view key);

/// Finds the interval that a key belongs to; a pure function of the key.
key_interval IntervalOf(const key_owner_options& options,
                        const issued_key& key);

/// Notes who owns an interval, as read from the table.
void RecordIntervalOwner(key_owners& owners, incarnation self,
                         const key_interval& interval, incarnation owner);

/// Rules on a key of an interval.
key_lookup LookUpKey(const key_owners& owners, incarnation self,
                     const key_interval& interval, const std::string& key);

/// Notes which submission a key of an own interval names. Beyond the limit of
/// keys, the oldest interval is closed for ever.
void RememberKey(key_owners& owners, const key_interval& interval,
                 const std::string& key, const submission_id& id);

/// Takes a note back, if the key still names this submission.
void ForgetKey(key_owners& owners, const std::string& key,
               const submission_id& id);

/// Asks for a key interval of this entry's data centre, unless that was asked
/// already.
void RequestInterval(entry& state, const key_interval& interval, actions& out);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_KEY_OWNER_CMD_H_
