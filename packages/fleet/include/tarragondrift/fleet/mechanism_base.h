// Mechanisms of an entry's decisions that can be switched off one by one, so
// that experiments can measure what each of them is worth. Without a mechanism
// the simplest decision that keeps every promise is made.
#ifndef TARRAGONDRIFT_FLEET_MECHANISM_BASE_H_
#define TARRAGONDRIFT_FLEET_MECHANISM_BASE_H_

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragondrift::fleet {

enum class mechanism : uint8_t {
  /// Tasks that are late anyway wait behind those that can be on time.
  kLateTier,
  /// Jobs are held after a start until capacity is known.
  kStartupHold,
  /// A short startup wait when all listed entries were heard.
  kShortStartup,
  /// Peers that do not acknowledge get no offers; unsent ones are withdrawn.
  kOfferWithdrawal,
  /// Queued tasks are returned to their origin and moved.
  kReturns,
  /// Refused parts are offered to another controller.
  kReoffers,
  /// Slowness of each worker.
  kSpeeds,
  /// Bounds between speed classes, in place of the default ones.
  kSpeedClasses,
  /// Slow workers are used first while they are fast enough.
  kSpeedOrder,
  /// Running times by queue, in place of the declared ones.
  kRuntimes,
  /// Workers are reserved for tasks that must run alone.
  kReservation,
  /// Suspects of crashes run alone.
  kIsolation,
  /// Workers with consecutive failures are ejected.
  kEjection,
  /// Workers prove themselves by one run after an evacuation.
  kProbation,
  /// Runs that take far too long are stopped.
  kStallDetection,
  /// Workers on which a run is far too slow by its progress get no starts, and
  /// such runs are moved.
  kSuspicion,
  /// Runs that will miss their deadline are moved or given up.
  kProgressChecks,
  /// Workers are told by peers while the store lists none.
  kWorkersFromPeers,
  /// Only some entries of a large fleet exchange heartbeats.
  kContactsByRole,
  /// Parts at other entries count as slower to start.
  kSpreadPenalty,
  /// Workers in the rack of a task's data come first.
  kLocality,
  /// The worker with the least capacity left comes first.
  kBestFit,
  /// Jobs are refused when they are predicted to start too late.
  kLoadAdmission,
  /// Retry delays follow the predicted wait.
  kRetryPrediction,
  /// Callers that submit again are recognised by their timeouts.
  kResubmissions,
  /// Jobs that cannot be on time wait for spare capacity.
  kDeferral,
  /// An entry claims a job at its arbiter before it starts it.
  kJobClaims,
};

inline constexpr std::array<std::string_view, 27> kMechanismNames{
    "late-tier",        "startup-hold",   "short-startup",
    "withdrawal",       "returns",        "reoffers",
    "speeds",           "speed-classes",  "speed-order",
    "runtimes",         "reservation",    "isolation",
    "ejection",         "probation",      "stall-detection",
    "suspicion",        "progress",       "workers-from-peers",
    "contacts-by-role", "spread-penalty", "locality",
    "best-fit",         "load-admission", "retry-prediction",
    "resubmissions",    "deferral",       "job-claims"};

/// Mechanisms that are switched off.
using mechanism_set = std::bitset<kMechanismNames.size()>;

inline bool IsOff(const mechanism_set& without, mechanism one) {
  return without.test(static_cast<size_t>(one));
}

/// Returns the mechanism of a name, if there is one.
constexpr std::optional<mechanism> FindMechanism(std::string_view name) {
  for (size_t at = 0; at < kMechanismNames.size(); ++at) {
    if (kMechanismNames.at(at) == name) {
      return static_cast<mechanism>(at);
    }
  }
  return std::nullopt;
}

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_MECHANISM_BASE_H_
