#include "console.h"

#include <nlohmann/json.hpp>

namespace tarragondrift {
namespace {

/// Prints an error for scripts.
void PrintJsonError(const console& console, const tool_error& error) {
  const result_code_info& info = DescribeResultCode(error.code);
  const nlohmann::json body = {{"code", static_cast<int>(error.code)},
                               {"name", info.name},
                               {"cause", info.cause},
                               {"remedy", info.remedy},
                               {"detail", error.detail},
                               {"retry_after_ms", error.retry_after.count()}};
  console.out << body.dump() << '\n';
}

/// Prints an error for people.
void PrintHumanError(const console& console, const tool_error& error) {
  const result_code_info& info = DescribeResultCode(error.code);
  console.err << "error " << static_cast<int>(error.code) << " " << info.name
              << ": " << info.cause << '\n';
  if (!error.detail.empty()) {
    console.err << "  detail: " << error.detail << '\n';
  }
  console.err << "  remedy: " << info.remedy << '\n';
  if (error.retry_after.count() > 0) {
    console.err << "  retry after: " << error.retry_after.count() << " ms\n";
  }
}

}  // namespace

exit_code PrintError(const console& console, const tool_error& error) {
  ClearProgress(console);
  if (console.json) {
    PrintJsonError(console, error);
  } else {
    PrintHumanError(console, error);
  }
  return ExitCodeOf(error.code);
}

void DrawProgress(const console& console, const std::string& text) {
  if (console.terminal) {
    console.err << "\r\033[K" << text << std::flush;
  }
}

void ClearProgress(const console& console) { DrawProgress(console, ""); }

}  // namespace tarragondrift
