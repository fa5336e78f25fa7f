// Following the operator's table: which configuration is in force, and when.
#include "operator_watch.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only
using fleet::row_batch;
using fleet::row_outcome;
using row_callback = std::function<void(row_batch)>;

std::string ConfigText(uint64_t version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[]})";
}

/// The calls of a watch that wait for their replies; thread-safe.
class pending_calls {
 public:
  void Add(row_callback call) {
    const std::scoped_lock lock(mutex_);
    call_ = std::move(call);
    added_.notify_all();
  }

  /// Waits for a call and replies to it.
  /// @return false if none came.
  bool Reply(row_batch batch) {
    constexpr std::chrono::seconds kLimit{5};
    std::unique_lock lock(mutex_);
    if (!added_.wait_for(lock, kLimit, [this] { return call_.has_value(); })) {
      return false;
    }
    const row_callback call = *std::exchange(call_, std::nullopt);
    lock.unlock();
    call(std::move(batch));
    return true;
  }

 private:
  std::mutex mutex_;
  std::condition_variable added_;
  std::optional<row_callback> call_;
};

class held_rows : public fleet::row_port {
 public:
  explicit held_rows(pending_calls& calls) : calls_(calls) {}

  void Read(const fleet::table_part&, const std::string&,
            std::function<void(fleet::versioned_row)>) override {}
  void List(const fleet::table_part&, const std::string&,
            row_callback done) override {
    calls_.Add(std::move(done));
  }
  void Follow(const std::string&, uint64_t, std::chrono::milliseconds,
              row_callback done) override {
    calls_.Add(std::move(done));
  }
  void Write(const fleet::row_update&,
             std::function<void(row_outcome)>) override {}

 private:
  pending_calls& calls_;
};

struct watch_fixture {
  watch_fixture() { watch.Start(); }

  /// Replies with a row of a configuration, and waits until the watch makes the
  /// next call, which shows that it has handled the reply.
  void ReplyWithConfig(uint64_t version, const std::string& text) {
    REQUIRE(calls.Reply(
        {.outcome = row_outcome::kOk,
         .rows = {{.key = "config", .value = text, .version = version}},
         .version = version}));
    REQUIRE(calls.Reply({.outcome = row_outcome::kOk, .version = version}));
  }

  uint64_t Version() const {
    const auto known = watch.Config();
    return known == nullptr ? 0 : known->config.version;
  }

  pending_calls calls;
  config_progress progress;
  std::atomic<int> changes{0};
  operator_watch watch{std::make_unique<held_rows>(calls), progress,
                       [this] { ++changes; }};
};

TEST_CASE_METHOD(watch_fixture,
                 "an older configuration never replaces a newer one") {
  ReplyWithConfig(5, ConfigText(5));
  CHECK(Version() == 5);
  watch.OfferConfig(7, ConfigText(7), instant{1s});
  CHECK(Version() == 7);
  CHECK(watch.Config()->source == config_source::kPeer);
  CHECK(watch.Config()->heard == instant{1s});
  watch.OfferConfig(6, ConfigText(6), instant{2s});
  // A peer that is wrong about the version of its text.
  watch.OfferConfig(9, ConfigText(4), instant{2s});
  ReplyWithConfig(6, ConfigText(6));
  CHECK(Version() == 7);
  ReplyWithConfig(8, ConfigText(8));
  CHECK(Version() == 8);
}

TEST_CASE_METHOD(watch_fixture,
                 "a malformed configuration leaves the known one in force") {
  ReplyWithConfig(5, ConfigText(5));
  const int before = changes;
  watch.OfferConfig(7, "{", instant{1s});
  ReplyWithConfig(8, R"({"version":"8"})");
  CHECK(Version() == 5);
  CHECK(changes == before);
}

// Guards against an evacuation that is lifted because a list is incomplete.
TEST_CASE_METHOD(watch_fixture, "evacuations are taken from complete lists") {
  REQUIRE(calls.Reply({.outcome = row_outcome::kOk,
                       .rows = {{.key = "config", .value = ConfigText(1)}},
                       .version = 4,
                       .more = true}));
  REQUIRE(calls.Reply({.outcome = row_outcome::kOk,
                       .rows = {{.key = "evacuate/east", .value = "{}"}},
                       .version = 9}));
  REQUIRE(calls.Reply({.outcome = row_outcome::kHistoryLost}));
  REQUIRE(watch.Evacuations() != nullptr);
  // Changes since the first page are followed.
  CHECK(watch.Evacuations()->version == 4);
  CHECK(watch.Evacuations()->data_centres == std::set<std::string>{"east"});
  REQUIRE(calls.Reply(
      {.outcome = row_outcome::kOk, .rows = {}, .version = 12, .more = false}));
  REQUIRE(calls.Reply({.outcome = row_outcome::kOk, .version = 13}));
  CHECK(watch.Evacuations()->data_centres.empty());
  CHECK(changes == 3);
}

// Guards against a store that is flooded while it drops its history.
TEST_CASE_METHOD(watch_fixture, "calls are limited when replies come at once") {
  ReplyWithConfig(1, ConfigText(1));
  const auto begun = std::chrono::steady_clock::now();
  for (uint64_t version = 2; version < 7; ++version) {
    REQUIRE(calls.Reply({.outcome = row_outcome::kHistoryLost}));
    REQUIRE(calls.Reply({.outcome = row_outcome::kOk, .version = version}));
  }
  CHECK(std::chrono::steady_clock::now() - begun > 100ms);
}

}  // namespace
}  // namespace tarragondrift
