// What the tool reports when a command fails, and the exit code that follows.
#ifndef TARRAGONDRIFT_TOOL_TOOL_ERROR_H_
#define TARRAGONDRIFT_TOOL_TOOL_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <chrono>
#include <string>

#include "tarragondrift/core/result_code.h"

namespace tarragondrift {

/// A numbered error, as an entry sent it or as the tool found it.
struct tool_error {
  result_code code = result_code::kInternal;
  /// What the code alone does not tell.
  std::string detail;
  /// When to come back; 0 when that is not known.
  std::chrono::milliseconds retry_after{0};
};

/// A value, or the error that stands in its place.
template <class T>
using tool_result =
    boost::outcome_v2::basic_result<T, tool_error,
                                    boost::outcome_v2::policy::terminate>;

/// Exit codes of the tool, one for each kind of outcome.
enum class exit_code : int {
  kOk = 0,
  /// The job failed whole after a start.
  kFailed = 1,
  /// The command line or a file is wrong.
  kUsage = 2,
  /// Refused; nothing was run.
  kNotRun = 3,
  /// What became of the submission is not known.
  kUnknown = 4,
  /// An entry or the platform could not be reached, or failed.
  kUnavailable = 5,
  /// A configuration change was not accepted.
  kConfig = 6,
};

/// Gives the exit code that goes with a result code.
exit_code ExitCodeOf(result_code code);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_TOOL_ERROR_H_
