#include "entry_registry.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace tarragondrift {
namespace {

known_entry MakeKnownEntry(uint64_t who) {
  return {.row = {.who = {who}, .data_centre_number = 1, .address = "a"},
          .live = true};
}

TEST_CASE(
    "DivideSlots gives all entries together exactly the slots of an instance") {
  const std::vector<incarnation> entries{{1}, {5}, {9}};
  for (const uint32_t slots : {0U, 1U, 2U, 7U, 8U, 100U}) {
    uint32_t sum = 0;
    for (const incarnation who : entries) {
      sum += DivideSlots(entries, who, "127.0.0.1:9", slots);
    }
    CHECK(sum == slots);
  }
  CHECK(DivideSlots(entries, {2}, "127.0.0.1:9", 8) == 0);
}

TEST_CASE(
    "FindOwner follows successors to a running entry and stops at a cycle") {
  entry_directory entries;
  for (const uint64_t who : {1U, 2U, 3U}) {
    entries[{who}] = MakeKnownEntry(who);
  }
  entries[{1}].row.stopped = true;
  entries[{1}].row.successor = incarnation{2};
  entries[{2}].row.stopped = true;
  entries[{2}].row.successor = incarnation{3};
  CHECK(FindOwner(entries, {1})->who == incarnation{3});
  CHECK_FALSE(FindOwner(entries, {4}).has_value());
  entries[{3}].row.stopped = true;
  entries[{3}].row.successor = incarnation{1};
  CHECK_FALSE(FindOwner(entries, {1}).has_value());
}

}  // namespace
}  // namespace tarragondrift
