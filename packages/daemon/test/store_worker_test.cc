#include "store_worker.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "mock_ports.h"
#include "tarragondrift/core/share_cmd.h"

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

TEST_CASE("records of one moment go out in one conditional write") {
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
  const auto write_lost = [&table](result<table_row> row) {
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

TEST_CASE("a key that another submission holds names its holder") {
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

TEST_CASE("whatever came of a write of the shares, the row is read again") {
  mock_table table;
  const share_row wanted{.plan = 1, .members = {{7}}};
  const share_row found{.plan = 1, .members = {{8}}};
  const share_order order{.key = "share/e/d",
                          .write = share_row_read{.row = wanted, .version = 4}};
  for (const result_code code :
       {result_code::kStoreConflict, result_code::kStoreUnknown,
        result_code::kStoreUnavailable}) {
    REQUIRE_CALL(table, Write(_))
        .WITH(_1.size() == 1 && _1[0].expected_version == 4U &&
              _1[0].value == FormatShareRow(wanted))
        .RETURN(code);
    REQUIRE_CALL(table, Get("share/e/d"))
        .RETURN(table_row{.value = FormatShareRow(found), .version = 5});
    const auto seen = LookAtShares(table, order);
    REQUIRE(seen.has_value());
    CHECK(seen->read.row == found);
    CHECK(seen->read.version == 5);
  }
}

TEST_CASE("an absent row of shares is a contact, an unread one is none") {
  mock_table table;
  const auto look = [&table](result<table_row> row) {
    REQUIRE_CALL(table, Get(_)).RETURN(row);
    return LookAtShares(table, {.key = "share/e/d"});
  };
  const auto absent = look(result_code::kNotFound);
  REQUIRE(absent.has_value());
  CHECK(absent->read.version == 0);
  CHECK_FALSE(look(result_code::kStoreUnavailable).has_value());
  CHECK_FALSE(look(table_row{.value = "?", .version = 1}).has_value());
}

TEST_CASE("a fence tells recorded from not recorded, and guesses nothing") {
  mock_table table;
  {
    REQUIRE_CALL(table, Write(_)).RETURN(outcome::success());
    CHECK(FenceIntent(table, kOwn) == fence_outcome::kFenced);
  }
  const auto fence_failed = [&table](result<table_row> row) {
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
