// Limits of the sizes, numbers and times in a configuration document.
#ifndef TARRAGONDRIFT_CONFIG_SRC_DOCUMENT_LIMITS_H_
#define TARRAGONDRIFT_CONFIG_SRC_DOCUMENT_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragondrift {

/// The range of a number in the document, both ends included.
template <class Number>
struct number_range {
  Number min;
  Number max;
};

inline constexpr size_t kMaxNameBytes = 64;
inline constexpr size_t kMaxUpstreams = 256;
inline constexpr size_t kMaxContracts = 256;
inline constexpr size_t kMaxTeams = 1'024;
inline constexpr size_t kMaxDataCentres = 256;

inline constexpr number_range<uint32_t> kSlotsRange{1, 4'096};
inline constexpr number_range<uint32_t> kConnectionsRange{1, 65'535};
inline constexpr number_range<uint32_t> kAttemptsRange{1, 10};
inline constexpr number_range<uint32_t> kWeightRange{1, 1'000'000};
inline constexpr number_range<uint32_t> kStartsRange{0, 1'000'000};
inline constexpr number_range<uint32_t> kQueuedRange{0, 10'000'000};
inline constexpr number_range<uint32_t> kTasksRange{1, 10'000};
inline constexpr number_range<double> kPercentRange{0.0, 99.999};

/// Range of deadlines, running times and latencies.
inline constexpr number_range<std::chrono::milliseconds> kTimeRange{
    std::chrono::milliseconds{1}, std::chrono::hours{1}};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_SRC_DOCUMENT_LIMITS_H_
