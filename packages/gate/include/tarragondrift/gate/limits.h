// Limits on callers' requests.
#ifndef TARRAGONDRIFT_GATE_LIMITS_H_
#define TARRAGONDRIFT_GATE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragondrift {

/// Size of a request body.
inline constexpr size_t kMostBodyBytes = 8U << 20U;
/// Size of a task's payload.
inline constexpr size_t kMaxPayloadBytes = 1U << 20U;
/// Length of the name of a task, upstream, contract or team.
inline constexpr size_t kMostNameBytes = 256;
inline constexpr size_t kMaxIdempotencyKeyBytes = 256;
/// Nesting depth of a request body.
inline constexpr int kMaxJsonDepth = 8;
/// Tasks per job, regardless of the configured limit.
inline constexpr size_t kMostTasks = 10'000;
/// Tickets issued per call.
inline constexpr uint32_t kMaxTicketsPerCall = 10'000;
/// Maximum time for which a request is held.
inline constexpr std::chrono::milliseconds kLongestWait{60'000};
/// Maximum time from acceptance to the answer.
inline constexpr std::chrono::milliseconds kMaxDeadline{3'600'000};
/// Maximum running time that a task may declare.
inline constexpr std::chrono::milliseconds kMaxDeclaredRunTime{3'600'000};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_LIMITS_H_
