// The table service by DynamoDB's JSON 1.0 interface. Rows share one partition
// key and are sorted by their own key, so that a prefix is one Query.
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "tarragondrift/ports/clients.h"
#include "tarragondrift/ports/http_client.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

/// The interface's own limit for one transaction.
constexpr size_t kMostWritesOfTransaction = 100;
constexpr int kStatusOk = 200;
constexpr int kStatusServerError = 500;

constexpr std::string_view kPartition = "partition";
constexpr std::string_view kKey = "key";
constexpr std::string_view kValue = "value";
constexpr std::string_view kVersion = "version";

/// Whether a call changes rows; decides what a lost reply means.
enum class call_kind : uint8_t { kRead, kWrite };

/// Writes a string attribute.
json StringAttribute(std::string_view text) { return {{"S", text}}; }

/// Writes a number attribute; numbers travel as text.
json NumberAttribute(uint64_t number) {
  return {{"N", std::to_string(number)}};
}

/// Writes the full key of a row.
json RowKey(const table_client_options& options, const std::string& key) {
  return {{kPartition, StringAttribute(options.partition)},
          {kKey, StringAttribute(key)}};
}

/// Reads a row from an item.
/// @return false when the item has another shape.
bool ReadRow(const json& item, table_row& row) {
  const std::string* const key =
      item.at(kKey).at("S").get_ptr<const json::string_t*>();
  const std::string* const value =
      item.at(kValue).at("S").get_ptr<const json::string_t*>();
  const std::string* const version =
      item.at(kVersion).at("N").get_ptr<const json::string_t*>();
  if (key == nullptr || value == nullptr || version == nullptr) {
    return false;
  }
  row.key = *key;
  row.value = *value;
  const char* const end = version->data() + version->size();
  return std::from_chars(version->data(), end, row.version).ptr == end;
}

/// Sets the condition of a write and the names and values it uses.
void SetCondition(const table_write& write, json& operation) {
  if (!write.expected_version) {
    return;
  }
  if (*write.expected_version == 0) {
    operation["ConditionExpression"] = "attribute_not_exists(#key)";
    operation["ExpressionAttributeNames"]["#key"] = kKey;
    return;
  }
  operation["ConditionExpression"] = "#version = :expected";
  operation["ExpressionAttributeNames"]["#version"] = kVersion;
  operation["ExpressionAttributeValues"][":expected"] =
      NumberAttribute(*write.expected_version);
}

/// Writes one conditional write as an Update or a Delete.
json WriteOperation(const table_client_options& options,
                    const table_write& write) {
  json operation = {{"TableName", options.table},
                    {"Key", RowKey(options, write.key)}};
  SetCondition(write, operation);
  if (write.erase) {
    return operation;
  }
  // The service itself counts the version, so it grows with blind writes too.
  operation["UpdateExpression"] = "SET #value = :value ADD #version :one";
  operation["ExpressionAttributeNames"]["#value"] = kValue;
  operation["ExpressionAttributeNames"]["#version"] = kVersion;
  operation["ExpressionAttributeValues"][":value"] =
      StringAttribute(write.value);
  operation["ExpressionAttributeValues"][":one"] = NumberAttribute(1);
  return operation;
}

/// Writes the body of a transaction.
json TransactionBody(const table_client_options& options,
                     const std::vector<table_write>& writes) {
  json items = json::array();
  for (const table_write& write : writes) {
    const char* const kind = write.erase ? "Delete" : "Update";
    items.push_back({{kind, WriteOperation(options, write)}});
  }
  return {{"TransactItems", std::move(items)}};
}

/// Tells whether a cancelled transaction failed by a condition of its own.
bool AnyConditionFailed(const json& error) {
  const auto reasons = error.find("CancellationReasons");
  if (reasons == error.end() || !reasons->is_array()) {
    return false;
  }
  return std::any_of(reasons->begin(), reasons->end(), [](const json& reason) {
    return reason.is_object() &&
           reason.value("Code", "") == "ConditionalCheckFailed";
  });
}

/// Reads the name of an error: what follows '#' in its type.
std::string ErrorName(const json& error) {
  if (!error.is_object()) {
    return {};
  }
  const auto type = error.find("__type");
  if (type == error.end() || !type->is_string()) {
    return {};
  }
  const auto& text = type->get_ref<const std::string&>();
  return text.substr(text.find('#') + 1);
}

/// Maps the error of an answered call to a result code.
result_code MapError(const http_reply& reply, call_kind kind) {
  const json error = json::parse(reply.body, nullptr, false);
  const std::string name = ErrorName(error);
  if (name == "ConditionalCheckFailedException") {
    return result_code::kStoreConflict;
  }
  if (name == "TransactionCanceledException" && AnyConditionFailed(error)) {
    return result_code::kStoreConflict;
  }
  // Cancelled by contention or by the rate limit: no effect, and it may pass
  // when it is tried again.
  if (name == "TransactionCanceledException" ||
      name == "TransactionConflictException" ||
      name == "ProvisionedThroughputExceededException" ||
      name == "ThrottlingException" || name == "RequestLimitExceeded") {
    return result_code::kStoreThrottled;
  }
  // A server error after the request arrived says nothing about its effect.
  if (reply.status >= kStatusServerError && kind == call_kind::kWrite) {
    return result_code::kStoreUnknown;
  }
  return result_code::kStoreUnavailable;
}

