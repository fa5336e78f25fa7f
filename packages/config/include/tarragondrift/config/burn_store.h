// JSON form of the error-budget burn, and the summaries that entries store in
// the table so that their counts outlive them.
#ifndef TARRAGONDRIFT_CONFIG_BURN_STORE_H_
#define TARRAGONDRIFT_CONFIG_BURN_STORE_H_

#include <string>
#include <string_view>
#include <vector>

#include "tarragondrift/core/burn_base.h"
#include "tarragondrift/core/result_code.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Formats the counts of an entry as `GET /v1/burn` returns them.
std::string FormatBurnSource(const burn_source& source);

/// Parses the output of FormatBurnSource.
/// @return kMalformedRequest for any other text.
result<burn_source> ParseBurnSource(std::string_view text);

/// Formats a report as JSON.
std::string FormatBurnReport(const burn_report& report);

/// Stores the summary of an entry's counts in the table, replacing its previous
/// one; called every kBurnBucket and at the end of a drain.
result<void> FlushBurn(table_port& table, const burn_source& source);

/// Reads the summaries of all entries, including stopped ones, and deletes
/// summaries older than kBurnHistory.
result<std::vector<burn_source>> ReadFlushedBurn(table_port& table,
                                                 wall_second now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_BURN_STORE_H_
