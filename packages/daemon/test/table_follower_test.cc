// Following a table: lists, changes, lost history and outages.
#include "table_follower.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "entry_rows.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only
using fleet::row_batch;
using fleet::row_outcome;

/// A row port with scripted replies.
class scripted_rows : public fleet::row_port {
 public:
  void Read(const fleet::table_part&, const std::string&,
            std::function<void(fleet::versioned_row)> done) override {
    done(read);
  }
  void List(const fleet::table_part&, const std::string& after,
            std::function<void(row_batch)> done) override {
    ++lists;
    last_after = after;
    if (hold) {
      held = std::move(done);
      return;
    }
    done(Next());
  }
  void Follow(const std::string&, uint64_t version,
              std::chrono::milliseconds wait,
              std::function<void(row_batch)> done) override {
    last_version = version;
    last_wait = wait;
    done(Next());
  }
  void Write(const fleet::row_update& update,
             std::function<void(row_outcome)> done) override {
    writes.push_back(update);
    done(write);
  }

  row_batch Next() {
    if (replies.empty()) {
      return {};
    }
    row_batch reply = replies.front();
    replies.pop_front();
    return reply;
  }

  std::deque<row_batch> replies;
  /// Keeps the reply to a list for later.
  bool hold = false;
  std::function<void(row_batch)> held;
  fleet::versioned_row read;
  row_outcome write = row_outcome::kOk;
  std::vector<fleet::row_update> writes;
  int lists = 0;
  std::string last_after;
  uint64_t last_version = 0;
  std::chrono::milliseconds last_wait{0};
};

struct follower_fixture {
  follower_fixture() {
    auto made = std::make_unique<scripted_rows>();
    script = made.get();
    rows = std::move(made);
    follower = std::make_unique<table_follower>(
        table_follower_options{.table = "t"}, rows,
        [this](const std::function<void(instant)>& step) { step(now); },
        [this](const fleet::row_change& change, instant) {
          if (change.removed) {
            seen.erase(change.key);
          } else {
            seen[change.key] = change.value;
          }
        });
  }

  void Step() {
    now += 1s;
    follower->Tick(now);
  }

  instant now;
  scripted_rows* script = nullptr;
  std::unique_ptr<fleet::row_port> rows;
  std::unique_ptr<table_follower> follower;
  std::map<std::string, std::string> seen;
};

TEST_CASE_METHOD(follower_fixture,
                 "the pages of a list and later changes are reported") {
  script->replies = {
      {.outcome = row_outcome::kOk,
       .rows = {{.key = "a", .value = "1"}},
       .version = 5,
       .more = true},
      {.outcome = row_outcome::kOk,
       .rows = {{.key = "b", .value = "1"}},
       .version = 7},
      {.outcome = row_outcome::kOk,
       .rows = {{.key = "a", .removed = true}, {.key = "b", .value = "2"}},
       .version = 9}};
  Step();
  CHECK_FALSE(follower->IsHealthy());
  Step();
  CHECK(script->last_after == "a");
  CHECK(follower->IsHealthy());
  Step();
  // Changes made while the list was read are not missed.
  CHECK(script->last_version == 5);
  CHECK(seen == std::map<std::string, std::string>{{"b", "2"}});
}

TEST_CASE_METHOD(follower_fixture,
                 "rows removed in a lost part of the history are reported") {
  script->replies = {
      {.outcome = row_outcome::kOk,
       .rows = {{.key = "a"}, {.key = "b"}},
       .version = 5},
      {.outcome = row_outcome::kHistoryLost},
      {.outcome = row_outcome::kOk, .rows = {{.key = "b"}}, .version = 50}};
  Step();
  Step();
  Step();
  CHECK(seen.size() == 1);
  CHECK(seen.contains("b"));
}

// Guards against tasks that start at workers which left: after an outage of
// 11 s, 500 rows for each pause of 0.5 s were fewer than the 730 that changed
// each second, so the notices of leaving workers were read ever later.
TEST_CASE("a follower that is behind reads full replies without a pause") {
  instant now;
  auto made = std::make_unique<scripted_rows>();
  scripted_rows* const script = made.get();
  const std::unique_ptr<fleet::row_port> rows = std::move(made);
  table_follower behind(
      {.table = "t", .batch_pause = 500ms}, rows,
      [&now](const std::function<void(instant)>& step) { step(now); },
      [](const fleet::row_change&, instant) {});
  script->replies = {
      {.outcome = row_outcome::kOk, .version = 5},
      {.outcome = row_outcome::kOk, .version = 505, .more = true},
      {.outcome = row_outcome::kOk, .version = 700},
      {.outcome = row_outcome::kOk, .version = 701}};
  behind.Tick(now);
  now += 500ms;
  behind.Tick(now);
  now += 20ms;
  behind.Tick(now);
  CHECK(script->last_version == 505);
  now += 20ms;
  behind.Tick(now);
  CHECK(script->replies.size() == 1);
}

TEST_CASE_METHOD(follower_fixture, "an outage removes nothing") {
  script->replies = {
      {.outcome = row_outcome::kOk, .rows = {{.key = "a"}}, .version = 5}};
  Step();
  Step();
  CHECK_FALSE(follower->IsHealthy());
  CHECK(seen.contains("a"));
  script->replies = {{.outcome = row_outcome::kOk, .version = 6}};
  Step();
  CHECK(follower->IsHealthy());
  CHECK(seen.contains("a"));
}

