// report burn: collects the counts of all entries.
#include <fstream>

#include "burn_report.h"
#include "commands.h"
#include "entry_client.h"

namespace tarragondrift {
namespace {

/// Writes the plot's data and script.
/// @return false when a file cannot be written.
bool WritePlot(const std::string& base_name,
               const std::vector<burn_window>& counts) {
  std::ofstream data(base_name + ".dat");
  data << FormatBurnData(counts);
  std::ofstream script(base_name + ".gp");
  script << FormatBurnScript(base_name);
  data.flush();
  script.flush();
  return data.good() && script.good();
}

/// Prints the report.
void PrintBurn(const console& console, const std::vector<burn_window>& counts) {
  if (console.json) {
    console.out << FormatBurnJson(counts).dump() << '\n';
  } else {
    console.out << FormatBurnTable(counts);
  }
}

}  // namespace

exit_code RunReportBurn(const tool_settings& settings, const console& console) {
  http_client client{http_client_options{}};
  std::vector<burn_window> counts;
  exit_code worst = exit_code::kOk;
  for (const std::string& address : settings.operators) {
    const entry_reply reply = SendToEntry(
        client,
        {.address = address, .path = "/v1/burn", .token = settings.token});
    if (!reply.Succeeded()) {
      // The other entries' counts are still worth reading.
      worst = std::max(worst, PrintError(console, reply.error));
      continue;
    }
    const auto own = ReadBurn(reply.body);
    counts.insert(counts.end(), own.begin(), own.end());
  }
  const auto sums = SumBurn(counts);
  PrintBurn(console, sums);
  if (!settings.plot.empty() && !WritePlot(settings.plot, sums)) {
    console.err << "error: cannot write " << settings.plot << ".dat and .gp\n";
    return exit_code::kUsage;
  }
  return worst;
}

}  // namespace tarragondrift
