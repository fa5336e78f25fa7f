// The configuration document as plain data. Operators promote it; the entries
// read all their settings from it.
#ifndef TARRAGONDRIFT_CORE_CONFIG_BASE_H_
#define TARRAGONDRIFT_CORE_CONFIG_BASE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/core/pool.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

struct upstream_tag;
struct contract_tag;
struct team_tag;

/// Position of an upstream in config_document::upstreams; generation unused.
using upstream_id = typed_id<upstream_tag>;
/// Position of a contract in config_document::contracts; generation unused.
using contract_id = typed_id<contract_tag>;
/// Position of a team in config_document::teams; generation unused.
using team_id = typed_id<team_tag>;

/// A licensed upstream: each instance runs at most `slots_per_instance` tasks
/// at once.
struct upstream_config {
  std::string name;
  uint32_t slots_per_instance = 8;
  uint32_t connections_per_instance = 60;
};

/// The agreement between callers and operators about one kind of request.
struct contract_config {
  std::string name;
  /// Whether jobs of one task may be retried after an unknown outcome.
  bool idempotent = false;
  /// Whether an intent record is written to the table before the first start.
  bool recorded = false;
  /// Used for requests without a deadline.
  std::chrono::milliseconds default_deadline{30'000};
  /// A task that runs longer is abandoned with an unknown outcome.
  std::chrono::milliseconds max_running_time{10'000};
  /// Maximum attempts of an idempotent job of one task, including the first.
  uint32_t max_attempts = 3;
  /// Service-level objective: percentage of answers that are complete and on
  /// time.
  double objective_percent = 99.0;
  /// Answers within this time are on time.
  std::chrono::milliseconds objective_latency{2'000};
};

/// A team of callers, with its share of the slots and its limits.
struct team_config {
  std::string name;
  /// Share of contended slots, in proportion to the weights of the other teams.
  uint32_t weight = 1;
  /// Maximum rate of task starts over all entries; 0 means no limit.
  uint32_t starts_per_s = 0;
  /// Maximum queued tasks at one entry; 0 means no limit.
  uint32_t max_queued_tasks = 0;
};

/// A data centre and its region.
struct data_centre_config {
  std::string name;
  std::string region;
};

/// The configuration document of one environment. Versions only increase.
struct config_document {
  uint64_t version = 0;
  /// SHA-256 of the document's text, in hexadecimal.
  std::string digest;
  std::vector<upstream_config> upstreams;
  std::vector<contract_config> contracts;
  std::vector<team_config> teams;
  std::vector<data_centre_config> data_centres;
  uint32_t max_tasks_per_job = 1'300;
};

/// Finds an upstream by name.
/// @return an invalid id when there is no such upstream.
upstream_id FindUpstream(const config_document& config,
                         const std::string& name);

/// Finds a contract by name.
/// @return an invalid id when there is no such contract.
contract_id FindContract(const config_document& config,
                         const std::string& name);

/// Finds a team by name.
/// @return an invalid id when there is no such team.
team_id FindTeam(const config_document& config, const std::string& name);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_CONFIG_BASE_H_
