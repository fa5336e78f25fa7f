#include "tarragondrift/config/burn_store.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "tarragondrift/core/burn_cmd.h"

namespace tarragondrift {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

/// Limit of a summary; the oldest buckets are dropped to meet it, but
/// the newest bucket is kept even above the limit.
constexpr size_t kMaxSummaryBytes = 256U << 10U;

std::string BurnPrefix() { return "burn/"; }

json FormatCounts(const burn_counts& counts) {
  json rows = json::array();
  for (const auto& [number, bucket] : counts.buckets) {
    for (const auto& [key, count] : bucket) {
      rows.push_back({{"bucket", number},
                      {"contract", key.contract},
                      {"team", key.team},
                      {"answers", count.answers},
                      {"missed", count.missed}});
    }
  }
  return rows;
}

burn_counts ParseCounts(const json& rows) {
  burn_counts counts;
  for (const json& row : rows) {
    const burn_key key{.contract = row.at("contract").get<std::string>(),
                       .team = row.at("team").get<std::string>()};
    counts.buckets[row.at("bucket").get<int64_t>()][key] =
        burn_count{.answers = row.at("answers").get<uint64_t>(),
                   .missed = row.at("missed").get<uint64_t>()};
  }
  return counts;
}

ordered_json FormatWindow(const burn_window& window) {
  return {{"length_ms", std::chrono::milliseconds(window.length).count()},
          {"answers", window.count.answers},
          {"missed", window.count.missed},
          {"rate", window.rate}};
}

ordered_json FormatAlert(const burn_alert& alert) {
  return {{"long", FormatWindow(alert.long_window)},
          {"short", FormatWindow(alert.short_window)},
          {"threshold", alert.threshold},
          {"firing", alert.firing}};
}

ordered_json FormatRow(const burn_row& row) {
  ordered_json alerts = ordered_json::array();
  for (const burn_alert& alert : row.alerts) {
    alerts.push_back(FormatAlert(alert));
  }
  return {{"contract", row.contract},
          {"team", row.team},
          {"objective_percent", row.objective_percent},
          {"objective_latency_ms", row.objective_latency.count()},
          {"answers", row.count.answers},
          {"missed", row.count.missed},
          {"budget_left", row.budget_left},
          {"alerts", std::move(alerts)}};
}

}  // namespace

std::string FormatBurnSource(const burn_source& source) {
  return json{{"incarnation", source.incarnation},
              {"by_team", source.by_team},
              {"counts", FormatCounts(source.counts)}}
      .dump();
}

result<burn_source> ParseBurnSource(std::string_view text) {
  try {
    const json source = json::parse(text);
    return burn_source{.incarnation = source.at("incarnation").get<uint64_t>(),
                       .by_team = source.at("by_team").get<bool>(),
                       .counts = ParseCounts(source.at("counts"))};
  } catch (const json::exception&) {
    return result_code::kMalformedRequest;
  }
}

std::string FormatBurnReport(const burn_report& report) {
  ordered_json rows = ordered_json::array();
  for (const burn_row& row : report.rows) {
    rows.push_back(FormatRow(row));
  }
  constexpr int kIndent = 2;
  const std::chrono::milliseconds at = report.at.time_since_epoch();
  return ordered_json{{"at_ms", at.count()},
                      {"sources", report.sources},
                      {"rows", std::move(rows)}}
             .dump(kIndent) +
         "\n";
}

result<void> FlushBurn(table_port& table, const burn_source& source) {
  burn_source summary{.incarnation = source.incarnation,
                      .by_team = false,
                      .counts = SumOverTeams(source.counts)};
  std::string text = FormatBurnSource(summary);
  while (text.size() > kMaxSummaryBytes && summary.counts.buckets.size() > 1) {
    summary.counts.buckets.erase(summary.counts.buckets.begin());
    text = FormatBurnSource(summary);
  }
  return table.Write(
      {table_write{.key = BurnPrefix() + std::to_string(source.incarnation),
                   .value = std::move(text)}});
}

result<std::vector<burn_source>> ReadFlushedBurn(table_port& table,
                                                 wall_second now) {
  BOOST_OUTCOME_TRY(rows, table.List(BurnPrefix()));
  std::vector<burn_source> sources;
  for (const table_row& row : rows) {
    BOOST_OUTCOME_TRY(source, ParseBurnSource(row.value));
    ForgetOldBurn(source.counts, now);
    if (!source.counts.buckets.empty()) {
      sources.push_back(std::move(source));
      continue;
    }
    // The delete fails, and the row stays, if its entry has just rewritten it.
    static_cast<void>(table.Write({table_write{.key = row.key,
                                               .value = {},
                                               .expected_version = row.version,
                                               .erase = true}}));
  }
  return sources;
}

}  // namespace tarragondrift
