#include <array>
#include <catch2/catch.hpp>

#include "tarragondrift/core/burn_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

const contract_config kQuote{
    .name = "quote", .objective_percent = 99.0, .objective_latency = 800ms};
constexpr wall_second kNow{1'700'000'000s};

/// Counts `on_time` answers that meet the objective and `late` ones that miss
/// it, at the given time.
void CountAnswers(burn_counts& counts, const std::string& team, int on_time,
                  int late, wall_second when) {
  for (int number = 0; number < on_time; ++number) {
    CountAnswer(counts, kQuote, team, result_code::kOk, 700ms, when);
  }
  for (int number = 0; number < late; ++number) {
    CountAnswer(counts, kQuote, team, result_code::kOk, 900ms, when);
  }
}

burn_report Report(const std::vector<burn_source>& sources) {
  const std::array objectives = {
      burn_objective{.contract = "quote", .percent = 99.0, .latency = 800ms}};
  return BurnReport(sources, objectives, kNow);
}

TEST_CASE(
    "Late, failed and refused answers miss; errors by the caller are ignored") {
  CHECK(ClassifyAnswer(kQuote, result_code::kOk, 800ms) == burn_outcome::kMet);
  CHECK(ClassifyAnswer(kQuote, result_code::kOk, 801ms) ==
        burn_outcome::kMissed);
  for (const result_code code :
       {result_code::kTaskFailed, result_code::kNotRunOverloaded,
        result_code::kOutcomeUnknown}) {
    CHECK(ClassifyAnswer(kQuote, code, 1ms) == burn_outcome::kMissed);
  }
  for (const result_code code :
       {result_code::kMalformedRequest, result_code::kNotRunCancelled,
        result_code::kNotRunQuota}) {
    CHECK(ClassifyAnswer(kQuote, code, 1ms) == burn_outcome::kIgnored);
  }
}

TEST_CASE("The burn rate is the missed fraction over the allowed fraction") {
  burn_source entry{.incarnation = 1};
  CountAnswers(entry.counts, "sales", 95, 5, kNow);
  const burn_row row = Report({entry}).rows.at(0);
  CHECK(row.team.empty());
  CHECK(row.count == burn_count{.answers = 100, .missed = 5});
  CHECK(row.alerts[0].short_window.rate == Approx(5.0));
  CHECK(row.budget_left == Approx(-4.0));
}

TEST_CASE("An alert fires only while both windows exceed the threshold") {
  burn_source entry{.incarnation = 1};
  SECTION("a burst that is over") {
    CountAnswers(entry.counts, "sales", 50, 50, kNow - 40min);
    CountAnswers(entry.counts, "sales", 100, 0, kNow);
    const burn_alert fast = Report({entry}).rows.at(0).alerts[0];
    CHECK(fast.long_window.rate > fast.threshold);
    CHECK_FALSE(fast.firing);
  }
  SECTION("a burst that continues") {
    CountAnswers(entry.counts, "sales", 50, 50, kNow - 40min);
    CountAnswers(entry.counts, "sales", 50, 50, kNow);
    CHECK(Report({entry}).rows.at(0).alerts[0].firing);
  }
  SECTION("a slow burn") {
    CountAnswers(entry.counts, "sales", 92, 8, kNow - 3h);
    CountAnswers(entry.counts, "sales", 92, 8, kNow - 10min);
    const burn_row row = Report({entry}).rows.at(0);
    CHECK_FALSE(row.alerts[0].firing);
    CHECK(row.alerts[1].firing);
  }
}

TEST_CASE("Counts are added up across entries, and each team has its own row") {
  burn_source first{.incarnation = 1};
  burn_source second{.incarnation = 2};
  CountAnswers(first.counts, "sales", 10, 0, kNow);
  CountAnswers(second.counts, "clerks", 5, 5, kNow);
  const burn_report report = Report({first, second});
  CHECK(report.sources == 2);
  REQUIRE(report.rows.size() == 3);
  CHECK(report.rows[0].count == burn_count{.answers = 20, .missed = 5});
  CHECK(report.rows[1].team == "clerks");
  CHECK(report.rows[1].count.missed == 5);
  CHECK(report.rows[2].count.missed == 0);
}

TEST_CASE("Copies of one incarnation count once; the later one is used") {
  burn_source flushed{.incarnation = 1};
  CountAnswers(flushed.counts, "sales", 10, 1, kNow - 10min);
  burn_source live = flushed;
  CountAnswers(live.counts, "sales", 4, 0, kNow);
  CHECK(Report({live, flushed}).rows.at(0).count.answers == 15);
  CHECK(Report({flushed}).rows.at(0).count.answers == 11);
}

TEST_CASE("A summary counts only without other sources of its incarnation") {
  burn_source live{.incarnation = 1};
  CountAnswers(live.counts, "sales", 10, 1, kNow);
  const burn_source summary{
      .incarnation = 1, .by_team = false, .counts = SumOverTeams(live.counts)};
  CHECK(Report({live, summary}).rows.at(0).count.answers == 11);
  const burn_report alone = Report({summary});
  REQUIRE(alone.rows.size() == 1);
  CHECK(alone.rows[0].count.missed == 1);
}

TEST_CASE("Buckets older than the history are removed") {
  burn_counts counts;
  for (auto age = 24h; age >= 0h; age -= 1h) {
    CountAnswers(counts, "sales", 1, 0, kNow - age);
  }
  CHECK(counts.buckets.size() == 7);
  ForgetOldBurn(counts, kNow + 48h);
  CHECK(counts.buckets.empty());
}

}  // namespace
}  // namespace tarragondrift
