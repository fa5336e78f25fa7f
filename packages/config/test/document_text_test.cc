#include "tarragondrift/config/document_text.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr std::string_view kMinimal = R"({
  "schema": 1,
  "upstreams": [{"name": "plata"}],
  "contracts": [{"name": "quote", "objective_latency_ms": 800}],
  "teams": [{"name": "sales"}],
  "data_centres": [{"name": "brasov", "region": "centru"}]})";

/// Whether the parser reported this fault at this path.
bool HasError(const parsed_config& parsed, config_fault fault,
              const std::string& path) {
  return std::any_of(parsed.errors.begin(), parsed.errors.end(),
                     [&](const config_error& error) {
                       return error.fault == fault && error.path == path;
                     });
}

/// Returns the minimal document with the first occurrence of a text replaced.
std::string ReplaceInMinimal(const std::string& from, const std::string& to) {
  std::string text(kMinimal);
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("A minimal document takes every default") {
  const parsed_config parsed = ParseConfigDocument(kMinimal);
  REQUIRE(parsed.Valid());
  const config_document& document = parsed.document;
  CHECK(document.upstreams.at(0).slots_per_instance == 8);
  CHECK(document.contracts.at(0).objective_latency == 800ms);
  CHECK(document.contracts.at(0).default_deadline == 30s);
  CHECK(document.data_centres.at(0).region == "centru");
  CHECK(document.max_tasks_per_job == 1'300);
  CHECK(document.version == 0);
}

TEST_CASE("Formatting shows the defaults and reads back the same") {
  const parsed_config parsed = ParseConfigDocument(kMinimal);
  const std::string shown = FormatConfigDocument(parsed.document);
  CHECK(shown.find("\"connections_per_instance\": 60") != std::string::npos);
  CHECK(shown.find("\"objective_percent\": 99.0") != std::string::npos);
  const parsed_config again = ParseConfigDocument(shown);
  REQUIRE(again.Valid());
  CHECK(FormatConfigDocument(again.document) == shown);
}

TEST_CASE("Every error of a document is listed with its path and kind") {
  const parsed_config parsed = ParseConfigDocument(R"({
    "schema": 2, "speed": 1, "most_tasks_per_job": 0,
    "upstreams": [{"name": "a", "slots_per_instance": "8"}, {"name": "a"}, 3],
    "contracts": [{"name": "x y", "default_deadline_ms": 0,
                   "objective_percent": 100, "a/b": 1}],
    "teams": [{"weight": 1.5}, {"name": "t", "starts_per_s": -1}],
    "data_centres": []})");
  CHECK(HasError(parsed, config_fault::kUnsupportedSchema, "/schema"));
  CHECK(HasError(parsed, config_fault::kUnknownKey, "/speed"));
  CHECK(HasError(parsed, config_fault::kOutOfRange, "/most_tasks_per_job"));
  CHECK(HasError(parsed, config_fault::kWrongType,
                 "/upstreams/0/slots_per_instance"));
  CHECK(HasError(parsed, config_fault::kDuplicateName, "/upstreams/1/name"));
  CHECK(HasError(parsed, config_fault::kWrongType, "/upstreams/2"));
  CHECK(HasError(parsed, config_fault::kBadName, "/contracts/0/name"));
  CHECK(HasError(parsed, config_fault::kOutOfRange,
                 "/contracts/0/default_deadline_ms"));
  CHECK(HasError(parsed, config_fault::kOutOfRange,
                 "/contracts/0/objective_percent"));
  CHECK(HasError(parsed, config_fault::kUnknownKey, "/contracts/0/a~1b"));
  CHECK(HasError(parsed, config_fault::kMissingKey, "/teams/0/name"));
  CHECK(HasError(parsed, config_fault::kWrongType, "/teams/0/weight"));
  CHECK(HasError(parsed, config_fault::kOutOfRange, "/teams/1/starts_per_s"));
  CHECK(HasError(parsed, config_fault::kTooManyElements, "/data_centres"));
  CHECK(parsed.errors.size() == 14);
}

TEST_CASE("Numbers at the limits of their type are out of range") {
  for (const std::string number :
       {"18446744073709551615", "9223372036854775808", "4097"}) {
    const parsed_config parsed = ParseConfigDocument(ReplaceInMinimal(
        R"("name": "plata")",
        R"("name": "plata", "slots_per_instance": )" + number));
    CHECK(HasError(parsed, config_fault::kOutOfRange,
                   "/upstreams/0/slots_per_instance"));
  }
}

TEST_CASE("Text that is not a document is rejected") {
  CHECK(HasError(ParseConfigDocument(""), config_fault::kNotJson, ""));
  CHECK(HasError(ParseConfigDocument("{\"schema\": 1"), config_fault::kNotJson,
                 ""));
  CHECK(HasError(ParseConfigDocument("[]"), config_fault::kWrongType, ""));
  CHECK(HasError(ParseConfigDocument(std::string(kMaxConfigBytes + 1, ' ')),
                 config_fault::kTooLarge, ""));
}

TEST_CASE("A duplicate key is rejected") {
  const parsed_config parsed = ParseConfigDocument(ReplaceInMinimal(
      R"("name": "sales")", R"("name": "sales", "name": "ops")"));
  CHECK(HasError(parsed, config_fault::kDuplicateKey, ""));
}

TEST_CASE("Every example is a valid document") {
  size_t examples = 0;
  for (const auto& file :
       std::filesystem::directory_iterator("examples/config")) {
    std::ifstream input(file.path());
    const std::string text(std::istreambuf_iterator<char>(input), {});
    INFO(file.path());
    CHECK(ParseConfigDocument(text).errors.empty());
    ++examples;
  }
  CHECK(examples >= 2);
}

TEST_CASE("A digest is the SHA-256 of the exact text") {
  CHECK(DigestConfigText("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(ParseConfigDocument(kMinimal).document.digest ==
        DigestConfigText(kMinimal));
  CHECK(DigestConfigText("abc ") != DigestConfigText("abc"));
}

}  // namespace
}  // namespace tarragondrift
