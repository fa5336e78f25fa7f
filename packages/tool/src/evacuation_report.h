// Which data centres are evacuated, by the metrics pages of entries.
#ifndef TARRAGONDRIFT_TOOL_EVACUATION_REPORT_H_
#define TARRAGONDRIFT_TOOL_EVACUATION_REPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragondrift {

/// One evacuated data centre.
struct evacuation_summary {
  /// Time since the first and since the last entry learned of it.
  std::chrono::milliseconds oldest{0};
  std::chrono::milliseconds newest{0};
  /// Workers there that entries control, and the runs left on them. Those of
  /// entries that do not know of the evacuation are not counted.
  uint64_t workers = 0;
  uint64_t runs = 0;
  /// Entries that know of it.
  size_t known_by = 0;
};

/// An entry whose page could not be read.
struct unanswered_entry {
  std::string address;
  std::string cause;
};

/// What the entries that were asked know.
struct evacuation_report {
  size_t answered = 0;
  std::map<std::string, evacuation_summary> data_centres;
  std::vector<unanswered_entry> unanswered;
};

/// Whether a page is the metrics page of an entry that controls workers.
bool IsFleetPage(const std::string& page);

/// Adds the page of one entry to a report.
void AddPage(evacuation_report& report, const std::string& page);

/// Returns the report as text, one line for each data centre and for each entry
/// that did not answer.
std::string FormatEvacuationText(const evacuation_report& report);

/// Returns the report as a JSON document.
std::string FormatEvacuationJson(const evacuation_report& report);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_EVACUATION_REPORT_H_
