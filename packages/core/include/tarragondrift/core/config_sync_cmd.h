// Commands on the distribution of configuration: which reads to make, which
// document to put into force, and when a new entry may serve.
#ifndef TARRAGONDRIFT_CORE_CONFIG_SYNC_CMD_H_
#define TARRAGONDRIFT_CORE_CONFIG_SYNC_CMD_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "tarragondrift/core/config_sync_base.h"
#include "tarragondrift/core/membership_base.h"

namespace tarragondrift {

/// Returns the state of an entry that starts now, without a configuration.
config_sync MakeConfigSync(const config_sync_options& options, instant now);

/// Returns the requests to send now, and updates whether the entry may serve.
std::vector<config_request> TickConfigSync(config_sync& state,
                                           const membership& members,
                                           instant now);

/// Handles the result of a kPollHead: the version of the head row, 0 when the
/// row does not exist, or nothing when the read failed. An older version than
/// the known one changes nothing.
void OnConfigPollResult(config_sync& state, std::optional<uint64_t> version);

/// Handles the result of a fetch: the version of the received document.
/// @return whether to put the document into force now; false unless its version
///   is higher than the one in force.
bool OnConfigFetchResult(config_sync& state, uint64_t version);

/// Returns the versions in force, as far as this entry knows them.
/// @param data_centres all configured data centres, including those that have
///   never been heard.
config_status DescribeConfigStatus(const config_sync& state,
                                   const membership& members,
                                   std::span<const uint16_t> data_centres,
                                   instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_CONFIG_SYNC_CMD_H_
