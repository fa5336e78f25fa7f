#include "metrics_text.h"

#include <cstdlib>
#include <sstream>

namespace tarragondrift {
namespace {

/// Tells whether a line is a sample of the metric.
bool IsSampleOf(std::string_view line, std::string_view metric) {
  if (!line.starts_with(metric) || line.size() == metric.size()) {
    return false;
  }
  const char next = line[metric.size()];
  return next == ' ' || next == '{';
}

/// Reads the value that ends a line.
double ValueOf(const std::string& line) {
  const size_t labels_end = line.find('}');
  const size_t from = labels_end == std::string::npos ? 0 : labels_end;
  return std::strtod(line.c_str() + line.find(' ', from), nullptr);
}

}  // namespace

std::optional<double> SumMetric(const std::string& page,
                                std::string_view metric) {
  std::istringstream lines(page);
  std::string line;
  std::optional<double> sum;
  while (std::getline(lines, line)) {
    if (IsSampleOf(line, metric)) {
      sum = sum.value_or(0) + ValueOf(line);
    }
  }
  return sum;
}

std::map<std::string, double> ReadByLabel(const std::string& page,
                                          std::string_view metric,
                                          std::string_view label) {
  constexpr std::string_view kLabelEnd = "\"} ";
  const std::string prefix =
      std::string(metric) + '{' + std::string(label) + "=\"";
  std::istringstream lines(page);
  std::string line;
  std::map<std::string, double> samples;
  while (std::getline(lines, line)) {
    // The value of a label may contain braces, which end it only after a quote.
    const size_t end = line.rfind(kLabelEnd);
    if (line.starts_with(prefix) && end != std::string::npos &&
        end >= prefix.size()) {
      samples[line.substr(prefix.size(), end - prefix.size())] =
          std::strtod(line.c_str() + end + kLabelEnd.size(), nullptr);
    }
  }
  return samples;
}

}  // namespace tarragondrift
