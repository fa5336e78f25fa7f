#include "operators_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config_api.h"
#include "tarragondrift/config/burn_store.h"
#include "tarragondrift/gate/callers_api.h"
#include "tarragondrift/gate/secret.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr uint16_t kHttpUnavailable = 503;
constexpr std::string_view kConfigPrefix = "/v1/config/";

bool Authorized(const operators_context& context,
                const server_request& request) {
  return context.token.empty() ||
         SameSecret(request.authorization, "Bearer " + context.token);
}

const char* StageName(entry_stage stage) {
  switch (stage) {
    case entry_stage::kServing:
      return "serving";
    case entry_stage::kDraining:
      return "draining";
    case entry_stage::kDrained:
      return "drained";
  }
  return "drained";
}

json InstanceJson(const upstream_instance& instance) {
  return {{"address", instance.address},
          {"share", instance.share},
          {"in_flight", instance.in_flight},
          {"leaving", instance.leaving}};
}

json EntryJson(const known_entry& entry) {
  return {{"incarnation", entry.row.who.value},
          {"data_centre", entry.row.data_centre},
          {"address", entry.row.address},
          {"live", entry.live},
          {"stopped", entry.row.stopped}};
}

server_response ServeStatus(const operators_context& context) {
  const engine_status status = context.status();
  json instances = json::array();
  for (const upstream_instance& instance : status.instances) {
    instances.push_back(InstanceJson(instance));
  }
  json peers = json::array();
  for (const auto& [who, entry] : *context.entries()) {
    if (who != context.self) {
      peers.push_back(EntryJson(entry));
    }
  }
  const json body{{"incarnation", context.self.value},
                  {"data_centre", context.data_centre},
                  {"stage", StageName(status.stage)},
                  {"config_version", status.config_version},
                  {"config_digest", status.config_digest},
                  {"jobs", status.jobs},
                  {"queued_tasks", status.queued_tasks},
                  {"running_attempts", status.running_attempts},
                  {"kept_answers", status.kept_answers},
                  {"held_requests", status.held_requests},
                  {"instances", instances},
                  {"peers", peers}};
  return {.body = body.dump()};
}

json ConfigEntryJson(incarnation who, uint16_t data_centre,
                     const std::string& address, uint64_t version,
                     bool reachable) {
  return {{"incarnation", who.value},
          {"data_centre", data_centre},
          {"address", address},
          {"version", version},
          {"reachable", reachable}};
}

/// Returns the version in force at each entry, as last reported by the entry.
server_response ServeConfigStatus(const operators_context& context) {
  const engine_status status = context.status();
  uint64_t accepted = status.config.accepted;
  json entries = json::array();
  entries.push_back(ConfigEntryJson(context.self, context.data_centre_number,
                                    context.address, status.config_version,
                                    true));
  for (const peer_status& peer : status.peers) {
    accepted = std::max(accepted, peer.config_version);
    entries.push_back(ConfigEntryJson(peer.who, peer.data_centre, peer.address,
                                      peer.config_version, peer.reachable));
  }
  json data_centres = json::array();
  for (const data_centre_config_status& sync_status :
       status.config.data_centres) {
    data_centres.push_back({{"data_centre", sync_status.data_centre},
                            {"reachable", sync_status.reachable},
                            {"up_to_date", sync_status.up_to_date},
                            {"version", sync_status.version}});
  }
  return {.body = json{{"accepted", accepted},
                       {"entries", entries},
                       {"data_centres", data_centres}}
                      .dump()};
}

server_response ServeBurn(const operators_context& context) {
  return {.body = FormatBurnSource(
              {.incarnation = context.self.value, .counts = context.burn()})};
}

server_response ServeReady(const operators_context& context) {
  const bool ready = context.ready();
  return {.status = static_cast<uint16_t>(ready ? 200 : kHttpUnavailable),
          .body = json{{"ready", ready}}.dump()};
}

}  // namespace

server_response ServeOperator(const operators_context& context,
                              const server_request& request) {
  if (request.path == "/healthz") {
    return {.body = R"({"alive":true})"};
  }
  if (request.path == "/readyz") {
    return ServeReady(context);
  }
  if (!Authorized(context, request)) {
    return ErrorResponse({result_code::kUnauthorized, ""});
  }
  if (request.path == "/metrics") {
    return {.body = context.metrics_page(),
            .content_type = "text/plain; version=0.0.4"};
  }
  if (request.path == "/v1/status") {
    return ServeStatus(context);
  }
  if (request.path == "/v1/config/status") {
    return ServeConfigStatus(context);
  }
  if (request.path == "/v1/burn") {
    return ServeBurn(context);
  }
  if (request.path.starts_with(kConfigPrefix)) {
    return ServeConfig(*context.table, request);
  }
  return ErrorResponse({result_code::kNotFound, "no such path"});
}

}  // namespace tarragondrift
