// Keys and values of the start records in the platform's table.
#ifndef TARRAGONDRIFT_DAEMON_STORE_ROWS_H_
#define TARRAGONDRIFT_DAEMON_STORE_ROWS_H_

#include <optional>
#include <string>

#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/key_owner_base.h"
#include "tarragondrift/core/record_group_base.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Value of an intent row whose submission may start.
inline constexpr const char* kIntentStarted = "started";
/// Value of an intent row that fences its submission: it must never start.
inline constexpr const char* kIntentFenced = "fenced";

/// Formats an incarnation as hexadecimal digits.
std::string FormatIncarnation(incarnation who);

/// Parses the output of FormatIncarnation.
/// @return std::nullopt for any other text.
std::optional<incarnation> ParseIncarnation(const std::string& text);

/// Returns the conditional insert of an intent row.
table_write IntentRow(const submission_id& id, const char* value);

/// Returns the conditional insert of a start record.
table_write RecordRow(const start_record& record);

/// Returns the conditional insert of a key interval's row.
table_write IntervalRow(const key_interval& interval, incarnation owner);

/// Parses the holder of a key from the value of its row.
/// @return std::nullopt when the value is malformed.
std::optional<key_claim> ParseKeyHolder(const std::string& value);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_STORE_ROWS_H_
