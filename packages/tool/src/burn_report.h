// Service-level burn: how fast each contract's error budget is used up.
#ifndef TARRAGONDRIFT_TOOL_BURN_REPORT_H_
#define TARRAGONDRIFT_TOOL_BURN_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tarragondrift {

/// Answers of one contract within one window of time.
struct burn_window {
  std::string contract;
  /// Such as "5m".
  std::string window;
  double objective_percent = 0;
  uint64_t answers = 0;
  /// Answers that were neither whole nor on time.
  uint64_t missed = 0;
};

/// Reads the counts that an entry gave; entries of another shape are left out.
std::vector<burn_window> ReadBurn(const nlohmann::json& body);

/// Adds the counts of several entries up by contract and window.
std::vector<burn_window> SumBurn(const std::vector<burn_window>& counts);

/// Computes the burn rate: 1 uses the budget up exactly at the end of the
/// objective's period, more uses it up sooner.
/// @return 0 when there were no answers.
double BurnRate(const burn_window& counts);

/// Writes the counts as a table for people.
std::string FormatBurnTable(const std::vector<burn_window>& counts);

/// Writes the counts as JSON for scripts.
nlohmann::json FormatBurnJson(const std::vector<burn_window>& counts);

/// Writes gnuplot's data for a plot of the burn rates.
std::string FormatBurnData(const std::vector<burn_window>& counts);

/// Writes a gnuplot script that draws the data file into a PNG.
std::string FormatBurnScript(const std::string& base_name);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_BURN_REPORT_H_
