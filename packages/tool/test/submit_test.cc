// Submitting a job through entries that fail on the way.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tool_fixture.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr const char* kJob =
    R"({"contract": "quote", "team": "sales",
        "tasks": [{"name": "t1", "upstream": "plata", "declared_ms": 40},
                  {"name": "t2", "upstream": "plata", "declared_ms": 20}]})";

constexpr const char* kDone =
    R"({"id": "0001-01-1", "state": "done", "code": 0, "name": "ok",
        "response_time_ms": 50.0,
        "tasks": [{"name": "t1", "state": "succeeded", "body": "quote 1"},
                  {"name": "t2", "state": "succeeded", "body": "quote 2"}]})";

constexpr const char* kRunning =
    R"({"id": "0001-01-1", "state": "running", "tasks": 2, "running": 1,
        "finished": 1})";

/// Gives a ticket, and the answer for everything else.
fake_handler TicketsAnd(const fake_reply& reply) {
  return [reply](const fake_request& request) {
    return request.path == "/v1/tickets"
               ? fake_reply{.body = R"({"ids": ["0001-01-1"]})"}
               : reply;
  };
}

/// An answer in the shape of an entry's errors.
fake_reply ErrorReply(int status, int code) {
  return {.status = status,
          .body = json{
              {"code", code},
              {"detail", "of the test"},
              {"retry_after_ms",
               70}}.dump()};
}

/// Submits the job at some entries.
tool_run Submit(const std::vector<std::string>& more) {
  std::vector<std::string> words = {"submit", WriteFile("job.json", kJob)};
  words.insert(words.end(), more.begin(), more.end());
  return Run(words);
}

}  // namespace

TEST_CASE("submit prints the whole answer and the ideal") {
  scripted_entry entry(TicketsAnd({.body = kDone}));
  const tool_run run =
      Submit({"--entry", entry.server.Address(), "--slots", "2"});
  CHECK(run.code == 0);
  CHECK(run.out == "t1 succeeded quote 1\nt2 succeeded quote 2\n");
  CHECK(run.err.find("submission 0001-01-1\n") != std::string::npos);
  CHECK(run.err.find("ok, 2 of 2 tasks succeeded, response time 50.0 ms, "
                     "ideal 40.0 ms, ratio 1.250") != std::string::npos);
  REQUIRE(entry.requests.size() == 2);
  CHECK(json::parse(entry.requests[1].body).at("id") == "0001-01-1");
}

TEST_CASE("submit --json prints the answer as it came") {
  scripted_entry entry(TicketsAnd({.body = kDone}));
  const tool_run run = Submit({"--json", "--entry", entry.server.Address()});
  CHECK(run.code == 0);
  CHECK(json::parse(run.out) == json::parse(kDone));
  CHECK(run.err.empty());
}

TEST_CASE("submit asks again by id while the job runs") {
  scripted_entry entry([](const fake_request& request) -> fake_reply {
    if (request.path == "/v1/tickets") {
      return {.body = R"({"ids": ["0001-01-1"]})"};
    }
    return request.method == "POST"
               ? fake_reply{.status = 202, .body = kRunning}
               : fake_reply{.body = kDone};
  });
  CHECK(Submit({"--entry", entry.server.Address()}).code == 0);
  REQUIRE(entry.requests.size() == 3);
  CHECK(entry.requests[2].method == "GET");
  CHECK(entry.requests[2].path == "/v1/jobs/0001-01-1");
}

TEST_CASE("a lost reply is followed by the same id at the next entry") {
  scripted_entry first(TicketsAnd({.dropped = true}));
  scripted_entry second(TicketsAnd({.body = kDone}));
  const tool_run run = Submit(
      {"--entry", first.server.Address(), "--entry", second.server.Address()});
  CHECK(run.code == 0);
  REQUIRE(first.requests.size() == 2);
  REQUIRE(second.requests.size() == 1);
  CHECK(second.requests[0].method == "POST");
  CHECK(second.requests[0].body == first.requests[1].body);
}

