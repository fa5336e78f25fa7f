// Bounds on what callers may send.
#ifndef TARRAGONDRIFT_GATE_LIMITS_H_
#define TARRAGONDRIFT_GATE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace tarragondrift {

/// Bytes of one request body.
inline constexpr size_t kMostBodyBytes = 8U << 20U;
/// Bytes of one task's payload.
inline constexpr size_t kMostPayloadBytes = 1U << 20U;
/// Bytes of a task's, upstream's, contract's or team's name.
inline constexpr size_t kMostNameBytes = 256;
/// Bytes of an idempotency key.
inline constexpr size_t kMostKeyBytes = 256;
/// Levels of nesting in a request body.
inline constexpr int kMostJsonDepth = 8;
/// Tasks of one job, whatever the configuration allows.
inline constexpr size_t kMostTasks = 10'000;
/// Ids handed out by one call.
inline constexpr uint32_t kMostTicketsPerCall = 10'000;
/// Longest time that one request is held.
inline constexpr std::chrono::milliseconds kLongestWait{60'000};
/// Longest time from acceptance to the answer.
inline constexpr std::chrono::milliseconds kLongestDeadline{3'600'000};
/// Longest running time that a task may declare.
inline constexpr std::chrono::milliseconds kLongestDeclared{3'600'000};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_LIMITS_H_
