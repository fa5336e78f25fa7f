// The stand-in upstream counts what the promises are about.
#include "fake_upstream.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tarragondrift/ports/http_client.h"

namespace tarragondrift {
namespace {

/// Two instances of two slots each.
struct upstream_fixture {
  fake_upstream upstream{{.instances = 2, .slots = 2}};
  http_client client{{.timeout = std::chrono::milliseconds(2'000)}};

  upstream_fixture() { REQUIRE(upstream.Start()); }
  ~upstream_fixture() { upstream.Stop(); }

  http_reply Run(size_t instance, const std::string& key,
                 const std::string& payload,
                 std::chrono::milliseconds timeout = {}) {
    return client.Send(
        {.method = http_method::kPost,
         .url = "http://" + upstream.Addresses().at(instance) + "/run",
         .headers = {{"Idempotency-Key", key}, {"X-Task-Name", "t"}},
         .body = payload,
         .timeout = timeout});
  }
};

}  // namespace

TEST_CASE_METHOD(upstream_fixture, "a task is run for its time and answered") {
  const http_reply reply = Run(0, "a/0", R"({"work_ms": 1})");
  REQUIRE(reply.status == 200);
  const auto body = nlohmann::json::parse(reply.body);
  CHECK(body.at("task") == "t");
  CHECK(body.at("key") == "a/0");
  CHECK(body.at("work_ms") == 1);
}

TEST_CASE_METHOD(upstream_fixture,
                 "a key that starts twice is a double start") {
  Run(0, "a/0", R"({"work_ms": 0})");
  Run(0, "a/1", R"({"work_ms": 0})");
  CHECK(upstream.Stats().double_starts == 0);
  Run(1, "a/0", R"({"work_ms": 0})");
  const upstream_stats stats = upstream.Stats();
  CHECK(stats.starts == 3);
  CHECK(stats.double_starts == 1);
  CHECK(stats.duplicates == std::vector<std::string>{"a/0"});
}

TEST_CASE_METHOD(upstream_fixture, "tasks over the slots are refused") {
  upstream.SetMode("", upstream_mode::kHanging);
  const auto hang = [&](const char* key) {
    return std::thread([this, key] { Run(0, key, "{}"); });
  };
  std::thread first = hang("a/0");
  std::thread second = hang("a/1");
  while (upstream.Stats().starts < 2) {
    std::this_thread::yield();
  }
  CHECK(Run(0, "a/2", "{}").status == 503);
  const upstream_stats stats = upstream.Stats();
  CHECK(stats.overruns == 1);
  CHECK(stats.starts == 2);
  CHECK(stats.max_in_flight == 2);
  upstream.Stop();
  first.join();
  second.join();
}

TEST_CASE_METHOD(upstream_fixture, "instances behave as they are told") {
  const std::string first = upstream.Addresses().front();
  REQUIRE(upstream.SetMode(first, upstream_mode::kLeaving));
  CHECK(Run(0, "a/0", "{}").status == 503);
  REQUIRE(upstream.SetMode(first, upstream_mode::kRefusing));
  CHECK(Run(0, "a/0", "{}").status == 503);
  CHECK(upstream.Stats().starts == 0);
  REQUIRE(upstream.SetMode(first, upstream_mode::kFailing));
  CHECK(Run(0, "a/0", "{}").status == 500);
  REQUIRE(upstream.SetMode(first, upstream_mode::kHanging));
  CHECK(Run(0, "a/1", "{}", std::chrono::milliseconds(50)).exchange ==
        http_exchange::kReplyLost);
  REQUIRE(upstream.SetMode("", upstream_mode::kReplyLost));
  CHECK(Run(1, "a/2", R"({"work_ms": 0})").exchange ==
        http_exchange::kReplyLost);
  CHECK(upstream.Stats().starts == 3);
  CHECK_FALSE(upstream.SetMode("127.0.0.1:1", upstream_mode::kServing));
}

TEST_CASE_METHOD(upstream_fixture, "the admin port switches and reports") {
  CHECK(Run(0, "a/0", R"({"work_ms": 0, "fail": true})").status == 500);
  const auto stats = client.Send({.url = upstream.AdminUrl() + "/stats"});
  CHECK(nlohmann::json::parse(stats.body).at("starts") == 1);
  const auto mode = client.Send({.method = http_method::kPost,
                                 .url = upstream.AdminUrl() + "/mode",
                                 .body = R"({"mode": "refusing"})"});
  CHECK(mode.status == 200);
  CHECK(Run(0, "a/1", "{}").status == 503);
  const auto wrong = client.Send({.method = http_method::kPost,
                                  .url = upstream.AdminUrl() + "/mode",
                                  .body = R"({"mode": "dancing"})"});
  CHECK(wrong.status == 400);
}

}  // namespace tarragondrift
