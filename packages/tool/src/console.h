// Where a command prints, and how errors look.
#ifndef TARRAGONDRIFT_TOOL_CONSOLE_H_
#define TARRAGONDRIFT_TOOL_CONSOLE_H_

#include <ostream>
#include <string>

#include "tool_error.h"

namespace tarragondrift {

/// The streams of one run.
struct console {
  std::ostream& out;
  std::ostream& err;
  /// The error stream is a terminal: progress may be drawn over.
  bool terminal = false;
  /// Print JSON for scripts.
  bool json = false;
};

/// Prints an error with number, cause and remedy.
/// @return the exit code that goes with it.
exit_code PrintError(const console& console, const tool_error& error);

/// Draws progress over the line before; only on a terminal.
void DrawProgress(const console& console, const std::string& text);

/// Wipes the progress line out; only on a terminal.
void ClearProgress(const console& console);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_CONSOLE_H_
