// Commands on the distribution of configuration: which reads to make, what to
// take into force, when a fresh entry may serve.
#ifndef TARRAGONDRIFT_CORE_CONFIG_SYNC_CMD_H_
#define TARRAGONDRIFT_CORE_CONFIG_SYNC_CMD_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "tarragondrift/core/config_sync_base.h"
#include "tarragondrift/core/membership_base.h"

namespace tarragondrift {

/// Makes the state of an entry that starts now and has no configuration.
config_sync MakeConfigSync(const config_sync_options& options, instant now);

/// Decides which reads go out now, and whether the entry may serve.
std::vector<config_request> TickConfigSync(config_sync& state,
                                           const membership& members,
                                           instant now);

/// Takes the end of a kPollHead: the version of the head row, 0 when there is
/// none, or nothing when the read failed. An older version changes nothing.
void OnConfigPollResult(config_sync& state, std::optional<uint64_t> version);

/// Takes the end of a fetch: the version of the document that came.
/// @return whether the document is to be taken into force now; never for a
///   version that is not higher than the one in force.
bool OnConfigFetchResult(config_sync& state, uint64_t version);

/// Describes the versions in force, as far as this entry hears of them.
/// @param data_centres all that there are, also those never heard.
config_status DescribeConfigStatus(const config_sync& state,
                                   const membership& members,
                                   std::span<const uint16_t> data_centres,
                                   instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_CONFIG_SYNC_CMD_H_
