// How the records of starts look in the platform's table.
#ifndef TARRAGONDRIFT_DAEMON_STORE_ROWS_H_
#define TARRAGONDRIFT_DAEMON_STORE_ROWS_H_

#include <optional>
#include <string>

#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/key_owner_base.h"
#include "tarragondrift/core/record_group_base.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Value of an intent's row once its submission may start.
inline constexpr const char* kIntentStarted = "started";
/// Value of an intent's row that bars its submission from starting.
inline constexpr const char* kIntentFenced = "fenced";

/// Writes an incarnation as hexadecimal digits.
std::string FormatIncarnation(incarnation who);

/// Reads what FormatIncarnation wrote.
/// @return nothing for any other text.
std::optional<incarnation> ParseIncarnation(const std::string& text);

/// Gives the insert of an intent's row.
table_write IntentRow(const submission_id& id, const char* value);

/// Gives the insert of a record's row.
table_write RecordRow(const start_record& record);

/// Gives the insert of a key interval's row.
table_write IntervalRow(const key_interval& interval, incarnation owner);

/// Reads who holds a key from its row's value.
/// @return nothing when the value makes no sense.
std::optional<key_claim> ParseKeyHolder(const std::string& value);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_STORE_ROWS_H_
