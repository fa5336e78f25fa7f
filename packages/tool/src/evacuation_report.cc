#include "evacuation_report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "metrics_text.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

constexpr const char* kLabel = "data_centre";

double InSeconds(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

bool IsFleetPage(const std::string& page) {
  return SumMetric(page, "tarragondrift_workers_listed").has_value();
}

void AddPage(evacuation_report& report, const std::string& page) {
  ++report.answered;
  const auto ages = ReadByLabel(page, "tarragondrift_evacuated", kLabel);
  const auto workers =
      ReadByLabel(page, "tarragondrift_evacuated_workers", kLabel);
  const auto runs = ReadByLabel(page, "tarragondrift_evacuated_runs", kLabel);
  const auto count = [](const auto& samples, const std::string& name) {
    const auto at = samples.find(name);
    return at == samples.end() ? 0 : static_cast<uint64_t>(at->second);
  };
  for (const auto& [name, seconds] : ages) {
    const auto age = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(seconds));
    evacuation_summary& one = report.data_centres[name];
    one.newest = one.known_by == 0 ? age : std::min(one.newest, age);
    one.oldest = std::max(one.oldest, age);
    one.workers += count(workers, name);
    one.runs += count(runs, name);
    ++one.known_by;
  }
}

std::string FormatEvacuationText(const evacuation_report& report) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  for (const auto& [name, one] : report.data_centres) {
    text << name << ": evacuated for " << InSeconds(one.oldest)
         << " s (newest entry " << InSeconds(one.newest) << " s), "
         << one.workers << " workers and " << one.runs
         << " runs left, known to " << one.known_by << " of " << report.answered
         << " entries\n";
  }
  if (report.data_centres.empty() && report.answered > 0) {
    text << "no data centre is evacuated, by " << report.answered
         << " entries\n";
  }
  for (const unanswered_entry& one : report.unanswered) {
    text << one.address << ": no answer: " << one.cause << '\n';
  }
  return text.str();
}

std::string FormatEvacuationJson(const evacuation_report& report) {
  nlohmann::json body = {{"answered", report.answered},
                         {"evacuated", nlohmann::json::array()},
                         {"unanswered", nlohmann::json::array()}};
  for (const auto& [name, one] : report.data_centres) {
    body["evacuated"].push_back({{"data_centre", name},
                                 {"oldest_ms", one.oldest.count()},
                                 {"newest_ms", one.newest.count()},
                                 {"workers", one.workers},
                                 {"runs", one.runs},
                                 {"known_by", one.known_by}});
  }
  for (const unanswered_entry& one : report.unanswered) {
    body["unanswered"].push_back(
        {{"address", one.address}, {"cause", one.cause}});
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         '\n';
}

}  // namespace tarragondrift
