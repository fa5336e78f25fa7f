// Reads values out of a page in the Prometheus text format.
#ifndef TARRAGONDRIFT_TOOL_METRICS_TEXT_H_
#define TARRAGONDRIFT_TOOL_METRICS_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace tarragondrift {

/// Sums the samples of one metric over all of its labels.
/// @return nothing when the page has no such metric.
std::optional<double> SumMetric(const std::string& page,
                                std::string_view metric);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_METRICS_TEXT_H_
