// Reads values out of a page in the Prometheus text format.
#ifndef TARRAGONDRIFT_TOOL_METRICS_TEXT_H_
#define TARRAGONDRIFT_TOOL_METRICS_TEXT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace tarragondrift {

/// Sums the samples of one metric over all of its labels.
/// @return nothing when the page has no such metric.
std::optional<double> SumMetric(const std::string& page,
                                std::string_view metric);

/// Returns the samples of one metric by the value of its only label. Values
/// with escapes are not supported: labels of entries hold no quotes.
std::map<std::string, double> ReadByLabel(const std::string& page,
                                          std::string_view metric,
                                          std::string_view label);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_METRICS_TEXT_H_
