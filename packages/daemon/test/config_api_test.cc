#include "config_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "mock_ports.h"

namespace tarragondrift {
namespace {

using nlohmann::json;
using trompeloeil::_;

result_code CodeOf(const server_response& response) {
  return static_cast<result_code>(json::parse(response.body)["code"]);
}

result_code Promote(table_port& table, const std::string& body) {
  return CodeOf(ServeConfig(
      table, {.method = "POST", .path = "/v1/config/promote", .body = body}));
}

TEST_CASE(
    "the outcome of a repeated promote is unknown while the store fails") {
  mock_table table;
  ALLOW_CALL(table, Get(_)).RETURN(result_code::kStoreUnavailable);
  CHECK(Promote(table, R"({"digest":"aa","by":"ann","operation":"1"})") ==
        result_code::kStoreUnavailable);
  CHECK(Promote(table,
                R"({"digest":"aa","by":"ann","operation":"1",)"
                R"("repeated":false})") == result_code::kStoreUnavailable);
  CHECK(Promote(table,
                R"({"digest":"aa","by":"ann","operation":"1",)"
                R"("repeated":true})") == result_code::kConfigOutcomeUnknown);
}

TEST_CASE("'repeated' must be a boolean") {
  mock_table table;
  FORBID_CALL(table, Get(_));
  CHECK(Promote(table, R"({"digest":"aa","by":"ann","repeated":1})") ==
        result_code::kMalformedRequest);
}

}  // namespace
}  // namespace tarragondrift
