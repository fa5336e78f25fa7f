// How a report of service-level burn looks: text for people, and a plot.
#ifndef TARRAGONDRIFT_TOOL_BURN_REPORT_H_
#define TARRAGONDRIFT_TOOL_BURN_REPORT_H_

#include <string>

#include "tarragondrift/core/burn_base.h"

namespace tarragondrift {

/// Writes a report as a table for people.
std::string FormatBurnTable(const burn_report& report);

/// Writes gnuplot's data: each contract's burn rate over each window.
std::string FormatBurnData(const burn_report& report);

/// Writes a gnuplot script that draws the data file into a PNG.
std::string FormatBurnScript(const std::string& base_name);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_BURN_REPORT_H_
