// How every bench prints its results: one line of key=value pairs a figure.
#ifndef TARRAGONDRIFT_BENCH_COMMON_FIGURE_H_
#define TARRAGONDRIFT_BENCH_COMMON_FIGURE_H_

#include <string>

namespace tarragondrift::bench {

/// Which side of its bound a figure has to be on.
enum class bound_kind { kAtMost, kAtLeast, kNone };

/// One measured figure.
struct figure {
  std::string name;
  double value = 0;
  double bound = 0;
  bound_kind kind = bound_kind::kAtMost;
  std::string unit = "1";
  /// More key=value pairs for the line, such as "scenario=rondo seeds=100".
  std::string context;
};

/// Tells whether a figure keeps its bound.
bool IsMet(const figure& measured);

/// Prints a figure on standard output.
/// @return whether it keeps its bound.
bool PrintFigure(const figure& measured);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_COMMON_FIGURE_H_
