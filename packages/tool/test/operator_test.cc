// The operators' commands: configuration and burn.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "burn_report.h"
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

TEST_CASE("burn is summed over entries and compared with the budget") {
  const json body = {
      {"contracts",
       {{{"name", "quote"},
         {"objective_percent", 99.0},
         {"windows", {{{"window", "5m"}, {"answers", 100}, {"missed", 2}}}}}}}};
  const auto once = ReadBurn(body);
  REQUIRE(once.size() == 1);
  CHECK(BurnRate(once[0]) == Approx(2.0));
  const auto twice = SumBurn({once[0],
                              {.contract = "quote",
                               .window = "5m",
                               .objective_percent = 99.0,
                               .answers = 300}});
  REQUIRE(twice.size() == 1);
  CHECK(twice[0].answers == 400);
  CHECK(BurnRate(twice[0]) == Approx(0.5));
  CHECK(BurnRate({.objective_percent = 99.0}) == 0);
}

TEST_CASE("report burn prints text or JSON and writes its plot") {
  const json body = {
      {"contracts",
       {{{"name", "quote"},
         {"objective_percent", 99.0},
         {"windows", {{{"window", "5m"}, {"answers", 100}, {"missed", 1}}}}}}}};
  scripted_entry entry(Always({.body = body.dump()}));
  const std::string address = entry.server.Address();
  const tool_run text = Run({"report", "burn", "--operator", address, "--plot",
                             "build/tool_test_burn"});
  CHECK(text.code == 0);
  CHECK(text.out.find("quote") != std::string::npos);
  std::ifstream data("build/tool_test_burn.dat");
  std::string line;
  std::getline(data, line);
  CHECK(line == "\"quote 5m\" 1");
  const tool_run scripts =
      Run({"report", "burn", "--json", "--operator", address});
  CHECK(json::parse(scripts.out).at("burn").at(0).at("burn_rate") ==
        Approx(1.0));
  const tool_run part = Run(
      {"report", "burn", "--operator", address, "--operator", "127.0.0.1:1"});
  CHECK(part.code == 5);
  CHECK(part.out.find("quote") != std::string::npos);
}

}  // namespace tarragondrift
