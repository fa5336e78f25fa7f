// The operators' commands: configuration and burn.
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "tarragondrift/config/burn_store.h"
#include "tool_fixture.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

/// Answers every request with the same reply.
fake_handler Always(const fake_reply& reply) {
  return [reply](const fake_request&) { return reply; };
}

}  // namespace

TEST_CASE("config check lists every error of the document") {
  const json body = {
      {"errors",
       {{{"path", "/teams"}, {"name", "missing_key"}, {"detail", "is needed"}},
        {{"path", "/x"}, {"name", "unknown_key"}, {"detail", "is odd"}}}}};
  scripted_entry entry(Always({.body = body.dump()}));
  const std::string file = WriteFile("config.json", "{}");
  const tool_run run =
      Run({"config", "check", file, "--operator", entry.server.Address()});
  CHECK(run.code == 6);
  CHECK(run.out == "/teams: missing_key: is needed\n/x: unknown_key: is odd\n");
  CHECK(run.err.find("error 600 config_invalid") != std::string::npos);
  CHECK(entry.requests.at(0).body == "{}");
}

TEST_CASE("config check of a right document exits with 0") {
  scripted_entry entry(Always({.body = R"({"errors": []})"}));
  CHECK(Run({"config", "check", WriteFile("config.json", "{}"), "--operator",
             entry.server.Address()})
            .code == 0);
}

TEST_CASE("config try and promote say who makes the change") {
  scripted_entry entry(Always({.body = R"({"version": 7, "digest": "ab"})"}));
  const std::string address = entry.server.Address();
  const std::string file = WriteFile("config.json", "{\"schema\": 1}\n");
  CHECK(
      Run({"config", "try", file, "--by", "ana", "--operator", address}).code ==
      0);
  const json tried = json::parse(entry.requests.at(0).body);
  CHECK(tried.at("document") == "{\"schema\": 1}\n");
  CHECK(tried.at("by") == "ana");
  CHECK(Run({"config", "promote", "ab", "--by", "ana", "--operator", address})
            .code == 0);
  const json promoted = json::parse(entry.requests.at(1).body);
  CHECK(promoted.at("digest") == "ab");
  CHECK(promoted.at("by") == "ana");
  CHECK(promoted.at("operation") != tried.at("operation"));
}

TEST_CASE("a lost race names its winner and exits with 6") {
  const json body = {
      {"code", 601},
      {"winner", {{"version", 8}, {"by", "bob"}, {"digest", "cd"}}}};
  scripted_entry entry(Always({.status = 409, .body = body.dump()}));
  const tool_run run =
      Run({"config", "promote", "ab", "--operator", entry.server.Address()});
  CHECK(run.code == 6);
  CHECK(run.out == "in force: version 8 by bob, digest cd\n");
  CHECK(run.err.find("error 601 config_conflict") != std::string::npos);
}

TEST_CASE("a change whose reply is lost is repeated under the same name") {
  scripted_entry first(Always({.dropped = true}));
  scripted_entry second(Always({.body = "{}"}));
  const tool_run run =
      Run({"config", "promote", "ab", "--operator",
           first.server.Address() + "," + second.server.Address()});
  CHECK(run.code == 0);
  REQUIRE(second.requests.size() == 1);
  CHECK(second.requests[0].body == first.requests.at(0).body);
}

TEST_CASE("a change whose every reply is lost has an unknown outcome") {
  scripted_entry entry(Always({.dropped = true}));
  const tool_run run = Run({"config", "promote", "ab", "--operator",
                            entry.server.Address() + ",127.0.0.1:1"});
  CHECK(run.code == 6);
  CHECK(run.err.find("error 603 config_outcome_unknown") != std::string::npos);
}

TEST_CASE("config diff shows what would change") {
  const json body = {{"document", R"({"schema": 1, "most": 5})"}};
  scripted_entry entry(Always({.body = body.dump()}));
  const std::string file =
      WriteFile("diff.json", R"({"schema": 1, "most": 6, "new": true})");
  const tool_run run =
      Run({"config", "diff", file, "--operator", entry.server.Address()});
  CHECK(run.code == 0);
  CHECK(run.out.find("replace /most was 5 is 6\n") != std::string::npos);
  CHECK(run.out.find("add /new is true\n") != std::string::npos);
}

namespace {

/// Gives the document in force and one entry's counts of the current bucket.
fake_handler BurnOf(uint64_t life, uint64_t answers, uint64_t missed) {
  return [=](const fake_request& request) -> fake_reply {
    if (request.path == "/v1/config/document") {
      std::ifstream file("examples/config/demo.json");
      const std::string text{std::istreambuf_iterator<char>(file), {}};
      return {.body = json{{"document", text}}.dump()};
    }
    const auto now = std::chrono::time_point_cast<std::chrono::seconds>(
        std::chrono::system_clock::now());
    burn_source source{.incarnation = life};
    source.counts.buckets[now.time_since_epoch() / kBurnBucket]
                         [{.contract = "quote", .team = "sales"}] = {
        .answers = answers, .missed = missed};
    return {.body = FormatBurnSource(source)};
  };
}

}  // namespace

TEST_CASE("report burn sums the entries and compares with the budget") {
  scripted_entry first(BurnOf(1, 100, 2));
  scripted_entry second(BurnOf(2, 300, 0));
  const tool_run run =
      Run({"report", "burn", "--json", "--operator",
           first.server.Address() + "," + second.server.Address()});
  CHECK(run.code == 0);
  const json report = json::parse(run.out);
  CHECK(report.at("sources") == 2);
  bool found = false;
  for (const json& row : report.at("rows")) {
    if (row.at("contract") == "quote" &&
        row.at("team").get<std::string>().empty()) {
      found = true;
      CHECK(row.at("answers") == 400);
      CHECK(row.at("missed") == 2);
      CHECK(row.at("alerts").at(0).at("long").at("rate").get<double>() ==
            Approx(0.5));
    }
  }
  CHECK(found);
}

TEST_CASE("report burn prints text and writes its plot") {
  scripted_entry entry(BurnOf(1, 100, 1));
  const std::string address = entry.server.Address();
  const tool_run text = Run({"report", "burn", "--operator", address, "--plot",
                             "build/tool_test_burn"});
  CHECK(text.code == 0);
  CHECK(text.out.find("quote") != std::string::npos);
  std::ifstream data("build/tool_test_burn.dat");
  const std::string lines{std::istreambuf_iterator<char>(data), {}};
  CHECK(lines.find("\"quote 1h\" 1\n") != std::string::npos);
  CHECK(std::ifstream("build/tool_test_burn.gp").good());
}

TEST_CASE("report burn goes on without an entry that is away") {
  scripted_entry entry(BurnOf(1, 100, 1));
  const tool_run part = Run({"report", "burn", "--operator",
                             entry.server.Address() + ",127.0.0.1:1"});
  CHECK(part.code == 5);
  CHECK(part.out.find("quote") != std::string::npos);
  CHECK(part.err.find("error 700") != std::string::npos);
}

}  // namespace tarragondrift
