#include "figure.h"

#include <iostream>

namespace tarragondrift::bench {

bool IsMet(const figure& measured) {
  switch (measured.kind) {
    case bound_kind::kAtMost:
      return measured.value <= measured.bound;
    case bound_kind::kAtLeast:
      return measured.value >= measured.bound;
    case bound_kind::kNone:
      return true;
  }
  return false;
}

bool PrintFigure(const figure& measured) {
  const bool met = IsMet(measured);
  std::cout << "figure=" << measured.name << " value=" << measured.value;
  if (measured.kind == bound_kind::kNone) {
    std::cout << " bound=none";
  } else {
    std::cout << " bound=" << measured.bound;
  }
  std::cout << " unit=" << measured.unit << " met=" << (met ? "yes" : "no");
  if (!measured.context.empty()) {
    std::cout << ' ' << measured.context;
  }
  std::cout << std::endl;
  return met;
}

}  // namespace tarragondrift::bench
