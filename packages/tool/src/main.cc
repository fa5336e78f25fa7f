// The tool of callers and operators.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "commands.h"

namespace {

std::optional<std::string> LookUp(const std::string& name) {
  const char* const value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto settings = tarragondrift::ReadSettings(argc, argv, LookUp);
    const tarragondrift::console console{.out = std::cout,
                                         .err = std::cerr,
                                         .terminal = isatty(STDERR_FILENO) != 0,
                                         .json = settings.json};
    return static_cast<int>(tarragondrift::RunTool(settings, console));
  } catch (const std::exception& error) {
    std::cerr << "error 900 internal: " << error.what() << '\n';
    return static_cast<int>(tarragondrift::exit_code::kUnavailable);
  }
}