TEST_CASE("an owner that cannot be reached is asked for elsewhere") {
  fake_reply unreachable = ErrorReply(503, 401);
  unreachable.body.insert(1, R"("state": "done", )");
  scripted_entry first(TicketsAnd(unreachable));
  scripted_entry second(TicketsAnd({.body = kDone}));
  CHECK(Submit(
            {"--entry", first.server.Address() + "," + second.server.Address()})
            .code == 0);
  CHECK(second.requests.size() == 1);
}

TEST_CASE("submit gives up in time when no entry answers") {
  scripted_entry entry(TicketsAnd({.dropped = true}));
  const tool_run run =
      Submit({"--entry", entry.server.Address(), "--timeout-ms", "50"});
  CHECK(run.code == 4);
  CHECK(run.err.find("error 401 owner_unreachable") != std::string::npos);
}

TEST_CASE("a refusal ends the submission with its number and remedy") {
  scripted_entry first(TicketsAnd(ErrorReply(503, 200)));
  scripted_entry second(TicketsAnd({.body = kDone}));
  const tool_run run = Submit(
      {"--entry", first.server.Address(), "--entry", second.server.Address()});
  CHECK(run.code == 3);
  CHECK(run.err.find("error 200 not_run_overloaded") != std::string::npos);
  CHECK(run.err.find("detail: of the test") != std::string::npos);
  CHECK(run.err.find("remedy: ") != std::string::npos);
  CHECK(run.err.find("retry after: 70 ms") != std::string::npos);
  CHECK(second.requests.empty());
}

TEST_CASE("the exit code tells how a job ended") {
  const std::map<int, int> exit_codes = {{300, 1}, {302, 1}, {303, 4},
                                         {201, 3}, {402, 4}, {900, 5}};
  for (const auto& [code, exit] : exit_codes) {
    const json answer = {{"id", "0001-01-1"},
                         {"state", "done"},
                         {"code", code},
                         {"tasks", json::array()}};
    scripted_entry entry(TicketsAnd({.status = 502, .body = answer.dump()}));
    CHECK(Submit({"--entry", entry.server.Address()}).code == exit);
  }
}

TEST_CASE("a job that names itself fetches no ticket") {
  scripted_entry entry(TicketsAnd({.body = kDone}));
  CHECK(Submit({"--id", "0002-02-2", "--entry", entry.server.Address()}).code ==
        0);
  REQUIRE(entry.requests.size() == 1);
  CHECK(json::parse(entry.requests[0].body).at("id") == "0002-02-2");
}

TEST_CASE("a file that is no job is not sent") {
  scripted_entry entry(TicketsAnd({.body = kDone}));
  const std::string address = entry.server.Address();
  CHECK(Run({"submit", "no/such/file", "--entry", address}).code == 2);
  CHECK(
      Run({"submit", WriteFile("list.json", "[1]"), "--entry", address}).code ==
      2);
  CHECK(entry.requests.empty());
}

TEST_CASE("tickets, cancel and status talk to the entries") {
  scripted_entry entry(TicketsAnd({.body = R"({"id": "x", "code": 0})"}));
  const std::string address = entry.server.Address();
  CHECK(Run({"tickets", "--entry", address}).out == "0001-01-1\n");
  CHECK(Run({"tickets", "--json", "--entry", address}).out ==
        "{\"ids\":[\"0001-01-1\"]}\n");
  CHECK(Run({"cancel", "x", "--entry", address}).code == 0);
  CHECK(entry.requests.back().method == "DELETE");
  CHECK(entry.requests.back().path == "/v1/jobs/x");
  CHECK(Run({"status", "x", "--entry", address}).code == 0);
  CHECK(Run({"status", "--operator", address, "--token", "secret"}).code == 0);
  CHECK(entry.requests.back().path == "/v1/status");
  CHECK(entry.requests.back().headers.at("authorization") == "Bearer secret");
}

}  // namespace tarragondrift
