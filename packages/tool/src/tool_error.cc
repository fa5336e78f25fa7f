#include "tool_error.h"

namespace tarragondrift {
namespace {

/// Result codes are numbered by kind in steps of a hundred.
constexpr int kCodesOfKind = 100;

}  // namespace

exit_code ExitCodeOf(result_code code) {
  if (code == result_code::kTaskOutcomeUnknown) {
    return exit_code::kUnknown;
  }
  switch (static_cast<int>(code) / kCodesOfKind) {
    case 0:
      return exit_code::kOk;
    case 1:
    case 2:
      return exit_code::kNotRun;
    case 3:
      return exit_code::kFailed;
    case 4:
      return exit_code::kUnknown;
    case 6:
      return exit_code::kConfig;
    default:
      return exit_code::kUnavailable;
  }
}

}  // namespace tarragondrift