// Guards against a long poll on a dead connection after the store is back.
TEST_CASE_METHOD(follower_fixture,
                 "a follower that lost the store asks without waiting") {
  script->replies = {{.outcome = row_outcome::kOk, .version = 5}};
  Step();
  Step();
  CHECK(script->last_wait == 1s);
  CHECK_FALSE(follower->IsHealthy());
  Step();
  CHECK(script->last_wait == 0s);
  script->replies = {{.outcome = row_outcome::kOk, .version = 6}};
  Step();
  CHECK(follower->IsHealthy());
  Step();
  CHECK(script->last_wait == 1s);
}

// A follower that is resumed must not use rows that were removed meanwhile.
TEST_CASE_METHOD(follower_fixture, "a resumed follower lists the table anew") {
  script->replies = {
      {.outcome = row_outcome::kOk,
       .rows = {{.key = "a"}, {.key = "b"}},
       .version = 5},
      {.outcome = row_outcome::kOk, .rows = {{.key = "b"}}, .version = 50}};
  Step();
  CHECK(follower->IsComplete());
  follower->SetActive(false, now);
  Step();
  CHECK(script->replies.size() == 1);
  CHECK(seen.contains("a"));
  follower->SetActive(true, now);
  CHECK_FALSE(follower->IsComplete());
  Step();
  CHECK(follower->IsComplete());
  CHECK(seen == std::map<std::string, std::string>{{"b", ""}});
}

TEST_CASE_METHOD(follower_fixture,
                 "a reply to a call made before the resumption is dropped") {
  script->hold = true;
  Step();
  follower->SetActive(false, now);
  follower->SetActive(true, now);
  // The last page of the earlier list.
  script->held({.outcome = row_outcome::kOk, .rows = {{.key = "old"}}});
  CHECK_FALSE(follower->IsComplete());
  CHECK(seen.empty());
  Step();
  script->held({.outcome = row_outcome::kOk, .rows = {{.key = "new"}}});
  CHECK(follower->IsComplete());
  CHECK(seen.contains("new"));
}

TEST_CASE("an incarnation number is claimed only by a confirmed write") {
  instant now;
  auto made = std::make_unique<scripted_rows>();
  scripted_rows* const script = made.get();
  const std::unique_ptr<fleet::row_port> rows = std::move(made);
  entry_rows own(
      "entry1", rows,
      [&now](const std::function<void(instant)>& step) { step(now); });
  script->read = {.outcome = row_outcome::kOk, .value = "7", .version = 3};
  script->write = row_outcome::kConflict;
  own.Tick(now);
  CHECK_FALSE(own.Incarnation());
  script->read = {.outcome = row_outcome::kOk, .value = "8", .version = 4};
  script->write = row_outcome::kUnknown;
  now += 1s;
  own.Tick(now);
  CHECK_FALSE(own.Incarnation());
  script->read = {.outcome = row_outcome::kOk, .value = "9", .version = 5};
  script->write = row_outcome::kOk;
  now += 1s;
  own.Tick(now);
  REQUIRE(own.Incarnation());
  CHECK(*own.Incarnation() / 16 == 10);
  CHECK(script->writes.back().expected == 5);
}

TEST_CASE("instances with different counters get different numbers") {
  instant now;
  auto made = std::make_unique<scripted_rows>();
  scripted_rows* const script = made.get();
  const std::unique_ptr<fleet::row_port> rows = std::move(made);
  script->read = {.outcome = row_outcome::kOk};
  std::set<std::string> counters;
  std::set<uint64_t> numbers;
  for (int instance = 0; instance < 64; ++instance) {
    entry_rows own(
        "entry" + std::to_string(instance), rows,
        [&now](const std::function<void(instant)>& step) { step(now); });
    own.Tick(now);
    counters.insert(script->writes.back().key);
    numbers.insert(own.Incarnation().value());
  }
  CHECK(counters.size() == 16);
  CHECK(numbers.size() == counters.size());
}

TEST_CASE("an entry's row is rewritten when it is changed or removed") {
  instant now;
  auto made = std::make_unique<scripted_rows>();
  scripted_rows* const script = made.get();
  const std::unique_ptr<fleet::row_port> rows = std::move(made);
  entry_rows own(
      "entry1", rows,
      [&now](const std::function<void(instant)>& step) { step(now); });
  script->read = {.outcome = row_outcome::kOk};
  own.Tick(now);
  const fleet::entry_identity self{.incarnation = 1,
                                   .name = "entry1",
                                   .address = "10.0.0.1:7720",
                                   .data_centre = "east",
                                   .cpu_milli = 250};
  own.Announce(self);
  own.Tick(now);
  const std::string text = script->writes.back().value;
  CHECK(ParseEntryRow("entry1", text) == self);
  own.RowChanged(text);
  own.Tick(now);
  CHECK(script->writes.size() == 2);
  own.RowChanged("");
  own.Tick(now);
  CHECK(script->writes.size() == 3);
  own.Withdraw();
  own.Tick(now);
  CHECK(script->writes.back().remove);
  CHECK_FALSE(ParseEntryRow("x", "{}"));
}

}  // namespace
}  // namespace tarragondrift
