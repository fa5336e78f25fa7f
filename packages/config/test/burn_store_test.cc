#include "tarragondrift/config/burn_store.h"

#include <array>
#include <catch2/catch.hpp>

#include "memory_table.h"
#include "tarragondrift/core/burn_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr wall_second kNow{1'700'000'000s};

burn_source MakeSource(uint64_t incarnation, wall_second when) {
  burn_source source{.incarnation = incarnation};
  const contract_config contract{.name = "quote"};
  CountAnswer(source.counts, contract, "sales", result_code::kOk, 1ms, when);
  CountAnswer(source.counts, contract, "clerks", result_code::kTaskFailed, 1ms,
              when);
  return source;
}

TEST_CASE("The burn counts of an entry survive formatting and parsing") {
  const burn_source source = MakeSource(~uint64_t{0}, kNow);
  const burn_source again =
      ParseBurnSource(FormatBurnSource(source)).assume_value();
  CHECK(again.incarnation == source.incarnation);
  CHECK(again.counts == source.counts);
  CHECK(ParseBurnSource("{\"counts\": 1}").assume_error() ==
        result_code::kMalformedRequest);
}

TEST_CASE("The counts of a stopped entry stay in the report") {
  memory_table table;
  REQUIRE(FlushBurn(table, MakeSource(1, kNow - 2h)).has_value());
  REQUIRE(FlushBurn(table, MakeSource(2, kNow - 9h)).has_value());
  std::vector<burn_source> sources =
      ReadFlushedBurn(table, kNow).assume_value();
  REQUIRE(sources.size() == 1);
  sources.push_back(MakeSource(3, kNow));
  const std::array objectives = {burn_objective{.contract = "quote"}};
  const burn_report report = BurnReport(sources, objectives, kNow);
  CHECK(report.rows.at(0).count == burn_count{.answers = 4, .missed = 2});
  CHECK(FormatBurnReport(report).find("\"firing\": true") != std::string::npos);
  CHECK(table.List("burn/").assume_value().size() == 1);
}

TEST_CASE("A summary over the size limit drops its oldest buckets") {
  memory_table table;
  burn_source source{.incarnation = 1};
  for (auto age = 5h; age >= 0h; age -= 1h) {
    for (int number = 0; number < 1'000; ++number) {
      CountAnswer(source.counts, {.name = "c" + std::to_string(number)}, "t",
                  result_code::kOk, 1ms, kNow - age);
    }
  }
  REQUIRE(FlushBurn(table, source).has_value());
  CHECK(table.Get("burn/1").assume_value().value.size() <= 256U << 10U);
  const auto sources = ReadFlushedBurn(table, kNow).assume_value();
  CHECK(sources.at(0).counts.buckets.size() < 6);
  CHECK(sources.at(0).counts.buckets.rbegin()->first ==
        source.counts.buckets.rbegin()->first);
}

}  // namespace
}  // namespace tarragondrift
