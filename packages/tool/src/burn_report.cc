#include "burn_report.h"

#include <iomanip>
#include <sstream>

namespace tarragondrift {
namespace {

constexpr int kNameWidth = 20;
constexpr int kNumberWidth = 12;

/// Writes a window's length, such as "5m" or "6h".
std::string FormatLength(std::chrono::seconds length) {
  const auto hours = std::chrono::duration_cast<std::chrono::hours>(length);
  if (hours == length) {
    return std::to_string(hours.count()) + "h";
  }
  const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(length);
  return std::to_string(minutes.count()) + "m";
}

/// Writes one pair of windows, marked while its alert holds.
std::string FormatAlert(const burn_alert& alert) {
  std::ostringstream text;
  text << std::setprecision(3) << FormatLength(alert.long_window.length) << "/"
       << FormatLength(alert.short_window.length) << " "
       << alert.long_window.rate << "/" << alert.short_window.rate
       << (alert.firing ? " FIRING" : "");
  return text.str();
}

/// Writes one line of gnuplot's data.
void AppendData(std::ostream& text, const burn_row& row,
                const burn_window& window) {
  text << '"' << row.contract << ' ' << FormatLength(window.length) << "\" "
       << window.rate << '\n';
}

}  // namespace

std::string FormatBurnTable(const burn_report& report) {
  std::ostringstream text;
  text << std::left << std::setw(kNameWidth) << "contract"
       << std::setw(kNameWidth) << "team" << std::right
       << std::setw(kNumberWidth) << "objective" << std::setw(kNumberWidth)
       << "answers" << std::setw(kNumberWidth) << "missed"
       << std::setw(kNumberWidth) << "budget left"
       << "  burn rates\n";
  for (const burn_row& row : report.rows) {
    text << std::left << std::setw(kNameWidth) << row.contract
         << std::setw(kNameWidth) << (row.team.empty() ? "(all)" : row.team)
         << std::right << std::setprecision(4) << std::setw(kNumberWidth)
         << row.objective_percent << std::setw(kNumberWidth)
         << row.count.answers << std::setw(kNumberWidth) << row.count.missed
         << std::setw(kNumberWidth) << row.budget_left;
    for (const burn_alert& alert : row.alerts) {
      text << "  " << FormatAlert(alert);
    }
    text << '\n';
  }
  return text.str();
}

std::string FormatBurnData(const burn_report& report) {
  std::ostringstream text;
  for (const burn_row& row : report.rows) {
    if (!row.team.empty()) {
      continue;
    }
    for (const burn_alert& alert : row.alerts) {
      AppendData(text, row, alert.long_window);
      AppendData(text, row, alert.short_window);
    }
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
