#include "store_worker.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "mock_ports.h"

namespace tarragondrift {
namespace {

using trompeloeil::_;

const submission_id kOwn{1, {7}, 5};
const submission_id kOther{1, {8}, 9};

claim_key MakeClaim(const std::string& key) {
  return {.key = key, .id = kOwn, .digest = {1, 2}};
}

key_claim ClaimOf(const engine_event& event) {
  return std::get<claim_ended_event>(event).claim;
}

store_outcome RecordOf(const engine_event& event) {
  return std::get<record_ended_event>(event).outcome;
}

TEST_CASE("queued records are written in one conditional batch") {
  mock_table table;
  REQUIRE_CALL(table, Write(_))
      .WITH(_1.size() == 2 && _1[0].expected_version == 0U &&
            _1[1].expected_version == 0U)
      .RETURN(outcome::success());
  const auto events =
      WriteRecords(table, {MakeClaim("k"), record_intent{.id = kOther}});
  CHECK(ClaimOf(events[0]).outcome == store_outcome::kApplied);
  CHECK(RecordOf(events[1]) == store_outcome::kApplied);
}

TEST_CASE("a lost reply is resolved by reading back") {
  mock_table table;
  const auto write_lost = [&table](const result<table_row>& row) {
    REQUIRE_CALL(table, Write(_)).RETURN(result_code::kStoreUnknown);
    REQUIRE_CALL(table, Get(_)).RETURN(row);
    return RecordOf(WriteRecords(table, {record_intent{.id = kOwn}})[0]);
  };
  CHECK(write_lost(table_row{.value = "started"}) == store_outcome::kApplied);
  CHECK(write_lost(table_row{.value = "fenced"}) == store_outcome::kConflict);
  // The write may still arrive.
  CHECK(write_lost(result_code::kNotFound) == store_outcome::kUnknown);
  CHECK(write_lost(result_code::kStoreUnavailable) == store_outcome::kUnknown);
}

TEST_CASE("a conflicting key claim returns the holder of the key") {
  mock_table table;
  REQUIRE_CALL(table, Write(_)).RETURN(result_code::kStoreConflict);
  REQUIRE_CALL(table, Get("key/k"))
      .RETURN(table_row{.value = R"({"id":")" + FormatSubmissionId(kOther) +
                                 R"(","high":3,"low":4})"});
  const key_claim claim = ClaimOf(WriteRecords(table, {MakeClaim("k")})[0]);
  CHECK(claim.outcome == store_outcome::kConflict);
  CHECK(claim.holder == kOther);
  CHECK(claim.holder_digest == content_digest{3, 4});
}

TEST_CASE("a fence distinguishes recorded, not recorded and unknown") {
  mock_table table;
  {
    REQUIRE_CALL(table, Write(_)).RETURN(outcome::success());
    CHECK(FenceIntent(table, kOwn) == fence_outcome::kFenced);
  }
  const auto fence_failed = [&table](const result<table_row>& row) {
    REQUIRE_CALL(table, Write(_)).RETURN(result_code::kStoreConflict);
    REQUIRE_CALL(table, Get(_)).RETURN(row);
    return FenceIntent(table, kOwn);
  };
  CHECK(fence_failed(table_row{.value = "started"}) ==
        fence_outcome::kRecorded);
  CHECK(fence_failed(table_row{.value = "fenced"}) == fence_outcome::kFenced);
  CHECK(fence_failed(result_code::kStoreUnavailable) ==
        fence_outcome::kUnknown);
}

}  // namespace
}  // namespace tarragondrift
