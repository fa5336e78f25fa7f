#include "tarragondrift/config/config_store.h"

#include <catch2/catch.hpp>
#include <string>

#include "memory_table.h"

namespace tarragondrift {
namespace {

/// Returns a valid document whose text depends on the weight.
std::string MakeText(int weight) {
  return R"({"schema": 1, "upstreams": [{"name": "plata"}],
    "contracts": [{"name": "quote"}],
    "data_centres": [{"name": "brasov", "region": "centru"}],
    "teams": [{"name": "sales", "weight": )" +
         std::to_string(weight) + "}]}";
}

config_change MakeChange(const std::string& author,
                         const std::string& operation,
                         std::optional<uint64_t> expected = std::nullopt) {
  return config_change{.by = author,
                       .at = std::chrono::system_clock::time_point(
                           std::chrono::seconds(1'700'000'000)),
                       .operation = operation,
                       .expected_version = expected};
}

/// Tries a document and returns its digest.
std::string Try(memory_table& table, int weight) {
  const change_outcome tried =
      TryDocument(table, MakeText(weight),
                  MakeChange("ana", "try" + std::to_string(weight)));
  REQUIRE(tried.code == result_code::kOk);
  return tried.head.digest;
}

config_head Production(memory_table& table) {
  return ReadHead(table, environment::kProduction).assume_value();
}

TEST_CASE("A tried document is promoted unchanged") {
  memory_table table;
  const std::string digest = Try(table, 1);
  CHECK(Production(table).version == 0);
  const change_outcome promoted =
      PromoteDocument(table, digest, MakeChange("ana", "p1"));
  REQUIRE(promoted.code == result_code::kOk);
  CHECK(promoted.changed);
  CHECK(promoted.head.version == 1);
  CHECK(Production(table) == promoted.head);
  CHECK(ReadDocument(table, digest).assume_value() == MakeText(1));
  const config_document loaded =
      LoadDocument(table, promoted.head).assume_value();
  CHECK(loaded.version == 1);
  CHECK(loaded.digest == digest);
}

TEST_CASE("A contract's recording never changes under its name") {
  memory_table table;
  REQUIRE(Try(table, 1).size() == 64);
  std::string recorded = MakeText(2);
  const std::string name = R"({"name": "quote")";
  recorded.insert(recorded.find(name) + name.size(), R"(, "recorded": true)");
  const change_outcome refused =
      TryDocument(table, recorded, MakeChange("ana", "recorded"));
  CHECK(refused.code == result_code::kConfigInvalid);
  REQUIRE(refused.errors.size() == 1);
  CHECK(refused.errors[0].fault == config_fault::kContradiction);
  CHECK(refused.errors[0].path == "/contracts/0/recorded");
  CHECK(ReadHead(table, environment::kTrial).assume_value().version == 1);
}

TEST_CASE("Only tried digests and valid documents are accepted") {
  memory_table table;
  CHECK(PromoteDocument(table, std::string(64, 'a'), MakeChange("ana", "p"))
            .code == result_code::kConfigDigestUnknown);
  const change_outcome tried = TryDocument(table, "{}", MakeChange("ana", "t"));
  CHECK(tried.code == result_code::kConfigInvalid);
  CHECK(tried.errors.size() == 5);
  CHECK(TryDocument(table, MakeText(1), MakeChange("", "t")).code ==
        result_code::kMalformedRequest);
  CHECK(table.applied_writes == 0);
}

TEST_CASE("The loser of two concurrent changes is told the winner") {
  memory_table table;
  const std::string first = Try(table, 1);
  const std::string second = Try(table, 2);
  table.before_write = [&] {
    REQUIRE(PromoteDocument(table, second, MakeChange("ion", "p2")).code ==
            result_code::kOk);
  };
  const change_outcome lost =
      PromoteDocument(table, first, MakeChange("ana", "p1"));
  CHECK(lost.code == result_code::kConfigConflict);
  CHECK(lost.head.by == "ion");
  CHECK(lost.head.digest == second);
  CHECK(Production(table).by == "ion");
  CHECK(Production(table).version == 1);
}

TEST_CASE(
    "A write whose reply is lost is applied once and reported as accepted") {
  memory_table table;
  const std::string digest = Try(table, 1);
  table.write_faults = {write_fault::kReplyLost};
  const change_outcome promoted =
      PromoteDocument(table, digest, MakeChange("ana", "p1"));
  CHECK(promoted.code == result_code::kOk);
  CHECK(promoted.head.version == 1);
  CHECK(Production(table).version == 1);
}

TEST_CASE(
    "A change with a lost reply that was replaced is reported as accepted") {
  memory_table table;
  const std::string first = Try(table, 1);
  const std::string second = Try(table, 2);
  table.write_faults = {write_fault::kReplyLost, write_fault::kUnavailable,
                        write_fault::kUnavailable, write_fault::kUnavailable};
  CHECK(PromoteDocument(table, first, MakeChange("ana", "p1")).code ==
        result_code::kOk);
  REQUIRE(
      PromoteDocument(table, second, MakeChange("ion", "p2")).head.version ==
      2);
  const change_outcome again =
      PromoteDocument(table, first, MakeChange("ana", "p1", 0));
  CHECK(again.code == result_code::kOk);
  CHECK_FALSE(again.changed);
  CHECK(again.head.version == 1);
  REQUIRE(again.replaced_by.has_value());
  CHECK(again.replaced_by->by == "ion");
  CHECK(Production(table).digest == second);
}

TEST_CASE("A delayed write is never reported as not accepted") {
  memory_table table;
  const std::string digest = Try(table, 1);
  table.write_faults = {write_fault::kDelayed, write_fault::kUnavailable,
                        write_fault::kUnavailable, write_fault::kUnavailable};
  const change_outcome promoted =
      PromoteDocument(table, digest, MakeChange("ana", "p1"));
  CHECK(promoted.code == result_code::kConfigOutcomeUnknown);
  table.DeliverDelayed();
  CHECK(Production(table).version == 1);
  const change_outcome again =
      PromoteDocument(table, digest, MakeChange("ana", "p1"));
  CHECK(again.code == result_code::kOk);
  CHECK_FALSE(again.changed);
  CHECK(Production(table).version == 1);
}

TEST_CASE(
    "A repeated command never reports that the first copy had no effect") {
  memory_table table;
  const std::string digest = Try(table, 1);
  table.write_faults = {write_fault::kDelayed,     write_fault::kUnavailable,
                        write_fault::kUnavailable, write_fault::kUnavailable,
                        write_fault::kUnavailable, write_fault::kUnavailable,
                        write_fault::kUnavailable, write_fault::kUnavailable};
  config_change change = MakeChange("ana", "p1", 0);
  REQUIRE(PromoteDocument(table, digest, change).code ==
          result_code::kConfigOutcomeUnknown);
  change.repeated = true;
  CHECK(PromoteDocument(table, digest, change).code ==
        result_code::kConfigOutcomeUnknown);
  table.reads_fail = true;
  CHECK(PromoteDocument(table, digest, change).code ==
        result_code::kConfigOutcomeUnknown);
}

TEST_CASE("A delayed copy of an accepted write has no effect") {
  memory_table table;
  const std::string first = Try(table, 1);
  const std::string second = Try(table, 2);
  table.write_faults = {write_fault::kDelayed};
  REQUIRE(PromoteDocument(table, first, MakeChange("ana", "p1")).code ==
          result_code::kOk);
  REQUIRE(PromoteDocument(table, second, MakeChange("ion", "p2")).code ==
          result_code::kOk);
  table.DeliverDelayed();
  CHECK(Production(table).version == 2);
  CHECK(Production(table).digest == second);
}

TEST_CASE("A repeated promote has one outcome") {
  memory_table table;
  const std::string digest = Try(table, 1);
  REQUIRE(PromoteDocument(table, digest, MakeChange("ana", "p1", 0)).changed);
  const change_outcome again =
      PromoteDocument(table, digest, MakeChange("ana", "p1-again", 0));
  CHECK(again.code == result_code::kOk);
  CHECK_FALSE(again.changed);
  CHECK(again.head.version == 1);
  CHECK(Production(table).version == 1);
}

TEST_CASE("An unavailable store leaves the document unchanged") {
  memory_table table;
  const std::string digest = Try(table, 1);
  table.write_faults = {write_fault::kUnavailable};
  CHECK(PromoteDocument(table, digest, MakeChange("ana", "p1")).code ==
        result_code::kStoreUnavailable);
  CHECK(Production(table).version == 0);
  table.reads_fail = true;
  CHECK(PromoteDocument(table, digest, MakeChange("ana", "p1")).code ==
        result_code::kStoreUnavailable);
}

TEST_CASE("History lists changes and their operators, newest first") {
  memory_table table;
  for (int change = 1; change <= 3; ++change) {
    const std::string digest = Try(table, change);
    REQUIRE(PromoteDocument(table, digest,
                            MakeChange(change == 2 ? "ion" : "ana",
                                       "p" + std::to_string(change)))
                .changed);
  }
  const auto history =
      ReadHistory(table, environment::kProduction, 2).assume_value();
  REQUIRE(history.size() == 2);
  CHECK(history[0].version == 3);
  CHECK(history[1].by == "ion");
}

TEST_CASE("Pruning keeps the document in force and those in the kept history") {
  memory_table table;
  std::string digest;
  for (int change = 1; change <= 5; ++change) {
    digest = Try(table, change);
    REQUIRE(PromoteDocument(table, digest,
                            MakeChange("ana", "p" + std::to_string(change)))
                .changed);
  }
  // Three changes in each of two environments and three documents are deleted.
  CHECK(PruneHistory(table, 2).assume_value() == 9);
  CHECK(ReadDocument(table, digest).has_value());
  CHECK(ReadHistory(table, environment::kProduction, 9).assume_value().size() ==
        2);
  CHECK(ReadDocument(table, DigestConfigText(MakeText(1))).assume_error() ==
        result_code::kConfigDigestUnknown);
}

}  // namespace
}  // namespace tarragondrift