/// Maps a missing answer to a result code.
result_code MapNoAnswer(const http_reply& reply, call_kind kind) {
  const bool may_have_effect = reply.exchange != http_exchange::kNotSent;
  return may_have_effect && kind == call_kind::kWrite
             ? result_code::kStoreUnknown
             : result_code::kStoreUnavailable;
}

/// The body of a successful call; a type of its own, as json takes anything.
struct call_answer {
  json body;
};

/// The client; see table_port for what its calls promise.
class table_client final : public table_port {
 public:
  explicit table_client(const table_client_options& options)
      : options_(options),
        http_({.connect_timeout = options.connect_timeout,
               .timeout = options.timeout}) {}

  result<table_row> Get(const std::string& key) override {
    const result<call_answer> answer = Call("GetItem",
                                            {{"TableName", options_.table},
                                             {"Key", RowKey(options_, key)},
                                             {"ConsistentRead", true}},
                                            call_kind::kRead);
    if (!answer) {
      return answer.error();
    }
    const auto item = answer.value().body.find("Item");
    if (item == answer.value().body.end()) {
      return result_code::kNotFound;
    }
    return TakeRow(*item);
  }

  result<std::vector<table_row>> List(const std::string& prefix) override {
    std::vector<table_row> rows;
    json query = QueryBody(prefix);
    while (true) {
      const result<call_answer> answer = Call("Query", query, call_kind::kRead);
      if (!answer) {
        return answer.error();
      }
      const result<void> taken = TakePage(answer.value().body, rows);
      if (!taken) {
        return taken.error();
      }
      const auto last = answer.value().body.find("LastEvaluatedKey");
      if (last == answer.value().body.end()) {
        return rows;
      }
      query["ExclusiveStartKey"] = *last;
    }
  }

  result<void> Write(const std::vector<table_write>& writes) override {
    if (writes.empty()) {
      return outcome::success();
    }
    if (writes.size() > kMostWritesOfTransaction) {
      return result_code::kRequestTooLarge;
    }
    const result<call_answer> answer =
        writes.size() == 1
            ? WriteOne(writes.front())
            : Call("TransactWriteItems", TransactionBody(options_, writes),
                   call_kind::kWrite);
    if (!answer) {
      return answer.error();
    }
    return outcome::success();
  }

 private:
  result<call_answer> WriteOne(const table_write& write) {
    return Call(write.erase ? "DeleteItem" : "UpdateItem",
                WriteOperation(options_, write), call_kind::kWrite);
  }

  json QueryBody(const std::string& prefix) const {
    json body = {{"TableName", options_.table},
                 {"ConsistentRead", true},
                 {"KeyConditionExpression", "#partition = :partition"},
                 {"ExpressionAttributeNames", {{"#partition", kPartition}}},
                 {"ExpressionAttributeValues",
                  {{":partition", StringAttribute(options_.partition)}}}};
    if (!prefix.empty()) {
      body["KeyConditionExpression"] =
          "#partition = :partition AND begins_with(#key, :prefix)";
      body["ExpressionAttributeNames"]["#key"] = kKey;
      body["ExpressionAttributeValues"][":prefix"] = StringAttribute(prefix);
    }
    return body;
  }

  static result<table_row> TakeRow(const json& item) {
    table_row row;
    try {
      if (ReadRow(item, row)) {
        return row;
      }
    } catch (const json::exception&) {
      // An item of another shape was not written by this client.
    }
    return result_code::kStoreUnavailable;
  }

  static result<void> TakePage(const json& page, std::vector<table_row>& rows) {
    const auto items = page.find("Items");
    if (items == page.end() || !items->is_array()) {
      return result_code::kStoreUnavailable;
    }
    for (const json& item : *items) {
      result<table_row> row = TakeRow(item);
      if (!row) {
        return row.error();
      }
      rows.push_back(std::move(row).value());
    }
    return outcome::success();
  }

  result<call_answer> Call(const std::string& operation, const json& body,
                           call_kind kind) {
    http_request request{
        .method = http_method::kPost,
        .url = options_.base_url + "/",
        .headers = {{"Content-Type", "application/x-amz-json-1.0"},
                    {"X-Amz-Target", "DynamoDB_20120810." + operation}}};
    try {
      request.body = body.dump();
    } catch (const json::exception&) {
      return result_code::kMalformedRequest;  // The text is not UTF-8.
    }
    const http_reply reply = http_.Send(request);
    if (reply.exchange != http_exchange::kAnswered) {
      return MapNoAnswer(reply, kind);
    }
    if (reply.status != kStatusOk) {
      return MapError(reply, kind);
    }
    call_answer answer{.body = json::parse(reply.body, nullptr, false)};
    if (!answer.body.is_object()) {
      return MapNoAnswer({.exchange = http_exchange::kReplyLost}, kind);
    }
    return answer;
  }

  table_client_options options_;
  http_client http_;
};

}  // namespace

std::unique_ptr<table_port> MakeTableClient(
    const table_client_options& options) {
  return std::make_unique<table_client>(options);
}

}  // namespace tarragondrift
