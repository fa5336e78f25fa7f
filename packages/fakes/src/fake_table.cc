#include "fake_table.h"

#include <stdexcept>
#include <utility>
#include <vector>

namespace tarragondrift {
namespace {

using nlohmann::json;

/// The sort key of an operation's row.
std::string KeyOf(const json& operation) {
  return operation.at("Key").at("key").at("S").get<std::string>();
}

/// The name of the operation, without the interface's version.
std::string OperationOf(const fake_request& request) {
  const auto target = request.headers.find("x-amz-target");
  if (target == request.headers.end()) {
    return {};
  }
  return target->second.substr(target->second.find('.') + 1);
}

/// The operation inside one member of a transaction, and whether it erases.
std::pair<const json&, bool> MemberOperation(const json& member) {
  const bool erase = member.contains("Delete");
  return {member.at(erase ? "Delete" : "Update"), erase};
}

/// Reports a transaction in which conditions failed.
fake_reply Cancelled(const std::vector<bool>& held) {
  json reasons = json::array();
  for (const bool condition_held : held) {
    reasons.push_back(
        {{"Code", condition_held ? "None" : "ConditionalCheckFailed"}});
  }
  const json body = {
      {"__type",
       "com.amazonaws.dynamodb.v20120810#TransactionCanceledException"},
      {"Message", "Transaction cancelled"},
      {"CancellationReasons", reasons}};
  return {.status = kBadRequest,
          .body = body.dump(),
          .content_type = "application/x-amz-json-1.0"};
}

/// Wraps the body of a successful call.
fake_reply Success(const json& body) {
  return {.body = body.dump(), .content_type = "application/x-amz-json-1.0"};
}

}  // namespace

fake_reply TableError(int status, const std::string& name) {
  const json body = {{"__type", "com.amazonaws.dynamodb.v20120810#" + name},
                     {"message", name}};
  return {.status = status,
          .body = body.dump(),
          .content_type = "application/x-amz-json-1.0"};
}

bool fake_table::IsWrite(const fake_request& request) {
  const std::string operation = OperationOf(request);
  return operation != "GetItem" && operation != "Query";
}

void fake_table::SetPageSize(size_t rows) {
  const std::lock_guard lock(mutex_);
  page_size_ = rows;
}

fake_reply fake_table::Handle(const fake_request& request) {
  const std::string operation = OperationOf(request);
  const std::lock_guard lock(mutex_);
  try {
    const json body = json::parse(request.body);
    if (operation == "GetItem") {
      return Success(GetItem(body));
    }
    if (operation == "Query") {
      return Success(Query(body));
    }
    if (operation == "UpdateItem" || operation == "DeleteItem") {
      return WriteOne(body, operation == "DeleteItem");
    }
    if (operation == "TransactWriteItems") {
      return Transact(body);
    }
    return TableError(kBadRequest, "UnknownOperationException");
  } catch (const json::exception&) {
    return TableError(kBadRequest, "SerializationException");
  } catch (const std::invalid_argument&) {
    return TableError(kBadRequest, "ValidationException");
  }
}

json fake_table::GetItem(const json& body) const {
  const auto item = items_.find(KeyOf(body));
  return item == items_.end() ? json::object() : json{{"Item", item->second}};
}

json fake_table::Query(const json& body) const {
  const json& values = body.at("ExpressionAttributeValues");
  const std::string prefix =
      values.contains(":prefix")
          ? values.at(":prefix").at("S").get<std::string>()
          : "";
  auto item = items_.lower_bound(prefix);
  if (body.contains("ExclusiveStartKey")) {
    item = items_.upper_bound(
        body.at("ExclusiveStartKey").at("key").at("S").get<std::string>());
  }
  json answer = {{"Items", json::array()}};
  for (; item != items_.end() && item->first.starts_with(prefix); ++item) {
    if (answer["Items"].size() == page_size_) {
      const json& last = answer["Items"].back();
      answer["LastEvaluatedKey"] = {{"partition", last.at("partition")},
                                    {"key", last.at("key")}};
      break;
    }
    answer["Items"].push_back(item->second);
  }
  answer["Count"] = answer["Items"].size();
  return answer;
}

bool fake_table::ConditionHolds(const json& operation) const {
  const std::string condition = operation.value("ConditionExpression", "");
  if (condition.empty()) {
    return true;
  }
  const auto item = items_.find(KeyOf(operation));
  if (condition == "attribute_not_exists(#key)") {
    return item == items_.end();
  }
  if (condition != "#version = :expected") {
    throw std::invalid_argument("condition of another shape");
  }
  return item != items_.end() &&
         item->second.at("version") ==
             operation.at("ExpressionAttributeValues").at(":expected");
}

void fake_table::Apply(const json& operation, bool erase) {
  const std::string key = KeyOf(operation);
  if (erase) {
    items_.erase(key);
    return;
  }
  json& item = items_[key];
  uint64_t version = 0;
  if (item.is_object()) {
    version = std::stoull(item.at("version").at("N").get<std::string>());
  }
  item["partition"] = operation.at("Key").at("partition");
  item["key"] = operation.at("Key").at("key");
  item["value"] = operation.at("ExpressionAttributeValues").at(":value");
  item["version"] = {{"N", std::to_string(version + 1)}};
}

fake_reply fake_table::WriteOne(const json& operation, bool erase) {
  if (!ConditionHolds(operation)) {
    return TableError(kBadRequest, "ConditionalCheckFailedException");
  }
  Apply(operation, erase);
  return Success(json::object());
}

fake_reply fake_table::Transact(const json& body) {
  std::vector<bool> held;
  bool all_held = true;
  for (const json& member : body.at("TransactItems")) {
    held.push_back(ConditionHolds(MemberOperation(member).first));
    all_held = all_held && held.back();
  }
  if (!all_held) {
    return Cancelled(held);
  }
  for (const json& member : body.at("TransactItems")) {
    const auto [operation, erase] = MemberOperation(member);
    Apply(operation, erase);
  }
  return Success(json::object());
}

}  // namespace tarragondrift
