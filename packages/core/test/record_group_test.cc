#include <catch2/catch.hpp>

#include "tarragondrift/core/record_group_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

TEST_CASE("an entry writes its records in groups within its share") {
  record_group group{.options = {.writes_per_s = 100, .max_rows_per_write = 3}};
  SetWriters(group, 10);
  CHECK(WriteInterval(group) == 100ms);
  // New entries have no share saved up, so that many of them keep to the
  // budget.
  CHECK(TakeWriteBatch(group, instant{-100ms}).empty());
  for (uint64_t sequence = 1; sequence <= 5; ++sequence) {
    AddRecord(group, record_intent{.id = {1, {7}, sequence}});
  }
  CHECK(TakeWriteBatch(group, instant{-1us}).empty());
  const auto first = TakeWriteBatch(group, instant{});
  REQUIRE(first.size() == 3);
  CHECK(std::get<record_intent>(first[0]).id.sequence == 1);
  CHECK(TakeWriteBatch(group, instant{99ms}).empty());
  CHECK(TakeWriteBatch(group, instant{100ms}).size() == 2);
  // A long idle time saves up no more than one write.
  for (uint64_t sequence = 1; sequence <= 5; ++sequence) {
    AddRecord(group, record_intent{.id = {1, {7}, sequence}});
  }
  CHECK(TakeWriteBatch(group, instant{10s}).size() == 3);
  CHECK(TakeWriteBatch(group, instant{10s}).empty());
}

}  // namespace
}  // namespace tarragondrift
