// Service-level burn as JSON, and the summaries that entries leave in the
// table for the time after their end.
#ifndef TARRAGONDRIFT_CONFIG_BURN_STORE_H_
#define TARRAGONDRIFT_CONFIG_BURN_STORE_H_

#include <string>
#include <string_view>
#include <vector>

#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/result_code.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Writes what one entry says, as `GET /v1/burn` shows it.
std::string FormatBurnSource(const burn_source& source);

/// Reads what FormatBurnSource wrote.
/// @return kMalformedRequest for any other text.
result<burn_source> ParseBurnSource(std::string_view text);

/// Writes a report as JSON.
std::string FormatBurnReport(const burn_report& report);

/// Leaves the summary of an entry's counts in the table, in place of its last
/// one; called every kBurnBucket and at the end of a drain.
result<void> FlushBurn(table_port& table, const burn_source& source);

/// Reads the summaries of all entries, also those that are gone, and deletes
/// those that are older than kBurnHistory.
result<std::vector<burn_source>> ReadFlushedBurn(table_port& table,
                                                 wall_second now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_BURN_STORE_H_
