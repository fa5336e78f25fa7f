#include "burn_report.h"

#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr double kPercent = 100;

}  // namespace

std::vector<burn_window> ReadBurn(const json& body) {
  std::vector<burn_window> counts;
  if (!body.is_object() || !body.contains("contracts")) {
    return counts;
  }
  for (const json& contract : body.at("contracts")) {
    for (const json& window : contract.value("windows", json::array())) {
      counts.push_back(
          {.contract = contract.value("name", ""),
           .window = window.value("window", ""),
           .objective_percent = contract.value("objective_percent", 0.0),
           .answers = window.value("answers", uint64_t{0}),
           .missed = window.value("missed", uint64_t{0})});
    }
  }
  return counts;
}

std::vector<burn_window> SumBurn(const std::vector<burn_window>& counts) {
  std::map<std::pair<std::string, std::string>, size_t> positions;
  std::vector<burn_window> sums;
  for (const burn_window& count : counts) {
    const auto [position, added] =
        positions.try_emplace({count.contract, count.window}, sums.size());
    if (added) {
      sums.push_back(count);
      continue;
    }
    sums[position->second].answers += count.answers;
    sums[position->second].missed += count.missed;
  }
  return sums;
}

double BurnRate(const burn_window& counts) {
  const double budget = 1 - counts.objective_percent / kPercent;
  if (counts.answers == 0 || budget <= 0) {
    return 0;
  }
  const double missed =
      static_cast<double>(counts.missed) / static_cast<double>(counts.answers);
  return missed / budget;
}

std::string FormatBurnTable(const std::vector<burn_window>& counts) {
  constexpr int kNameWidth = 20;
  constexpr int kNumberWidth = 12;
  std::ostringstream text;
  text << std::left << std::setw(kNameWidth) << "contract"
       << std::setw(kNumberWidth) << "window" << std::right
       << std::setw(kNumberWidth) << "objective" << std::setw(kNumberWidth)
       << "answers" << std::setw(kNumberWidth) << "missed"
       << std::setw(kNumberWidth) << "burn rate" << '\n';
  for (const burn_window& count : counts) {
    text << std::left << std::setw(kNameWidth) << count.contract
         << std::setw(kNumberWidth) << count.window << std::right
         << std::setw(kNumberWidth) << count.objective_percent
         << std::setw(kNumberWidth) << count.answers << std::setw(kNumberWidth)
         << count.missed << std::setw(kNumberWidth) << std::setprecision(3)
         << BurnRate(count) << '\n';
  }
  return text.str();
}

json FormatBurnJson(const std::vector<burn_window>& counts) {
  json rows = json::array();
  for (const burn_window& count : counts) {
    rows.push_back({{"contract", count.contract},
                    {"window", count.window},
                    {"objective_percent", count.objective_percent},
                    {"answers", count.answers},
                    {"missed", count.missed},
                    {"burn_rate", BurnRate(count)}});
  }
  return {{"burn", std::move(rows)}};
}

std::string FormatBurnData(const std::vector<burn_window>& counts) {
  std::ostringstream text;
  for (const burn_window& count : counts) {
    text << '"' << count.contract << ' ' << count.window << "\" "
         << BurnRate(count) << '\n';
  }
  return text.str();
}

std::string FormatBurnScript(const std::string& base_name) {
  return "set terminal png size 900,500\n"
         "set output '" +
         base_name +
         ".png'\n"
         "set style fill solid 0.6\n"
         "set boxwidth 0.8\n"
         "set ylabel 'burn rate (1 is the whole budget)'\n"
         "set yrange [0:*]\n"
         "set xtics rotate by -30\n"
         "plot '" +
         base_name + ".dat' using 2:xtic(1) with boxes notitle\n";
}

}  // namespace tarragondrift
