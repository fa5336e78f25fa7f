#include "config_api.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>

#include "tarragondrift/config/config_store.h"
#include "tarragondrift/gate/callers_api.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxHistoryEntries = 20;
constexpr size_t kMaxConfigRequestBytes = 1U << 20U;

json HeadJson(const config_head& head) {
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      head.at.time_since_epoch());
  return {{"version", head.version},
          {"digest", head.digest},
          {"by", head.by},
          {"at_ms", at.count()}};
}

json ErrorsJson(const std::vector<config_error>& errors) {
  json list = json::array();
  for (const config_error& error : errors) {
    list.push_back({{"fault", static_cast<int>(error.fault)},
                    {"name", ConfigFaultName(error.fault)},
                    {"path", error.path},
                    {"detail", error.detail}});
  }
  return list;
}

/// Returns the response to a change.
server_response ChangeResponse(const change_outcome& outcome) {
  const result_code_info& info = DescribeResultCode(outcome.code);
  json body{{"code", static_cast<int>(outcome.code)},
            {"name", info.name},
            {"cause", info.cause},
            {"remedy", info.remedy},
            {"changed", outcome.changed}};
  if (outcome.code == result_code::kOk) {
    body.update(HeadJson(outcome.head));
  }
  if (outcome.code == result_code::kConfigConflict) {
    body["winner"] = HeadJson(outcome.head);
  }
  if (outcome.replaced_by.has_value()) {
    body["replaced_by"] = HeadJson(*outcome.replaced_by);
  }
  if (!outcome.errors.empty()) {
    body["errors"] = ErrorsJson(outcome.errors);
  }
  return {.status = info.http_status, .body = body.dump()};
}

/// Generates the operation id of a command that has none.
std::string GenerateOperationId() {
  std::random_device random;
  return std::to_string((static_cast<uint64_t>(random()) << 32U) | random());
}

/// Parses the author and the conditions of a change from a command's body.
checked<config_change> ReadChange(const json& body) {
  if (!body.is_object() || !body.contains("by") || !body["by"].is_string()) {
    return request_error{result_code::kMalformedRequest, "'by' is missing"};
  }
  config_change change{.by = body["by"],
                       .at = std::chrono::system_clock::now()};
  const auto operation = body.find("operation");
  change.operation = operation != body.end() && operation->is_string()
                         ? operation->get<std::string>()
                         : GenerateOperationId();
  const auto repeated = body.find("repeated");
  if (repeated != body.end()) {
    if (!repeated->is_boolean()) {
      return request_error{result_code::kMalformedRequest,
                           "'repeated' is neither true nor false"};
    }
    change.repeated = repeated->get<bool>();
  }
  const auto expected = body.find("expected_version");
  if (expected != body.end()) {
    if (!expected->is_number_unsigned()) {
      return request_error{result_code::kMalformedRequest,
                           "'expected_version' is not a whole number"};
    }
    change.expected_version = expected->get<uint64_t>();
  }
  return change;
}

/// Executes a change whose argument is a text field of the body.
template <class Command>
server_response ServeChange(const server_request& request, const char* field,
                            Command command) {
  const json body = json::parse(request.body, nullptr, false);
  const checked<config_change> change = ReadChange(body);
  if (!change) {
    return ErrorResponse(change.error());
  }
  if (!body.contains(field) || !body[field].is_string()) {
    return ErrorResponse({result_code::kMalformedRequest,
                          std::string("'") + field + "' is missing"});
  }
  return ChangeResponse(command(body[field], change.value()));
}

server_response ServeCheck(const server_request& request) {
  const parsed_config parsed = ParseConfigDocument(request.body);
  const result_code code =
      parsed.Valid() ? result_code::kOk : result_code::kConfigInvalid;
  const result_code_info& info = DescribeResultCode(code);
  const json body{{"code", static_cast<int>(code)},
                  {"name", info.name},
                  {"cause", info.cause},
                  {"remedy", info.remedy},
                  {"digest", DigestConfigText(request.body)},
                  {"errors", ErrorsJson(parsed.errors)}};
  return {.status = info.http_status, .body = body.dump()};
}

server_response ServeDocument(table_port& table,
                              const server_request& request) {
  const result<environment> where =
      ParseEnvironment(request.query("environment"));
  if (!where) {
    return ErrorResponse({where.error(), "no such environment"});
  }
  const result<config_head> head = ReadHead(table, where.value());
  if (!head) {
    return ErrorResponse({head.error(), ""});
  }
  if (head.value().version == 0) {
    return ErrorResponse({result_code::kNotFound, "nothing was accepted yet"});
  }
  const result<std::string> text = ReadDocument(table, head.value().digest);
  const auto history = ReadHistory(table, where.value(), kMaxHistoryEntries);
  if (!text || !history) {
    return ErrorResponse({text ? history.error() : text.error(), ""});
  }
  json body = HeadJson(head.value());
  body["document"] = text.value();
  body["history"] = json::array();
  for (const config_head& earlier : history.value()) {
    body["history"].push_back(HeadJson(earlier));
  }
  return {.body = body.dump()};
}

}  // namespace

server_response ServeConfig(table_port& table, const server_request& request) {
  if (request.body.size() > kMaxConfigRequestBytes) {
    return ErrorResponse({result_code::kRequestTooLarge, ""});
  }
  const bool post = request.method == "POST";
  if (post && request.path == "/v1/config/check") {
    return ServeCheck(request);
  }
  if (post && request.path == "/v1/config/try") {
    return ServeChange(request, "document",
                       [&](const std::string& text, const config_change& by) {
                         return TryDocument(table, text, by);
                       });
  }
  if (post && request.path == "/v1/config/promote") {
    return ServeChange(request, "digest",
                       [&](const std::string& digest, const config_change& by) {
                         return PromoteDocument(table, digest, by);
                       });
  }
  if (request.path == "/v1/config/document") {
    return ServeDocument(table, request);
  }
  return ErrorResponse({result_code::kNotFound, "no such path"});
}

}  // namespace tarragondrift
