#include "entry_client.h"

#include <algorithm>

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

/// Finds a result code by its number.
/// @return kInternal when no row has it.
result_code CodeOfNumber(int number) {
  const auto table = ResultCodeTable();
  const auto row = std::find_if(table.begin(), table.end(),
                                [number](const result_code_info& info) {
                                  return static_cast<int>(info.code) == number;
                                });
  return row == table.end() ? result_code::kInternal : row->code;
}

/// Makes the headers of a request.
std::vector<http_header> MakeHeaders(const entry_request& request) {
  std::vector<http_header> headers;
  if (!request.body.empty()) {
    headers.push_back({.name = "Content-Type", .value = "application/json"});
  }
  if (!request.token.empty()) {
    headers.push_back(
        {.name = "Authorization", .value = "Bearer " + request.token});
  }
  return headers;
}

/// Describes an entry that did not answer.
entry_reply NoAnswer(const entry_request& request, const http_reply& reply) {
  return {.contact = reply.exchange == http_exchange::kNotSent
                         ? entry_contact::kNotSent
                         : entry_contact::kReplyLost,
          .error = {.code = result_code::kPeerUnreachable,
                    .detail = request.address + ": " + reply.error}};
}

}  // namespace

bool entry_reply::Succeeded() const {
  return contact == entry_contact::kAnswered && status >= kFirstSuccess &&
         status < kFirstRedirect;
}

tool_error ReadError(const json& body, int status) {
  if (!body.is_object() || !body.contains("code") ||
      !body.at("code").is_number_integer()) {
    return {.code = result_code::kInternal,
            .detail = "the entry answered HTTP status " +
                      std::to_string(status) + " without a code"};
  }
  tool_error error{.code = CodeOfNumber(body.at("code").get<int>())};
  if (body.contains("detail") && body.at("detail").is_string()) {
    error.detail = body.at("detail").get<std::string>();
  }
  if (body.contains("retry_after_ms") &&
      body.at("retry_after_ms").is_number()) {
    error.retry_after =
        std::chrono::milliseconds(body.at("retry_after_ms").get<int64_t>());
  }
  return error;
}

entry_reply SendToEntry(http_client& client, const entry_request& request) {
  const http_reply reply = client.Send({.method = request.method,
                                        .url = request.address + request.path,
                                        .headers = MakeHeaders(request),
                                        .body = request.body,
                                        .timeout = request.timeout});
  if (reply.exchange != http_exchange::kAnswered) {
    return NoAnswer(request, reply);
  }
  entry_reply answer{.contact = entry_contact::kAnswered,
                     .status = reply.status,
                     .body = json::parse(reply.body, nullptr, false)};
  if (answer.body.is_discarded()) {
    answer.body = reply.body;  // Text, such as metrics.
  }
  if (!answer.Succeeded()) {
    answer.error = ReadError(answer.body, answer.status);
  }
  return answer;
}

}  // namespace tarragondrift
