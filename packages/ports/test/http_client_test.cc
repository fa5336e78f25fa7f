// The HTTP client against a server that fails on purpose.
#include "tarragondrift/ports/http_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "fake_http_server.h"

namespace tarragondrift {
namespace {

/// A server whose answers a test sets, and how many requests reached it.
struct http_fixture {
  std::atomic<int> requests = 0;
  std::atomic<bool> drop = false;
  std::atomic<bool> stall = false;
  std::string reply_body = "answer";
  fake_http_server server{
      [this](const fake_request& request) { return Answer(request); }};
  http_client client{{.connect_timeout = std::chrono::milliseconds(200),
                      .timeout = std::chrono::milliseconds(200),
                      .most_reply_bytes = 64}};

  http_fixture() { REQUIRE(server.Start(0)); }

  fake_reply Answer(const fake_request& request) {
    ++requests;
    if (stall) {
      server.Wait(std::chrono::seconds(30));
    }
    return {.body = request.body.empty() ? reply_body : request.body,
            .dropped = drop};
  }

  http_reply Send(http_method method, const std::string& body) {
    return client.Send({.method = method,
                        .url = "http://" + server.Address() + "/x",
                        .body = body});
  }
};

}  // namespace

TEST_CASE_METHOD(http_fixture, "a request brings its answer") {
  for (const auto method : {http_method::kPost, http_method::kPut}) {
    const http_reply reply = Send(method, "echo");
    CHECK(reply.exchange == http_exchange::kAnswered);
    CHECK(reply.status == 200);
    CHECK(reply.body == "echo");
  }
  CHECK(Send(http_method::kGet, "").body == "answer");
  CHECK(Send(http_method::kDelete, "").body == "answer");
}

TEST_CASE_METHOD(http_fixture,
                 "a request is not repeated on a fresh connection") {
  REQUIRE(Send(http_method::kPost, "first").status == 200);
  drop = true;
  for (const auto method : {http_method::kPost, http_method::kPut}) {
    requests = 0;
    CHECK(Send(method, "second").exchange == http_exchange::kReplyLost);
    CHECK(requests == 1);
    drop = false;
    REQUIRE(Send(http_method::kPost, "keep").status == 200);
    drop = true;
  }
}

TEST_CASE_METHOD(http_fixture, "a refused connection means not sent") {
  server.Stop();
  CHECK(Send(http_method::kPost, "x").exchange == http_exchange::kNotSent);
  CHECK(requests == 0);
}

TEST_CASE_METHOD(http_fixture, "a late answer means a lost reply") {
  stall = true;
  CHECK(Send(http_method::kPost, "x").exchange == http_exchange::kReplyLost);
  CHECK(requests == 1);
}

TEST_CASE_METHOD(http_fixture, "an answer is bounded in size") {
  CHECK(Send(http_method::kPost, std::string(64, 'x')).status == 200);
  CHECK(Send(http_method::kPost, std::string(65, 'x')).exchange ==
        http_exchange::kReplyTooLarge);
}

TEST_CASE("text is escaped for a URL") {
  CHECK(EscapeUrl("a b/c?d") == "a%20b%2Fc%3Fd");
  CHECK(EscapeUrl("").empty());
}

}  // namespace tarragondrift
